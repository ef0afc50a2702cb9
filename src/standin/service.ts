import process from 'node:process';
import {createHash} from 'node:crypto';
import {sleep} from '../loop/index.js';
import {
	createHttpServer, listen, readBody, sendJson,
} from '../server/index.js';
import type {SocketAddress, ListeningServer} from '../server/index.js';
import {
	createFaultInjector, isCrashing, noCrashes, noRest, rejectForRest, simulateCrash,
} from './faults.js';
import type {CrashFaults, FaultInjector, RestFaults} from './faults.js';

/** Faults that the stand-in service can inject. */
export type ServiceFaults = CrashFaults & RestFaults & Readonly<{
	/** Delay before a call is executed, in milliseconds. */
	delay: number;
	/** Number of upcoming calls that are executed, but whose connection is closed without a reply. */
	loseReplies: number;
	/** Number of upcoming calls that are answered with status 503 and not executed. */
	fail: number;
}>;

/** One executed call. `at` is the Unix time in milliseconds. */
export type Execution = Readonly<{path: string; digest: string; at: number}>;

/** A running stand-in for an HTTP service. */
export type ServiceStandin = ListeningServer & Readonly<{
	/** All executed calls in order of execution; a duplicate call is listed each time it ran. */
	executions: () => readonly Execution[];
	faults: FaultInjector<ServiceFaults>;
}>;

const maxBodyBytes = 1_000_000;

/**
Starts a stand-in for a service with non-idempotent calls: it records each call that
it executes, and does not detect duplicates.

@param at - The listening address.
@returns The running stand-in.
*/
export const startService = async (at: SocketAddress): Promise<ServiceStandin> => {
	const faults = createFaultInjector<ServiceFaults>({
		delay: 0, loseReplies: 0, fail: 0, ...noCrashes, ...noRest,
	});
	let executions: readonly Execution[] = [];

	const server = createHttpServer(async (request, response, url) => {
		if (await faults.serve(request, response, url)) {
			return;
		}

		if (url.pathname === '/_executions') {
			sendJson(response, 200, executions);
			return;
		}

		const body = await readBody(request, maxBodyBytes);
		if (rejectForRest(faults, response)) {
			return;
		}

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
		if (isCrashing(faults.get(), url.pathname, body.unwrap().toString())) {
			simulateCrash(server, faults.get().downMs);
			return;
		}

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
