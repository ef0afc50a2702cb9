import {Buffer} from 'node:buffer';
import type {StoredRow} from '../store/index.js';
import {configurationKey, tables} from './tables.js';

/** A kind of sample request. `events` is the number of stream events of its response, 0 for a plain response. */
export type SampleKind = Readonly<{
	name: string;
	kind: 'safe' | 'unsafe' | 'streaming';
	events: number;
	promptTokens: number;
	/** True if it needs no key; its organisation is not known then. */
	isAnonymous?: boolean;
	/** True if the endpoint turns it away. */
	isEndpointBusy?: boolean;
}>;

/** The kinds of sample requests, of which the first ones are the most frequent on a usual day. */
export const sampleKinds: readonly SampleKind[] = [
	{
		name: 'stream', kind: 'streaming', events: 8, promptTokens: 9000,
	},
	{
		name: 'short', kind: 'streaming', events: 4, promptTokens: 2400, isAnonymous: true,
	},
	{
		name: 'act', kind: 'unsafe', events: 0, promptTokens: 0,
	},
	{
		name: 'long', kind: 'streaming', events: 24, promptTokens: 700,
	},
	{
		name: 'read', kind: 'safe', events: 0, promptTokens: 0, isAnonymous: true,
	},
	{
		name: 'busy', kind: 'safe', events: 0, promptTokens: 0, isEndpointBusy: true,
	},
];

const modelService = 'models';
const plainService = 'desk';
const host = 'sample.invalid';
const apiKey = 'sample-key';

/** Milliseconds until the deadline of a sample request. */
const deadlineMs = 6000;

const requestBody = 'q'.repeat(300);
const responseBody = 'r'.repeat(800);
const eventText = 'e'.repeat(50);

/** Number of organisation-wide tokens, which no sample uses up. */
const budgetTokens = 1_000_000_000;

/**
Builds the rows of a store for sample requests.

@param dataCentre - The data centre of half of the endpoints.
@param addresses - The endpoints' addresses.
@returns The operator's configuration and the entries of the endpoints.
*/
export const createSampleRows = (dataCentre: string, addresses: readonly string[]): readonly StoredRow[] => [
	{
		table: tables.configuration,
		key: configurationKey,
		version: 1,
		value: JSON.stringify({
			version: 1,
			routes: sampleKinds.map(({name, kind, promptTokens, isAnonymous}) => ({
				name,
				anonymous: isAnonymous,
				host,
				prefix: `/${name}/`,
				kind,
				timeoutMs: deadlineMs, targetLatencyMs: 500, priority: 1, maxAttempts: 2, resumable: name === 'long', gapAimMs: kind === 'streaming' ? 300 : undefined,
				service: promptTokens > 0 ? modelService : plainService,
			})),
			services: [{name: modelService, maxConnections: 1000, engine: {slots: 128, kvCapacity: 400_000, stride: 5}}, {name: plainService, maxConnections: 250}],
			limits: {
				maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 30_000,
			},
			tenants: [{name: 'sample', apiKeys: [apiKey], prepaid: budgetTokens}],
		}),
	},
	...addresses.map((address, index): StoredRow => ({
		table: tables.endpoints,
		key: `sample-${index}`,
		version: 1,
		value: JSON.stringify({
			service: index % 8 === 0 ? plainService : modelService,
			address,
			zone: index % 2 === 0 ? dataCentre : `${dataCentre}-other`,
			version: 'v1',
			slots: 128,
			state: 'ready',
			born: 1,
		}),
	})),
];

/**
Formats a sample request.

@param kind - Its kind.
@param index - Its number, which selects its key and its prompt.
@returns The bytes that a client sends.
*/
export const formatSampleRequest = ({name, kind, events, promptTokens, isAnonymous}: SampleKind, index: number): Buffer => {
	const prompt = promptTokens === 0
		? []
		: ['Model: sample',
			`Token-Counts: ${promptTokens},${events * 5}`,
			`Prompt-Prefix: a${index % 4}:${Math.round(promptTokens * 0.3)},b${index % 50}:${Math.round(promptTokens * 0.4)},c${index}:300`];
	return Buffer.from([
		`${kind === 'safe' ? 'GET' : 'POST'} /${name}/${index} HTTP/1.1`,
		`Host: ${host}`,
		`Attempt-Id: sample-${index}`,
		`Request-Deadline-Ms: ${deadlineMs}`,
		...(isAnonymous === true ? [] : [`Authorization: Token ${apiKey}`]),
		...prompt,
		...(kind === 'safe' ? ['', ''] : [`Content-Length: ${requestBody.length}`, '', requestBody]),
	].join('\r\n'));
};

/** The response of an endpoint to a sample request: its parts, which arrive one after another. */
export type SampleResponse = readonly Buffer[];

const formatChunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

/** Text with which the last part of a chunked response ends. */
const lastChunk = '0\r\n\r\n';

/**
Reads a sample request as an endpoint receives it, and formats the response.

@param bytes - Bytes that were received on a connection.
@returns The response; undefined while the request is not complete.
*/
export const respondToSample = (bytes: Buffer): SampleResponse | undefined => {
	const text = bytes.toString('latin1');
	const headEnd = text.indexOf('\r\n\r\n');
	const bodyLength = Number(/^content-length: (?<length>\d+)/imv.exec(text)?.groups?.length ?? 0);
	if (headEnd === -1 || text.length < headEnd + 4 + bodyLength) {
		return undefined;
	}

	const name = /^[A-Z]+ \/(?<name>\w+)\//v.exec(text)?.groups?.name;
	const key = /^attempt-id: (?<key>\S+)/imv.exec(text)?.groups?.key ?? '';
	const {events = 0, isEndpointBusy = false} = sampleKinds.find(kind => kind.name === name) ?? {};
	const head = (status: string, framing: string) => `HTTP/1.1 ${status}\r\nAttempt-Id: ${key}\r\nResponse-Seal: s\r\nReplica-Load: 3,0,128,100\r\n${framing}\r\n\r\n`;
	if (isEndpointBusy) {
		return [Buffer.from(`${head('503 Service Unavailable', 'Content-Length: 4\r\nNot-Executed: 1')}busy`)];
	}

	if (events === 0) {
		return [Buffer.from(`${head('200 OK', `Content-Length: ${responseBody.length}`)}${responseBody}`)];
	}

	return [
		Buffer.from(head('200 OK', 'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked')),
		...Array.from({length: events}, (_, index) => Buffer.from(formatChunk(`id: ${index + 1}\ndata: ${eventText}\n\n`))),
		Buffer.from(lastChunk),
	];
};

/**
Tells whether a client has received the whole response to a sample request.

@param bytes - All bytes since the request was sent.
@returns False while more are to come.
*/
export const isSampleComplete = (bytes: Buffer): boolean => {
	const text = bytes.toString('latin1');
	const headEnd = text.indexOf('\r\n\r\n');
	const length = /^content-length: (?<length>\d+)/imv.exec(text.slice(0, Math.max(0, headEnd)))?.groups?.length;
	return headEnd !== -1 && (length === undefined ? text.endsWith(`\r\n${lastChunk}`) : text.length >= headEnd + 4 + Number(length));
};
