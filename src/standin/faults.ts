import type {IncomingMessage, ServerResponse} from 'node:http';
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
