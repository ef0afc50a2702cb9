import {Set} from 'immutable';
import {nameAgent, splitLink} from './state.js';
import type {Move, World} from './state.js';

const listWrites = (world: World): readonly Move[] => world.writes.toArray().flatMap((write, index): readonly Move[] => [
	{type: 'write', index, how: 'apply'},
	...(!write.isLate && world.faults.loseReply > 0 ? [{type: 'write', index, how: 'lose-reply'} as const] : []),
	...(!write.isLate && world.faults.delayWrite > 0 ? [{type: 'write', index, how: 'delay'} as const] : []),
]);

const listCalls = (world: World): readonly Move[] => world.calls.toArray().flatMap((call, index): readonly Move[] => [
	{type: 'call', index, how: 'deliver'},
	...(world.faults.loseCall > 0 ? [{type: 'call', index, how: 'lose'} as const] : []),
	...(world.faults.repeatCall > 0 && (call.kind === 'seal' || call.kind === 'fence') ? [{type: 'call', index, how: 'repeat'} as const] : []),
]);

const listLinks = (world: World): readonly Move[] => world.links.entrySeq().toArray().flatMap(([name, link]): readonly Move[] => {
	const {router} = splitLink(name);
	const isAlive = world.routers.get(router)?.isAlive === true;
	return [
		...(isAlive && link.session === 0 ? [{type: 'connect', link: name} as const] : []),
		...(link.isStale ? [{type: 'notice', link: name} as const] : []),
		...(link.toAgent.isEmpty() ? [] : [{type: 'to-agent', link: name} as const]),
		...(link.toRouter.isEmpty() ? [] : [{type: 'to-router', link: name} as const]),
		...(world.faults.breakSession > 0 && link.session > 0 && !link.isStale ? [{type: 'break', link: name} as const] : []),
	];
});

const listAgents = (world: World): readonly Move[] => world.agents.toArray().flatMap((node, agent): readonly Move[] => [
	...node.state.attempts.valueSeq().toArray()
		.filter(attempt => attempt.state === 'running')
		.map(attempt => ({type: 'finish', agent, attempt: attempt.attempt} as const)),
	...(world.faults.restartAgent > 0 ? [{type: 'restart', agent} as const] : []),
]);

const listRouters = (world: World): readonly Move[] => world.routers.entrySeq().toArray()
	.filter(([, node]) => node.isAlive)
	.flatMap(([router, node]): readonly Move[] => [
		{type: 'tick', router},
		...(world.faults.crashRouter > 0 ? [{type: 'crash', router} as const] : []),
		...(world.faults.leave > 0
			? node.state.requests.valueSeq().toArray().filter(request => !request.isAnswered).map(request => ({type: 'leave', router, request: request.id} as const))
			: []),
	]);

const listGossip = (world: World): readonly Move[] => world.canGossip
	? world.routers.entrySeq().toArray().flatMap(([from, node]) => world.routers.keySeq().toArray()
		.filter(to => to !== from)
		.flatMap(to => node.state.config.recent.toArray().map(({revision}) => ({
			type: 'gossip', from, to, revision,
		} as const))))
	: [];

/**
Lists everything that may happen next.

@param world - The world.
@returns The moves.
*/
export const listMoves = (world: World): readonly Move[] => [
	...world.inputs.toArray().map((_input, index) => ({type: 'input', index} as const)),
	...listWrites(world),
	...listCalls(world),
	...listLinks(world),
	...listAgents(world),
	...listRouters(world),
	...listGossip(world),
];

/** Agents whose incarnation at that place is no more. */
export const listGone = (world: World): Set<string> => Set(world.agents.toArray().flatMap((node, index) =>
	Array.from({length: node.incarnation}, (_, incarnation) => nameAgent(index, incarnation))));
