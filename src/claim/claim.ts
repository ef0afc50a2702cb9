import {Buffer} from 'node:buffer';
import {putRow, rowKeys} from '../table/index.js';
import type {Json, Row, Write} from '../table/index.js';
import type {Answer} from '../attempt/index.js';

/** An answer as it stands in a claim's row. */
export type StoredAnswer = Readonly<{
	status: number;
	contentType: string;
	/** Base64. */
	body: string;
}>;

/** The body of a claim's row. */
export type ClaimBody = Readonly<{
	/** Hash of the request: the same key with another request is refused. */
	digest: string;
	request: string;
	/** The one attempt that may run. */
	attempt: string;
	/** The agent incarnation that may run it, and where to ask it. */
	agent: string;
	address: string;
	/** Set in state `done`; undefined there if the answer was too large to keep. */
	answer?: StoredAnswer;
}>;

/** `sent`: the attempt may run; `done`: it ran; `unknown`: nobody can say. */
export type ClaimState = 'sent' | 'done' | 'unknown';

/** A claim as read. */
export type Claim = Readonly<{version: number; state: ClaimState; body: ClaimBody}>;

const maxStoredAnswer = 256 * 1024; // Bytes, as the table service limits a row

/**
Reads a claim's row.

@param row - The row, if there is one.
@returns The claim.
*/
export const readClaim = (row: Row | undefined): Claim | undefined =>
	row === undefined ? undefined : {version: row.version, state: row.state as ClaimState, body: row.body as unknown as ClaimBody};

/**
Builds the write of a claim that was read at some version.

@param organisation - Whose claim it is.
@param key - The caller's Idempotency-Key.
@param version - The version that was read; 0 if there was none.
@param state - The new state.
@param body - The new body.
@returns The write.
*/
export const writeClaim = (organisation: string, key: string, version: number, state: ClaimState, body: ClaimBody): Write =>
	putRow(rowKeys.claim(organisation, key), version, body, state);

/**
Prepares an answer for a claim's row.

@param answer - The whole answer.
@returns What is stored, or undefined if it is too large.
*/
export const storeAnswer = (answer: Answer): StoredAnswer | undefined =>
	answer.body.byteLength > maxStoredAnswer
		? undefined
		: {status: answer.status, contentType: answer.contentType, body: Buffer.from(answer.body).toString('base64')};

/**
Restores an answer from a claim's row.

@param stored - What was stored.
@returns The whole answer.
*/
export const restoreAnswer = (stored: StoredAnswer): Answer =>
	({status: stored.status, contentType: stored.contentType, body: Buffer.from(stored.body, 'base64')});
