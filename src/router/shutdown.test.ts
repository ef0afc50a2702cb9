import {List, Map} from 'immutable';
import {describe, expect, test} from 'vitest';
import {createCluster, noFaults} from '../model-check/state.js';
import type {ClusterState} from '../model-check/state.js';
import {deliverAll, tickAll} from '../model-check/settle.js';
import {applyTransition, deliverRouterEvent} from '../model-check/simulate.js';
import type {RequestSpec} from '../request/state.js';

const hourMs = 3_600_000;

const spec: RequestSpec = {
	id: 'r1:1',
	billId: 'r1:1',
	organisation: 'o',
	budget: 'b',
	workClass: 'c',
	pool: 'pool',
	model: undefined,
	kind: 'chat',
	isStream: false,
	key: undefined,
	digest: 'd',
	cap: 1,
	outputCap: 1,
	priority: 1,
	firstToken: hourMs,
	giveUp: hourMs,
	isForwarded: false,
};

/** Builds a cluster of one router and two agents, with one request dispatched that its agent has not received yet. */
const dispatchOne = (): Readonly<{cluster: ClusterState; agent: string}> => {
	const rows = Map([['budget/b', {
		table: 'budget', id: 'b', version: 1, body: {limit: 2, granted: 0},
	}]]);
	const initial = createCluster({
		routers: ['r1'], agents: 2, rows, inputs: List(), faults: noFaults, costTokens: 1, now: 1000,
	});
	const registered = tickAll(tickAll(initial));
	const arrived = deliverRouterEvent(registered, 'r1', {kind: 'request-arrived', order: spec});
	const cluster = applyTransition(arrived, {type: 'write', index: 0, how: 'apply'});
	return {cluster, agent: stateOf(cluster).attempts.first()?.agent ?? ''};
};

const stateOf = (cluster: ClusterState) => cluster.routers.get('r1')!.state;

describe('an agent that shuts down gracefully', () => {
	test('returns an attempt that it never received at once, so that it runs elsewhere and is billed once', () => {
		const {cluster, agent} = dispatchOne();
		expect(stateOf(cluster).attempts.size).toBe(1);
		const left = deliverRouterEvent(cluster, 'r1', {kind: 'agent-left', agent});
		expect(stateOf(left).attempts.first()?.agent).not.toBe(agent);
		expect(stateOf(left).pots.get('b')?.reserved).toBe(1);
	});
});

describe('a router that shuts down', () => {
	const loseAgent = () => {
		const {cluster, agent} = dispatchOne();
		const lost = deliverRouterEvent(cluster, 'r1', {kind: 'session-closed', agent, broken: [{attempt: 'r1.1', delivered: 1, canResume: false}]});
		return deliverAll(deliverRouterEvent(lost, 'r1', {kind: 'drain-asked'}), 100);
	};

	test('waits for an agent that may have run an attempt', () => {
		const waiting = deliverAll(deliverRouterEvent(loseAgent(), 'r1', {kind: 'tick'}, 20_000), 100);
		expect(stateOf(waiting).phase).toBe('draining');
	});

	test('times out and leaves its row open for a reclaimer', () => {
		const late = deliverAll(deliverRouterEvent(loseAgent(), 'r1', {kind: 'tick'}, 40_000), 100);
		expect(stateOf(late).phase).toBe('closed');
		expect(late.rows.get('router/r1')?.state).toBe('active');
	});
});
