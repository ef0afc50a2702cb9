import {globalAgent} from 'node:http';
import {createServer} from 'node:net';
import {describe, expect, test} from 'vitest';
import {sleep} from '../src/loop/sleep.js';
import {startRouter} from './edge-system.js';
import {fetchOutcome} from './http-status.js';
import type {Outcome} from './http-status.js';

/** What the copy of a refusal looks like. */
type CopyCase = Readonly<{
	id: 'its own' | 'none';
	/** When it is written: while the connection is idle, or when the next request has come, before that is run. */
	at: 'idle' | 'next request';
	framing: 'length' | 'chunked' | 'close';
}>;

const framings: Readonly<Record<CopyCase['framing'], string>> = {
	length: 'Content-Length: 2\r\n\r\nno',
	chunked: 'Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n',
	close: '\r\nno',
};

const createRefusal = (id: string | undefined, framing: CopyCase['framing']): string =>
	`HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRetry-After: 0\r\n${id === undefined ? '' : `Attempt-Id: ${id}\r\n`}${framings[framing]}`;

/** Starts an endpoint that refuses the first request of a connection, and runs the following ones although it first writes the refusal again. */
const createFaultyEndpoint = ({id: idOfCopy, at, framing}: CopyCase, runs: string[]) => createServer(socket => {
	let refused: string | undefined;
	const writeCopy = () => {
		socket.write(createRefusal(idOfCopy === 'none' ? undefined : refused, framing));
		if (framing === 'close') {
			socket.end();
		}
	};

	socket.on('error', () => undefined);
	socket.on('data', bytes => {
		const id = /attempt-id: (?<id>\S+)/iv.exec(String(bytes))?.groups?.id ?? '';
		if (refused === undefined) {
			refused = id;
			socket.write(createRefusal(id, 'length'));
			if (at === 'idle') {
				setTimeout(writeCopy, 20);
			}

			return;
		}

		runs.push(id);
		if (at === 'next request') {
			writeCopy();
		}

		setTimeout(() => {
			socket.write(`HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nAttempt-Id: ${id}\r\nContent-Length: 3\r\n\r\nran`);
		}, 20);
	});
});

/** Returns what a client gets. */
const sendRequest = async (port: number, id: string): Promise<Outcome> => fetchOutcome({
	port, agent: globalAgent, method: 'POST', headers: {host: 'h', 'attempt-id': id, 'request-deadline-ms': '3000'},
});

const hasNotRunStatuses = new Set<Outcome | undefined>([408, 421, 429, 503]);

const copyCases: readonly CopyCase[] = (['its own', 'none'] as const)
	.flatMap(id => (['idle', 'next request'] as const)
		.flatMap(at => (['length', 'chunked', 'close'] as const).map(framing => ({id, at, framing}))));

describe.each([['the same request', 'a'], ['another request', 'b']])('a refusal that is written once more on a kept connection when %s is sent', (_, second) => {
	test.each(copyCases)('does not count for it: id $id, written while $at, framed by $framing', async copyCase => {
		const runs: string[] = [];
		const {port} = await startRouter({endpoints: [{server: createFaultyEndpoint(copyCase, runs)}], route: {maxAttempts: 1}});
		const first = await sendRequest(port, 'a');
		await sleep(60);
		const statuses = [first, await sendRequest(port, second)];
		await sleep(40);
		// Runs of a request that the client was told has not run.
		expect(runs.filter(id => hasNotRunStatuses.has(statuses[id === 'a' && second === 'b' ? 0 : 1]))).toEqual([]);
		expect(statuses[0]).toBe(503);
	});

	test.each(copyCases)('does not send it to a second endpoint: id $id, written while $at, framed by $framing', async copyCase => {
		const runs: string[] = [];
		const {port} = await startRouter({
			endpoints: [{server: createFaultyEndpoint(copyCase, runs)}, {server: createFaultyEndpoint(copyCase, runs)}], route: {maxAttempts: 2},
		});
		expect(await sendRequest(port, 'a')).toBe(503);
		await sleep(60);
		await sendRequest(port, second);
		await sleep(40);
		expect(runs.length).toBeLessThanOrEqual(1);
	});
});
