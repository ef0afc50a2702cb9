import type {IncomingMessage, ServerResponse} from 'node:http';
import {readBody, sendJson} from '../server/index.js';

/** A set of faults that can be switched on and off while a stand-in runs. */
export type Switchboard<Faults> = Readonly<{
	get: () => Faults;
	set: (faults: Partial<Faults>) => void;
	/** Answers `GET` and `POST /_faults`; false if the request is for something else. */
	serve: (request: IncomingMessage, response: ServerResponse, url: URL) => Promise<boolean>;
}>;

const maxFaultBody = 10_000; // Bytes

/**
Creates a stand-in's faults.

@param calm - The values that mean no fault.
@returns The switchboard.
*/
export const createSwitchboard = <Faults extends Readonly<Record<string, unknown>>>(calm: Faults): Switchboard<Faults> => {
	let current = calm;
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
				const body = await readBody(request, maxFaultBody);
				set(JSON.parse(body.unwrap().toString()) as Partial<Faults>);
			}

			sendJson(response, 200, current);
			return true;
		},
	};
};
