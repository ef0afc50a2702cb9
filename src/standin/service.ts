import process from 'node:process';
import {createHash} from 'node:crypto';
import {sleep} from '../loop/index.js';
import {
	createHttpServer, listen, readBody, sendJson,
} from '../server/index.js';
import type {Endpoint, Listening} from '../server/index.js';
import {createSwitchboard} from './faults.js';
import type {Switchboard} from './faults.js';

/** Faults of the stand-in service. */
export type ServiceFaults = Readonly<{
	/** Milliseconds added before the work is done. */
	delay: number;
	/** Calls still to come whose reply is lost after the work was done. */
	loseReplies: number;
	/** Calls still to come that are answered with status 503 without doing the work. */
	fail: number;
}>;

/** One call that the service carried out. */
export type Execution = Readonly<{path: string; digest: string; at: number}>;

/** A running stand-in of a plain service. */
export type ServiceStandin = Listening & Readonly<{
	/** Every call that was carried out, in order: a repeated one stands here twice. */
	executions: () => readonly Execution[];
	faults: Switchboard<ServiceFaults>;
}>;

const maxBody = 1_000_000; // Bytes

/**
Starts a stand-in of a service whose calls must not be repeated: it records each
one that it carries out, and does not notice duplicates.

@param at - Where it listens.
@returns The running stand-in.
*/
export const startService = async (at: Endpoint): Promise<ServiceStandin> => {
	const faults = createSwitchboard<ServiceFaults>({delay: 0, loseReplies: 0, fail: 0});
	let executions: readonly Execution[] = [];

	const server = createHttpServer(async (request, response, url) => {
		if (await faults.serve(request, response, url)) {
			return;
		}

		if (url.pathname === '/_executions') {
			sendJson(response, 200, executions);
			return;
		}

		const body = await readBody(request, maxBody);
		const {delay, fail, loseReplies} = faults.get();
		if (fail > 0) {
			faults.set({fail: fail - 1});
			sendJson(response, 503, {error: 'unavailable'});
			return;
		}

		await sleep(delay);
		const digest = createHash('sha256').update(body.unwrap()).digest('hex');
		const execution: Execution = {path: url.pathname, digest, at: Date.now()};
		executions = [...executions, execution];
		if (loseReplies > 0) {
			faults.set({loseReplies: loseReplies - 1});
			request.socket.destroy();
			return;
		}

		sendJson(response, 201, {receipt: `R-${executions.length}`, path: url.pathname, digest: digest.slice(0, 16)});
	}, error => {
		process.stderr.write(`stand-in service: ${String(error)}\n`);
	});
	const listening = await listen(server, at);
	return {...listening, executions: () => executions, faults};
};
