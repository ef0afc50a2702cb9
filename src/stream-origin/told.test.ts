import {expect, test} from 'vitest';
import {encodeOrigins, isOriginMessage, parseOrigins} from './told.js';

const origins = [{key: 'c1', origin: {service: 's', softwareVersion: 'v1'}}, {key: 'é', origin: {service: 't', softwareVersion: ''}}];

test('what is told of origins is read as it was written', () => {
	const message = encodeOrigins(origins);
	expect(isOriginMessage(message)).toBe(true);
	expect(parseOrigins(message).unwrap()).toEqual(origins);
});

test.each([
	['no JSON', '{"kind":"stream-origins"'],
	['no list', '{"kind":"stream-origins","origins":1}'],
	['an empty key', '{"kind":"stream-origins","origins":[["","s","v1"]]}'],
	['a version that is no text', '{"kind":"stream-origins","origins":[["c1","s",1]]}'],
])('a message with %s is a fault', (_, text) => {
	expect(parseOrigins(text).err).toBe(true);
});
