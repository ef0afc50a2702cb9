import {Buffer} from 'node:buffer';
import {putRow, rowKeys} from '../table/index.js';
import type {JsonValue, Row, TableWrite} from '../table/index.js';
import type {Answer} from '../attempt/index.js';

/** A response as stored in a claim's row. */
export type StoredAnswer = Readonly<{
	status: number;
	contentType: string;
	/** The body in Base64. */
	body: string;
}>;

/** The body of a claim's row. */
export type ClaimBody = Readonly<{
	/** Hash of the request. A different request under the same key is refused. */
	digest: string;
	request: string;
	/** The only attempt that may run. */
	attempt: string;
	/** The agent incarnation that may run the attempt; `address` is where to query it. */
	agent: string;
	address: string;
	/** Set in state `done`, unless the response was too large to store. */
	answer?: StoredAnswer;
}>;

/** `sent`: the attempt may run; `done`: it ran; `unknown`: it cannot be determined whether it ran. */
export type ClaimState = 'sent' | 'done' | 'unknown';

/** A claim on an Idempotency-Key, as read from its row. */
export type Claim = Readonly<{version: number; state: ClaimState; body: ClaimBody}>;

/** Limited by the row size of the table service. */
const maxStoredAnswerBytes = 256 * 1024;

/**
Decodes a claim's row.

@param row - The row; undefined if there is none.
@returns The claim; undefined if there is no row.
*/
export const decodeClaim = (row: Row | undefined): Claim | undefined =>
	row === undefined ? undefined : {version: row.version, state: row.state as ClaimState, body: row.body as unknown as ClaimBody};

/**
Builds the conditional write of a claim.

@param organisation - The organisation that owns the claim.
@param key - The client's Idempotency-Key.
@param version - The version that was read; 0 if there was no row.
@param state - The new state.
@param body - The new body.
@returns The write.
*/
export const buildClaimWrite = (organisation: string, key: string, version: number, state: ClaimState, body: ClaimBody): TableWrite =>
	putRow(rowKeys.claim(organisation, key), version, body, state);

/**
Encodes a response for a claim's row.

@param answer - The complete response.
@returns The stored form; undefined if the response is too large.
*/
export const encodeStoredAnswer = (answer: Answer): StoredAnswer | undefined =>
	answer.body.byteLength > maxStoredAnswerBytes
		? undefined
		: {status: answer.status, contentType: answer.contentType, body: Buffer.from(answer.body).toString('base64')};

/**
Decodes a response from a claim's row.

@param stored - The stored form.
@returns The complete response.
*/
export const decodeStoredAnswer = (stored: StoredAnswer): Answer =>
	({status: stored.status, contentType: stored.contentType, body: Buffer.from(stored.body, 'base64')});
