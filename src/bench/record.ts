import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {defaultPolicy} from '../budget/index.js';
import {studio} from '../local/deployments.js';
import type {Deployment} from '../local/deployments.js';
import {startFleet, waitFor} from '../local/fleet.js';
import type {Fleet} from '../local/fleet.js';
import {openLog} from '../log/index.js';
import {
	collectOutcomes, formatEntry, formatHeader, formatOutcomes,
} from '../trace/index.js';
import type {TraceEntry} from '../trace/index.js';
import {sleep} from '../loop/index.js';

/** A fault scenario during which a trace of the first router is recorded. */
type FaultScenario = Readonly<{name: string; run: (fleet: Fleet) => Promise<unknown>}>;

const smallDeployment: Deployment = {
	...studio,
	dataCentres: studio.dataCentres.slice(0, 2),
	pools: studio.pools.map(pool => ({...pool, replicas: 2})),
	organisations: studio.organisations.slice(0, 2),
};

const clientHeaders = {authorization: 'Bearer key-studio-1', 'content-type': 'application/json'};

const sendChat = async (fleet: Fleet, content: string, headers: Readonly<Record<string, string>> = {}): Promise<string> => {
	const response = await fetch(`http://${fleet.routers[0]!.address}/v1/chat/completions`, {
		method: 'POST', headers: {...clientHeaders, ...headers}, body: JSON.stringify({
			model: 'stone-advice', messages: [{role: 'user', content}], max_tokens: 16, stream: true,
		}),
	});
	return response.text();
};

const sendOrder = async (fleet: Fleet, name: string): Promise<string> => {
	const response = await fetch(`http://${fleet.routers[0]!.address}/v1/services/shop/orders`, {
		method: 'POST', headers: {...clientHeaders, 'idempotency-key': name}, body: '{}',
	});
	return response.text();
};

const pauseTimeMs = 2500;

const faultScenarios: readonly FaultScenario[] = [
	{name: 'calm', run: async fleet => Promise.all([sendChat(fleet, 'one'), sendChat(fleet, 'two'), sendOrder(fleet, 'calm')])},
	{
		name: 'store-outage', async run(fleet) {
			await sendChat(fleet, 'before');
			fleet.table.faults.set({isDown: true});
			await Promise.all([sendChat(fleet, 'during'), sendOrder(fleet, 'down')]);
			await sleep(pauseTimeMs);
			fleet.table.faults.set({isDown: false});
		},
	},
	{
		name: 'lost-replies', async run(fleet) {
			fleet.table.faults.set({loseReplies: 1});
			await Promise.all([sendChat(fleet, 'lost'), sendOrder(fleet, 'lost')]);
			fleet.table.faults.set({loseReplies: 0});
			await sendOrder(fleet, 'lost');
		},
	},
	{
		name: 'endpoint-breaks', async run(fleet) {
			fleet.replicas.forEach(replica => replica.engine?.faults.set({breakStreams: 1, breakAfter: 10}));
			fleet.replicas.forEach(replica => replica.service?.faults.set({loseReplies: 1}));
			await sendChat(fleet, 'breaks');
			await sendOrder(fleet, 'breaks');
			await sendOrder(fleet, 'breaks');
		},
	},
	{
		name: 'peer-dies', async run(fleet) {
			await sendChat(fleet, 'peer', {'idempotency-key': 'peer'});
			await fleet.routers[1]!.kill();
			const [first] = fleet.routers;
			const isReclaimed = () => fleet.table.rows().some(row => row.table === 'router' && row.state === 'closed');
			await waitFor('the peer to be reclaimed', () => isReclaimed() && first!.getState().reclaims.isEmpty(), 40_000);
		},
	},
	{
		name: 'agents-leave', async run(fleet) {
			const [engine] = fleet.replicas;
			const pendingResponses = [sendChat(fleet, 'leaves one'), sendChat(fleet, 'leaves two')];
			await engine!.agent.drain();
			await Promise.all(pendingResponses);
			await sendChat(fleet, 'after');
		},
	},
	{
		name: 'operators-race', async run(fleet) {
			const put = async (router: number, price: number) => fetch(`http://${fleet.routers[router]!.address}/operator/v1/config`, {
				method: 'PUT',
				headers: {authorization: `Bearer ${fleet.operatorKey}`, 'if-match': '1'},
				body: JSON.stringify({classes: {...smallDeployment.classes, 'shop-lookup': {...smallDeployment.classes['shop-lookup'], price}}, organisations: {}}),
			});
			await Promise.all([put(0, 2), put(1, 3)]);
			await sleep(pauseTimeMs);
		},
	},
];

const recordTrace = async (scenario: FaultScenario, folder: string) => {
	let entries: ReadonlyArray<Readonly<{router: string; entry: TraceEntry}>> = [];
	const fleet = await startFleet({
		deployment: smallDeployment,
		log: openLog({program: 'record', level: 'silent', metrics: undefined}),
		record(entry, router) {
			entries = [...entries, {router, entry}];
		},
	});
	await scenario.run(fleet);
	await sleep(pauseTimeMs);
	const state = fleet.routers[0]!.getState();
	const ownEntries = entries.filter(each => each.router === state.incarnation).map(each => each.entry);
	const told = ownEntries.reduce((current, entry) => collectOutcomes(current, entry.effects).told, {});
	const identity = {incarnation: state.incarnation, address: state.reach.address, dataCentre: state.dataCentre};
	writeFileSync(path.join(folder, `${scenario.name}.jsonl`), `${[formatHeader(identity, defaultPolicy), ...ownEntries.map(entry => formatEntry(entry)), formatOutcomes(told)].join('\n')}\n`);
	await fleet.stop();
};

/**
Records a trace of the first router in each fault scenario, into the folder `traces`.

@param write - Receives the path of each trace.
*/
export const recordTraces = async (write: (line: string) => void): Promise<void> => {
	const folder = 'traces';
	mkdirSync(folder, {recursive: true});
	for (const scenario of faultScenarios) {
		await recordTrace(scenario, folder);
		write(`${folder}/${scenario.name}.jsonl`);
	}
};
