import process from 'node:process';
import {sleep} from '../loop/index.js';
import {
	createHttpServer, listen, readBody, sendJson,
} from '../server/index.js';
import type {Endpoint, Listening} from '../server/index.js';

/** A process on the platform's host list. */
export type HostEntry = Readonly<{
	id: string;
	/** `galena-router` or `galena-agent`. */
	service: string;
	address: string;
	port: number;
	isLeaving: boolean;
}>;

type HostsOptions = Readonly<{
	at: Endpoint;
	/** Milliseconds until a change shows in the list. */
	lag: number;
}>;

/** A running stand-in of the platform's host list. */
export type HostsStandin = Listening & Readonly<{
	register: (entry: HostEntry) => void;
	deregister: (id: string) => void;
}>;

const maxBody = 10_000; // Bytes

type Registration = Readonly<{ID: string; Name: string; Address: string; Port: number}>;

const describeHost = (entry: HostEntry) => ({
	Service: {
		ID: entry.id, Service: entry.service, Address: entry.address, Port: entry.port,
	},
	Checks: [{Status: entry.isLeaving ? 'maintenance' : 'passing'}],
});

/**
Starts a stand-in of the lagging host list, which speaks the health and
registration paths of Consul's published HTTP API (version 1).

@param options - Where it listens and how late it is.
@returns The running stand-in.
*/
export const startHosts = async (options: HostsOptions): Promise<HostsStandin> => {
	let entries: ReadonlyMap<string, HostEntry> = new Map();

	const change = async (update: (current: ReadonlyMap<string, HostEntry>) => ReadonlyMap<string, HostEntry>) => {
		await sleep(options.lag);
		entries = update(entries);
	};

	const register = (entry: HostEntry) => {
		void change(current => new Map([...current, [entry.id, entry]]));
	};

	const deregister = (id: string) => {
		void change(current => new Map([...current].filter(([other]) => other !== id)));
	};

	const leave = (id: string) => {
		void change(current => new Map([...current].map(([other, entry]) => [other, other === id ? {...entry, isLeaving: true} : entry])));
	};

	const actions: Readonly<Record<string, (id: string, body: string) => void>> = {
		register(_id, body) {
			const entry = JSON.parse(body) as Registration;
			register({
				id: entry.ID, service: entry.Name, address: entry.Address, port: entry.Port, isLeaving: false,
			});
		},
		deregister(id) {
			deregister(id);
		},
		maintenance(id) {
			leave(id);
		},
	};

	const server = createHttpServer(async (request, response, url) => {
		const [kind = '', middle = '', action = '', id = ''] = url.pathname.split('/').slice(2);
		if (kind === 'health') {
			sendJson(response, 200, [...entries.values()].filter(entry => entry.service === action).map(entry => describeHost(entry)));
			return;
		}

		const act = middle === 'service' ? actions[action] : undefined;
		if (act === undefined) {
			sendJson(response, 404, {error: 'not found'});
			return;
		}

		const body = await readBody(request, maxBody);
		act(id, body.unwrap().toString());
		sendJson(response, 200, {});
	}, error => {
		process.stderr.write(`stand-in hosts: ${String(error)}\n`);
	});
	const listening = await listen(server, options.at);
	return {...listening, register, deregister};
};
