import {Set} from 'immutable';
import {createAgentId, parseLinkId} from './state.js';
import type {Transition, ClusterState} from './state.js';

const listWrites = (cluster: ClusterState): readonly Transition[] => cluster.writes.toArray().flatMap((write, index): readonly Transition[] => [
	{type: 'write', index, how: 'apply'},
	...(!write.isLate && cluster.faults.loseReply > 0 ? [{type: 'write', index, how: 'lose-reply'} as const] : []),
	...(!write.isLate && cluster.faults.delayWrite > 0 ? [{type: 'write', index, how: 'delay'} as const] : []),
]);

const listCalls = (cluster: ClusterState): readonly Transition[] => cluster.calls.toArray().flatMap((call, index): readonly Transition[] => [
	{type: 'call', index, how: 'deliver'},
	...(cluster.faults.loseCall > 0 ? [{type: 'call', index, how: 'lose'} as const] : []),
	...(cluster.faults.repeatCall > 0 && (call.kind === 'seal' || call.kind === 'fence') ? [{type: 'call', index, how: 'repeat'} as const] : []),
]);

const listLinks = (cluster: ClusterState): readonly Transition[] => cluster.links.entrySeq().toArray().flatMap(([linkId, link]): readonly Transition[] => {
	const {router} = parseLinkId(linkId);
	const isAlive = cluster.routers.get(router)?.isAlive === true;
	return [
		...(isAlive && link.session === 0 ? [{type: 'connect', link: linkId} as const] : []),
		...(link.isStale ? [{type: 'notice', link: linkId} as const] : []),
		...(link.toAgent.isEmpty() ? [] : [{type: 'to-agent', link: linkId} as const]),
		...(link.toRouter.isEmpty() ? [] : [{type: 'to-router', link: linkId} as const]),
		...(cluster.faults.breakSession > 0 && link.session > 0 && !link.isStale ? [{type: 'break', link: linkId} as const] : []),
	];
});

const listAgents = (cluster: ClusterState): readonly Transition[] => cluster.agents.toArray().flatMap((node, agent): readonly Transition[] => [
	...node.state.attempts.valueSeq().toArray()
		.filter(attempt => attempt.state === 'running')
		.map(attempt => ({type: 'finish', agent, attempt: attempt.attempt} as const)),
	...(cluster.faults.restartAgent > 0 ? [{type: 'restart', agent} as const] : []),
]);

const listRouters = (cluster: ClusterState): readonly Transition[] => cluster.routers.entrySeq().toArray()
	.filter(([, node]) => node.isAlive)
	.flatMap(([router, node]): readonly Transition[] => [
		{type: 'tick', router},
		...(cluster.faults.crashRouter > 0 ? [{type: 'crash', router} as const] : []),
		...(cluster.faults.leave > 0
			? node.state.requests.valueSeq().toArray().filter(request => !request.isAnswered).map(request => ({type: 'leave', router, request: request.id} as const))
			: []),
	]);

const listGossip = (cluster: ClusterState): readonly Transition[] => cluster.canGossip
	? cluster.routers.entrySeq().toArray().flatMap(([from, node]) => cluster.routers.keySeq().toArray()
		.filter(to => to !== from)
		.flatMap(to => node.state.config.recent.toArray().map(({revision}) => ({
			type: 'gossip', from, to, revision,
		} as const))))
	: [];

/**
Lists the transitions that are possible in a state.

@param cluster - The state of the cluster.
@returns The transitions.
*/
export const listTransitions = (cluster: ClusterState): readonly Transition[] => [
	...cluster.inputs.toArray().map((_input, index) => ({type: 'input', index} as const)),
	...listWrites(cluster),
	...listCalls(cluster),
	...listLinks(cluster),
	...listAgents(cluster),
	...listRouters(cluster),
	...listGossip(cluster),
];

/**
Lists the agent incarnations that have ended.

@param cluster - The state of the cluster.
@returns Their ids.
*/
export const listEndedAgents = (cluster: ClusterState): Set<string> => Set(cluster.agents.toArray().flatMap((node, index) =>
	Array.from({length: node.incarnation}, (_, incarnation) => createAgentId(index, incarnation))));
