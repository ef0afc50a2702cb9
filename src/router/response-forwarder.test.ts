import {Buffer} from 'node:buffer';
import {validateHeaderValue} from 'node:http';
import {create} from '@bufbuild/protobuf';
import {describe, expect, test} from 'vitest';
import {ChunkSchema, EndSchema} from '../gen/galena/v1/agent_pb.js';
import {
	buildAttemptBody, canResume, endStream, sendAnswer,
} from './pending-request.js';
import type {PendingRequest} from './pending-request.js';
import {createResponseForwarder} from './response-forwarder.js';
import type {RouterEvent} from './messages.js';
import type {RouterPart} from './sessions.js';

const createChunk = (attempt: string, sequence: number, data: string) => create(ChunkSchema, {attemptId: attempt, sequence, data: Buffer.from(data)});
const createDelta = (content: string, fields: Readonly<Record<string, unknown>> = {}) => JSON.stringify({id: 'c-1', choices: [{index: 0, delta: {content, ...fields}, finish_reason: null}]});
const createEnd = (attempt: string, chunkCount: number) => create(EndSchema, {
	attemptId: attempt, outcome: 'done', chunkCount, tokens: 7, contentType: 'text/event-stream', status: 200,
});

/** Creates a streaming request with a fake client, which can be slow, and records the events, chunks and credit sent for it. */
const createFixture = (choiceCount = 1) => {
	const written: string[] = [];
	const events: RouterEvent[] = [];
	const parts: RouterPart[] = [];
	let isClientSlow = false;
	let drainCallback: () => void = () => undefined;
	const pending = {
		checked: {spec: {isStream: true, billId: 'q-1', model: 'm'}, choiceCount},
		body: Buffer.from(JSON.stringify({model: 'm', messages: [{role: 'user', content: 'hello'}]})),
		sink: {
			writeHead: () => undefined,
			write(data: string) {
				written.push(data);
				return !isClientSlow;
			},
			end: () => undefined,
			onDrain(callback: () => void) {
				drainCallback = callback;
			},
		},
		attempt: 'r.1',
		agent: 'a',
		delivery: {nextSequence: 0, uncreditedBytes: 0},
		bufferedParts: [],
		delivered: 0,
		deliveredText: '',
		isTextOnly: true,
		hasSentHead: false,
		isEnded: false,
		isAwaitingDrain: false,
		streamId: undefined,
		isResumed: false,
	} as unknown as PendingRequest;
	const forwarder = createResponseForwarder({
		post(event) {
			events.push(event);
		},
		send(_agent, part) {
			parts.push(part);
		},
	});
	forwarder.registerAttempt('r.1', pending);
	return {
		pending,
		forwarder,
		getWritten: () => written.join(''),
		getEnds: () => events.filter(event => event.kind === 'attempt-ended'),
		sumCredit: () => parts.flatMap(part => part.credits ?? []).reduce((sum, credit) => sum + (credit.bytes ?? 0), 0),
		setClientSlow(value: boolean) {
			isClientSlow = value;
		},
		drain() {
			drainCallback();
		},
	};
};

const aboveCreditThresholdBytes = 40_000;

const createErrorEnd = (attempt: string, chunkCount: number) => create(EndSchema, {
	attemptId: attempt, outcome: 'done', chunkCount, tokens: 0, contentType: 'application/json', status: 400,
});

const createBodyChunk = (attempt: string, text: string) => create(ChunkSchema, {
	attemptId: attempt, sequence: 0, data: Buffer.from(text), isBody: true,
});

describe('an ordinary response to a streaming request', () => {
	test('is the answer if no event has been sent', () => {
		const fixture = createFixture();
		fixture.forwarder.receiveChunk(createBodyChunk('r.1', 'the error text'));
		fixture.forwarder.receiveEnd('a', createErrorEnd('r.1', 1));
		expect(fixture.getWritten()).toBe('');
		expect(fixture.getEnds()).toMatchObject([{outcome: 'done', answer: {status: 400, body: Buffer.from('the error text')}}]);
	});

	test('is no part of a stream that another endpoint began', () => {
		const fixture = createFixture();
		fixture.forwarder.receiveChunk(createChunk('r.1', 0, createDelta('begun')));
		fixture.pending.attempt = 'r.2';
		fixture.pending.delivery = {nextSequence: 0, uncreditedBytes: 0};
		fixture.forwarder.registerAttempt('r.2', fixture.pending);
		fixture.forwarder.receiveChunk(createBodyChunk('r.2', 'the error text'));
		fixture.forwarder.receiveEnd('a', createErrorEnd('r.2', 1));
		expect(fixture.getWritten()).not.toContain('the error text');
		expect(fixture.getEnds()).toMatchObject([{outcome: 'failed', delivered: 1}]);
		expect(fixture.getEnds()[0]).not.toHaveProperty('answer');
	});
});

