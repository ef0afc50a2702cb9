import {Buffer} from 'node:buffer';
import {describe, expect, test} from 'vitest';
import {prepareChat, readUsage} from './chat.js';

const prepare = (fields: Readonly<Record<string, unknown>>, isStream = false) => {
	const prepared = prepareChat(Buffer.from(JSON.stringify({model: 'm', messages: [], ...fields})), {outputCap: 60, priority: 80, isStream});
	return {...prepared, body: JSON.parse(prepared.body) as Readonly<Record<string, unknown>>};
};

describe('prepareChat', () => {
	test('sets the cap in the field that the client used', () => {
		expect(prepare({max_tokens: 9000}).body).toMatchObject({max_tokens: 60});
		expect(prepare({max_completion_tokens: 9000}).body).toMatchObject({max_completion_tokens: 60});
	});

	test('divides the cap among the choices', () => {
		expect(prepare({n: 3}).body).toMatchObject({max_tokens: 20});
	});

	test('passes tools and unknown fields through', () => {
		const tools = [{type: 'function', function: {name: 'look', parameters: {type: 'object'}}}];
		expect(prepare({tools, made_up: {deep: [1, 'zwei', null]}}).body).toMatchObject({tools, made_up: {deep: [1, 'zwei', null]}});
	});

	test('requests the usage of a stream, and reports whether the client did', () => {
		expect(prepare({stream: true}, true)).toMatchObject({needsUsage: false, body: {stream_options: {include_usage: true}}});
		expect(prepare({stream: true, stream_options: {include_usage: true, other: 1}}, true)).toMatchObject({needsUsage: true, body: {stream_options: {include_usage: true, other: 1}}});
	});

	test('inverts the priority, since engines serve 0 first', () => {
		expect(prepare({}).body).toMatchObject({priority: 20});
	});
});

describe('readUsage', () => {
	test('reads the usage block, and ignores other values', () => {
		expect(readUsage({usage: {prompt_tokens: 3, completion_tokens: 4}})).toEqual({prompt: 3, output: 4});
		expect(readUsage({usage: null})).toBeUndefined();
		expect(readUsage('text')).toBeUndefined();
	});
});
