import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {defaultPolicy} from '../budget/index.js';
import {studio} from '../local/deployments.js';
import type {Deployment} from '../local/deployments.js';
import {startFleet, waitFor} from '../local/fleet.js';
import type {Fleet} from '../local/fleet.js';
import {openLog} from '../log/index.js';
import {
	collectTold, formatEntry, formatHead, formatTold,
} from '../trace/index.js';
import type {TraceEntry} from '../trace/index.js';
import {sleep} from '../loop/index.js';

/** Something that goes wrong while a trace is recorded at the first router. */
type Failure = Readonly<{name: string; run: (fleet: Fleet) => Promise<unknown>}>;

const small: Deployment = {
	...studio,
	dataCentres: studio.dataCentres.slice(0, 2),
	pools: studio.pools.map(pool => ({...pool, replicas: 2})),
	organisations: studio.organisations.slice(0, 2),
};

const key = {authorization: 'Bearer key-studio-1', 'content-type': 'application/json'};

const ask = async (fleet: Fleet, content: string, headers: Readonly<Record<string, string>> = {}): Promise<string> => {
	const response = await fetch(`http://${fleet.routers[0]!.address}/v1/chat/completions`, {
		method: 'POST', headers: {...key, ...headers}, body: JSON.stringify({
			model: 'stone-advice', messages: [{role: 'user', content}], max_tokens: 16, stream: true,
		}),
	});
	return response.text();
};

const sendOrder = async (fleet: Fleet, name: string): Promise<string> => {
	const response = await fetch(`http://${fleet.routers[0]!.address}/v1/services/shop/orders`, {
		method: 'POST', headers: {...key, 'idempotency-key': name}, body: '{}',
	});
	return response.text();
};

const pauseTime = 2500; // Milliseconds

const failures: readonly Failure[] = [
	{name: 'calm', run: async fleet => Promise.all([ask(fleet, 'one'), ask(fleet, 'two'), sendOrder(fleet, 'calm')])},
	{
		name: 'store-outage', async run(fleet) {
			await ask(fleet, 'before');
			fleet.table.faults.set({isDown: true});
			await Promise.all([ask(fleet, 'during'), sendOrder(fleet, 'down')]);
			await sleep(pauseTime);
			fleet.table.faults.set({isDown: false});
		},
	},
	{
		name: 'lost-replies', async run(fleet) {
			fleet.table.faults.set({loseReplies: 1});
			await Promise.all([ask(fleet, 'lost'), sendOrder(fleet, 'lost')]);
			fleet.table.faults.set({loseReplies: 0});
			await sendOrder(fleet, 'lost');
		},
	},
	{
		name: 'endpoint-breaks', async run(fleet) {
			fleet.replicas.forEach(replica => replica.engine?.faults.set({breakStreams: 1, breakAfter: 10}));
			fleet.replicas.forEach(replica => replica.service?.faults.set({loseReplies: 1}));
			await ask(fleet, 'breaks');
			await sendOrder(fleet, 'breaks');
			await sendOrder(fleet, 'breaks');
		},
	},
	{
		name: 'peer-dies', async run(fleet) {
			await ask(fleet, 'peer', {'idempotency-key': 'peer'});
			await fleet.routers[1]!.kill();
			const [first] = fleet.routers;
			const isReclaimed = () => fleet.table.rows().some(row => row.table === 'router' && row.state === 'closed');
			await waitFor('the peer to be reclaimed', () => isReclaimed() && first!.getState().reclaims.isEmpty(), 40_000);
		},
	},
	{
		name: 'agents-leave', async run(fleet) {
			const [engine] = fleet.replicas;
			const asked = [ask(fleet, 'leaves one'), ask(fleet, 'leaves two')];
			await engine!.agent.drain();
			await Promise.all(asked);
			await ask(fleet, 'after');
		},
	},
	{
		name: 'operators-race', async run(fleet) {
			const put = async (router: number, price: number) => fetch(`http://${fleet.routers[router]!.address}/operator/v1/config`, {
				method: 'PUT',
				headers: {authorization: `Bearer ${fleet.operatorKey}`, 'if-match': '1'},
				body: JSON.stringify({classes: {...small.classes, 'shop-lookup': {...small.classes['shop-lookup'], price}}, organisations: {}}),
			});
			await Promise.all([put(0, 2), put(1, 3)]);
			await sleep(pauseTime);
		},
	},
];

const recordOne = async (failure: Failure, folder: string) => {
	let entries: ReadonlyArray<Readonly<{router: string; entry: TraceEntry}>> = [];
	const fleet = await startFleet({
		deployment: small,
		log: openLog({program: 'record', level: 'silent', metrics: undefined}),
		record(entry, router) {
			entries = [...entries, {router, entry}];
		},
	});
	await failure.run(fleet);
	await sleep(pauseTime);
	const state = fleet.routers[0]!.getState();
	const own = entries.filter(each => each.router === state.incarnation).map(each => each.entry);
	const told = own.reduce((current, entry) => collectTold(current, entry.effects).told, {});
	const identity = {incarnation: state.incarnation, address: state.reach.address, dataCentre: state.dataCentre};
	writeFileSync(path.join(folder, `${failure.name}.jsonl`), `${[formatHead(identity, defaultPolicy), ...own.map(entry => formatEntry(entry)), formatTold(told)].join('\n')}\n`);
	await fleet.stop();
};

/**
Records one trace for each failure that a router meets.

@param write - Takes each line of the result.
*/
export const recordTraces = async (write: (line: string) => void): Promise<void> => {
	const folder = 'traces';
	mkdirSync(folder, {recursive: true});
	for (const failure of failures) {
		await recordOne(failure, folder);
		write(`${folder}/${failure.name}.jsonl`);
	}
};
