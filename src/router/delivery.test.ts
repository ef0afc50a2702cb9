import {Buffer} from 'node:buffer';
import {create} from '@bufbuild/protobuf';
import {describe, expect, test} from 'vitest';
import {ChunkSchema, EndSchema} from '../gen/galena/v1/agent_pb.js';
import {buildBody, canResume, endStream} from './caller.js';
import type {Caller} from './caller.js';
import {createDeliveries} from './delivery.js';
import type {RouterEvent} from './messages.js';
import type {RouterPart} from './sessions.js';

const chunk = (attempt: string, sequence: number, data: string) => create(ChunkSchema, {attemptId: attempt, sequence, data: Buffer.from(data)});
const delta = (content: string, fields: Readonly<Record<string, unknown>> = {}) => JSON.stringify({id: 'c-1', choices: [{index: 0, delta: {content, ...fields}, finish_reason: null}]});
const end = (attempt: string, chunkCount: number) => create(EndSchema, {
	attemptId: attempt, outcome: 'done', chunkCount, tokens: 7, contentType: 'text/event-stream', status: 200,
});

/** A caller of a stream whose reader may be slow, and all that leaves on its behalf. */
const createScene = (choices = 1) => {
	const written: string[] = [];
	const events: RouterEvent[] = [];
	const parts: RouterPart[] = [];
	let isSlow = false;
	let resume: () => void = () => undefined;
	const caller = {
		checked: {order: {isStream: true, billId: 'q-1', model: 'm'}, choices},
		body: Buffer.from(JSON.stringify({model: 'm', messages: [{role: 'user', content: 'hello'}]})),
		sink: {
			writeHead: () => undefined,
			write(data: string) {
				written.push(data);
				return !isSlow;
			},
			end: () => undefined,
			onDrain(callback: () => void) {
				resume = callback;
			},
		},
		attempt: 'r.1',
		agent: 'a',
		delivery: {next: 0, owed: 0},
		whole: [],
		delivered: 0,
		text: '',
		isPlain: true,
		hasHead: false,
		isEnded: false,
		isBlocked: false,
		streamId: undefined,
		resumes: false,
	} as unknown as Caller;
	const deliveries = createDeliveries({
		post(event) {
			events.push(event);
		},
		send(_agent, part) {
			parts.push(part);
		},
	});
	deliveries.start('r.1', caller);
	return {
		caller,
		deliveries,
		written: () => written.join(''),
		ends: () => events.filter(event => event.kind === 'attempt-ended'),
		credit: () => parts.flatMap(part => part.credits ?? []).reduce((sum, credit) => sum + (credit.bytes ?? 0), 0),
		setSlow(value: boolean) {
			isSlow = value;
		},
		drain() {
			resume();
		},
	};
};

const large = 40_000; // Bytes, more than one step of credit

describe('deliveries', () => {
	test('a fast reader gives credit back', () => {
		const scene = createScene();
		scene.deliveries.receiveChunk(chunk('r.1', 0, delta('x'.repeat(large))));
		expect(scene.credit()).toBeGreaterThan(large);
	});

	test('a slow reader gives none until it has read, so the agent stops', () => {
		const scene = createScene();
		scene.setSlow(true);
		scene.deliveries.receiveChunk(chunk('r.1', 0, delta('x'.repeat(large))));
		scene.deliveries.receiveChunk(chunk('r.1', 1, delta('x'.repeat(large))));
		expect(scene.credit()).toBe(0);
		scene.drain();
		expect(scene.credit()).toBeGreaterThan(2 * large);
	});

	test('parts of another attempt reach nobody', () => {
		const scene = createScene();
		scene.caller.attempt = 'r.2';
		scene.deliveries.start('r.2', scene.caller);
		scene.deliveries.receiveChunk(chunk('r.1', 0, delta('late')));
		scene.deliveries.receiveChunk(chunk('r.2', 0, delta('good')));
		scene.deliveries.receiveChunk(chunk('r.9', 0, delta('foreign')));
		expect(scene.written()).toContain('good');
		expect(scene.written()).not.toMatch(/late|foreign/v);
	});

	test('parts out of order are dropped, and the answer is not whole', () => {
		const scene = createScene();
		scene.deliveries.receiveChunk(chunk('r.1', 0, delta('one')));
		scene.deliveries.receiveChunk(chunk('r.1', 2, delta('three')));
		scene.deliveries.receiveEnd('a', end('r.1', 3));
		expect(scene.written()).not.toContain('three');
		expect(scene.ends()).toMatchObject([{outcome: 'failed', delivered: 1}]);
	});

	test('an end whose count matches is whole', () => {
		const scene = createScene();
		scene.deliveries.receiveChunk(chunk('r.1', 0, delta('one')));
		scene.deliveries.receiveEnd('a', end('r.1', 1));
		expect(scene.ends()).toMatchObject([{outcome: 'done', tokens: 7}]);
	});
});

describe('resumption', () => {
	test('goes on after the text that the caller has, under the same id', () => {
		const scene = createScene();
		scene.deliveries.receiveChunk(chunk('r.1', 0, delta('one ', {role: 'assistant'})));
		scene.deliveries.receiveChunk(chunk('r.1', 1, delta('two ')));
		expect(canResume(scene.caller)).toBe(true);
		scene.caller.resumes = true;
		expect(JSON.parse(buildBody(scene.caller).toString())).toMatchObject({messages: [{role: 'user'}, {role: 'assistant', content: 'one two '}], continue_final_message: true});
		scene.caller.attempt = 'r.2';
		scene.caller.delivery = {next: 0, owed: 0};
		scene.deliveries.start('r.2', scene.caller);
		scene.deliveries.receiveChunk(chunk('r.2', 0, JSON.stringify({id: 'c-2', choices: [{index: 0, delta: {role: 'assistant', content: 'three'}}]})));
		expect(scene.written()).not.toContain('c-2');
		endStream(scene.caller);
		expect(scene.written()).toMatch(/"outcome":"complete".*data: \[DONE\]\n\n$/sv);
	});

	test.each([
		{name: 'a tool call', data: delta('', {tool_calls: [{index: 0}]})},
		{name: 'an answer at its end', data: JSON.stringify({id: 'c-1', choices: [{index: 0, delta: {}, finish_reason: 'stop'}]})},
	])('is refused for $name', ({data}) => {
		const scene = createScene();
		scene.deliveries.receiveChunk(chunk('r.1', 0, data));
		expect(canResume(scene.caller)).toBe(false);
	});

	test('is refused for several choices', () => {
		expect(canResume(createScene(2).caller)).toBe(false);
	});
});
