import type {Buffer} from 'node:buffer';
import {hash} from 'node:crypto';
import type {RequestHead} from './request.js';

/** Length of a fingerprint in characters of 6 bits. */
const fingerprintLength = 16;

/**
Digests the body of a request.

@param body - The whole body.
@returns Its SHA-256 digest; undefined if it is empty.
*/
export const digestBody = (body: Buffer): string | undefined => body.length === 0 ? undefined : hash('sha256', body, 'base64url');

/**
Computes what a request has in common with its repetitions: what is asked, for whom, and the body.
Its key, its headers and its connection differ each time. A request without a body may still name its prompt.

@param head - The head of the request.
@param organisation - The organisation that it is run for; undefined if it has none.
@param bodyDigest - The digest of its body; undefined if that is empty.
@returns The fingerprint.
*/
export const computeFingerprint = ({method, host, url, modelRequest}: RequestHead, organisation: string | undefined, bodyDigest: string | undefined): string =>
	hash('sha256', JSON.stringify([method, host, url, organisation, bodyDigest ?? modelRequest?.parts]), 'base64url').slice(0, fingerprintLength);
