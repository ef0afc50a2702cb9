import process from 'node:process';
import {sleep} from '../loop/index.js';
import {
	createHttpServer, listen, readBody, sendJson,
} from '../server/index.js';
import type {SocketAddress, ListeningServer} from '../server/index.js';

/** A process registered in the platform's host list, which is its service registry. */
export type HostEntry = Readonly<{
	id: string;
	/** `galena-router` or `galena-agent`. */
	service: string;
	address: string;
	port: number;
	isLeaving: boolean;
}>;

type HostsOptions = Readonly<{
	at: SocketAddress;
	/** Milliseconds before a change becomes visible in the list. */
	lag: number;
}>;

/** A running stand-in for the platform's host list. */
export type HostsStandin = ListeningServer & Readonly<{
	register: (entry: HostEntry) => void;
	deregister: (id: string) => void;
}>;

const maxBodyBytes = 10_000;

type Registration = Readonly<{ID: string; Name: string; Address: string; Port: number}>;

const encodeHostEntry = (entry: HostEntry) => ({
	Service: {
		ID: entry.id, Service: entry.service, Address: entry.address, Port: entry.port,
	},
	Checks: [{Status: entry.isLeaving ? 'maintenance' : 'passing'}],
});

/**
Starts a stand-in for the platform's eventually consistent host list. It implements
the health and registration paths of Consul's published HTTP API (version 1).

@param options - The listening address and the propagation delay in milliseconds.
@returns The running stand-in.
*/
export const startHosts = async (options: HostsOptions): Promise<HostsStandin> => {
	let entries: ReadonlyMap<string, HostEntry> = new Map();

	const applyAfterLag = async (update: (current: ReadonlyMap<string, HostEntry>) => ReadonlyMap<string, HostEntry>) => {
		await sleep(options.lag);
		entries = update(entries);
	};

	const register = (entry: HostEntry) => {
		void applyAfterLag(current => new Map([...current, [entry.id, entry]]));
	};

	const deregister = (id: string) => {
		void applyAfterLag(current => new Map([...current].filter(([other]) => other !== id)));
	};

	const markLeaving = (id: string) => {
		void applyAfterLag(current => new Map([...current].map(([other, entry]) => [other, other === id ? {...entry, isLeaving: true} : entry])));
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
			markLeaving(id);
		},
	};

	const server = createHttpServer(async (request, response, url) => {
		const [resource = '', scope = '', action = '', id = ''] = url.pathname.split('/').slice(2);
		if (resource === 'health') {
			sendJson(response, 200, [...entries.values()].filter(entry => entry.service === action).map(entry => encodeHostEntry(entry)));
			return;
		}

		const handleAction = scope === 'service' ? actions[action] : undefined;
		if (handleAction === undefined) {
			sendJson(response, 404, {error: 'not found'});
			return;
		}

		const body = await readBody(request, maxBodyBytes);
		handleAction(id, body.unwrap().toString());
		sendJson(response, 200, {});
	}, error => {
		process.stderr.write(`stand-in hosts: ${String(error)}\n`);
	});
	const listening = await listen(server, options.at);
	return {...listening, register, deregister};
};