describe('the response forwarder', () => {
	test('returns credit to the agent while the client reads fast enough', () => {
		const fixture = createFixture();
		fixture.forwarder.receiveChunk(createChunk('r.1', 0, createDelta('x'.repeat(aboveCreditThresholdBytes))));
		expect(fixture.sumCredit()).toBeGreaterThan(aboveCreditThresholdBytes);
	});

	test('returns no credit while the client reads too slowly, so that the agent stops sending', () => {
		const fixture = createFixture();
		fixture.setClientSlow(true);
		fixture.forwarder.receiveChunk(createChunk('r.1', 0, createDelta('x'.repeat(aboveCreditThresholdBytes))));
		fixture.forwarder.receiveChunk(createChunk('r.1', 1, createDelta('x'.repeat(aboveCreditThresholdBytes))));
		expect(fixture.sumCredit()).toBe(0);
		fixture.drain();
		expect(fixture.sumCredit()).toBeGreaterThan(2 * aboveCreditThresholdBytes);
	});

	test('drops chunks of an abandoned or unknown attempt', () => {
		const fixture = createFixture();
		fixture.pending.attempt = 'r.2';
		fixture.forwarder.registerAttempt('r.2', fixture.pending);
		fixture.forwarder.receiveChunk(createChunk('r.1', 0, createDelta('late')));
		fixture.forwarder.receiveChunk(createChunk('r.2', 0, createDelta('good')));
		fixture.forwarder.receiveChunk(createChunk('r.9', 0, createDelta('foreign')));
		expect(fixture.getWritten()).toContain('good');
		expect(fixture.getWritten()).not.toMatch(/late|foreign/v);
	});

	test('drops chunks out of order, and reports the incomplete response as failed', () => {
		const fixture = createFixture();
		fixture.forwarder.receiveChunk(createChunk('r.1', 0, createDelta('one')));
		fixture.forwarder.receiveChunk(createChunk('r.1', 2, createDelta('three')));
		fixture.forwarder.receiveEnd('a', createEnd('r.1', 3));
		expect(fixture.getWritten()).not.toContain('three');
		expect(fixture.getEnds()).toMatchObject([{outcome: 'failed', delivered: 1}]);
	});

	test('reports a response as complete if its chunk count matches', () => {
		const fixture = createFixture();
		fixture.forwarder.receiveChunk(createChunk('r.1', 0, createDelta('one')));
		fixture.forwarder.receiveEnd('a', createEnd('r.1', 1));
		expect(fixture.getEnds()).toMatchObject([{outcome: 'done', tokens: 7}]);
	});
});

describe('resuming a stream', () => {
	test('continues after the delivered text under the same completion id', () => {
		const fixture = createFixture();
		fixture.forwarder.receiveChunk(createChunk('r.1', 0, createDelta('one ', {role: 'assistant'})));
		fixture.forwarder.receiveChunk(createChunk('r.1', 1, createDelta('two ')));
		expect(canResume(fixture.pending)).toBe(true);
		fixture.pending.isResumed = true;
		expect(JSON.parse(buildAttemptBody(fixture.pending).toString())).toMatchObject({messages: [{role: 'user'}, {role: 'assistant', content: 'one two '}], continue_final_message: true});
		fixture.pending.attempt = 'r.2';
		fixture.pending.delivery = {nextSequence: 0, uncreditedBytes: 0};
		fixture.forwarder.registerAttempt('r.2', fixture.pending);
		fixture.forwarder.receiveChunk(createChunk('r.2', 0, JSON.stringify({id: 'c-2', choices: [{index: 0, delta: {role: 'assistant', content: 'three'}}]})));
		expect(fixture.getWritten()).not.toContain('c-2');
		endStream(fixture.pending);
		expect(fixture.getWritten()).toMatch(/"outcome":"complete".*data: \[DONE\]\n\n$/sv);
	});

	test.each([
		{name: 'a tool call', data: createDelta('', {tool_calls: [{index: 0}]})},
		{name: 'a stream that has sent its finish reason', data: JSON.stringify({id: 'c-1', choices: [{index: 0, delta: {}, finish_reason: 'stop'}]})},
	])('is refused for $name', ({data}) => {
		const fixture = createFixture();
		fixture.forwarder.receiveChunk(createChunk('r.1', 0, data));
		expect(canResume(fixture.pending)).toBe(false);
	});

	test('is refused for several choices', () => {
		expect(canResume(createFixture(2).pending)).toBe(false);
	});
});

// Guards against a router that ends at a head which its agents pass on and Node.js does not write.
test.each([
	['a status below 100', 42, 'text/plain'],
	['a status of an interim response', 101, 'text/plain'],
	['a type that no header can hold', 200, 'text/\u20AC'],
])('a response with %s is an error response to its client', (_, status, contentType) => {
	const statuses: number[] = [];
	const response = {
		writeHead(written: number, headers: Readonly<Record<string, string>>) {
			statuses.push(written);
			Object.entries(headers).forEach(([name, value]) => {
				validateHeaderValue(name, value);
			});
		},
		write: () => true,
		end: () => undefined,
		onDrain: () => undefined,
	};
	sendAnswer({...createFixture().pending, sink: response}, {status, contentType, body: Buffer.from('x')});
	expect(statuses).toEqual([502]);
});

// Guards against a decision on an outcome that an agent of another version states.
test('an outcome that is not known counts as unknown', () => {
	const {forwarder, getEnds} = createFixture();
	forwarder.receiveEnd('a', create(EndSchema, {attemptId: 'r.1', outcome: 'odd', chunkCount: 0}));
	expect(getEnds()).toMatchObject([{kind: 'attempt-ended', outcome: 'unknown'}]);
});
