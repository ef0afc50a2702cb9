import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {readBody, sendJson} from '../server/index.js';

/** Reads and changes the faults that a stand-in injects while it runs. */
export type FaultInjector<Faults> = Readonly<{
	get: () => Faults;
	set: (faults: Partial<Faults>) => void;
	/** Handles `GET` and `POST /_faults`; resolves to false for any other path. */
	serve: (request: IncomingMessage, response: ServerResponse, url: URL) => Promise<boolean>;
}>;

const maxFaultBodyBytes = 10_000;

/**
Creates the fault injector of a stand-in.

@param noFaults - The values with which no fault is injected.
@returns The fault injector.
*/
export const createFaultInjector = <Faults extends Readonly<Record<string, unknown>>>(noFaults: Faults): FaultInjector<Faults> => {
	let current = noFaults;
	const set = (faults: Partial<Faults>) => {
		current = {...current, ...faults};
	};

	return {
		get: () => current,
		set,
		async serve(request, response, url) {
			if (url.pathname !== '/_faults') {
				return false;
			}

			if (request.method === 'POST') {
				const body = await readBody(request, maxFaultBodyBytes);
				set(JSON.parse(body.unwrap().toString()) as Partial<Faults>);
			}

			sendJson(response, 200, current);
			return true;
		},
	};
};

/** Faults by which a request ends the process that runs it. */
export type CrashFaults = Readonly<{
	/** Text in the path or the body of the requests that crash the stand-in; empty for none. */
	crashOn: string;
	/** Time for which it accepts no connections after a crash, in milliseconds. */
	downMs: number;
}>;

/** The faults with which no request crashes the stand-in. */
export const noCrashes: CrashFaults = {crashOn: '', downMs: 2000};

/**
Tells whether a request crashes the stand-in.

@param faults - The faults that are injected.
@param path - The path of the request.
@param body - Its body.
@returns True if the path or the body contains the text of the fault.
*/
export const isCrashing = ({crashOn}: CrashFaults, path: string, body: string): boolean => crashOn !== '' && (path.includes(crashOn) || body.includes(crashOn));

/**
Makes a server behave like one whose process ends and starts again: it closes all connections, and each new one for a while.

@param server - The server.
@param downMs - Time for which it accepts no connections, in milliseconds.
*/
export const simulateCrash = (server: Server, downMs: number): void => {
	const closeSocket = (socket: Socket) => {
		socket.destroy();
	};

	server.on('connection', closeSocket);
	server.closeAllConnections();
	setTimeout(() => {
		server.off('connection', closeSocket);
	}, downMs);
};

/** Faults by which the stand-in turns requests away and asks for a rest. */
export type RestFaults = Readonly<{
	/** Number of upcoming requests that are answered with status 503 and `Retry-After`, and not executed. */
	turnAway: number;
	/** Value of that header. */
	retryAfter: string;
}>;

/** The faults with which no request is turned away. */
export const noRest: RestFaults = {turnAway: 0, retryAfter: '3'};

/**
Turns a request away if the fault is injected.

@param faults - The faults of the stand-in, of which one is used up.
@param response - The response to the request.
@returns True if it was turned away.
*/
export const rejectForRest = (faults: FaultInjector<RestFaults>, response: ServerResponse): boolean => {
	const {turnAway, retryAfter} = faults.get();
	if (turnAway <= 0) {
		return false;
	}

	faults.set({turnAway: turnAway - 1});
	sendJson(response, 503, {error: 'unavailable'}, {'retry-after': retryAfter});
	return true;
};
