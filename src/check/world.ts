import {List, type Map} from 'immutable';
import {createAgentState, handleAgent} from '../attempt/index.js';
import type {
	AgentEffect, AgentEvent, AgentState, Order as AgentOrder,
} from '../attempt/index.js';
import {answers} from '../errors/index.js';
import {handleRouter} from '../router/handle.js';
import type {RouterEffect, RouterEvent} from '../router/messages.js';
import {applyCall} from '../table/index.js';
import {freezeTimes, lateTick} from './freeze.js';
import {
	closedLink, nameLink, splitLink, nameAgent, readSlot,
} from './state.js';
import type {
	FaultBudget, Message, Report, Link, Call, Told, World, Move,
} from './state.js';

const putLink = (world: World, name: string, change: (link: Link) => Link): World =>
	({...world, links: world.links.update(name, closedLink, change)});

/** A message leaves on the session that the router knows of; if that is over, it is lost. */
const sendToAgent = (world: World, router: string, agent: string, message: Message, session?: number): World => {
	const name = nameLink(router, readSlot(agent));
	const link = world.links.get(name);
	const isOther = session !== undefined && session !== link?.session && world.routers.get(router)?.broken !== 'session-check';
	return link === undefined || link.session === 0 || link.isStale || isOther
		? world
		: putLink(world, name, current => ({...current, toAgent: current.toAgent.push(message)}));
};

type Follow<Kind extends RouterEffect['kind']> = (world: World, router: string, effect: RouterEffect & {kind: Kind}) => World;

const describeOrder = (effect: RouterEffect & {kind: 'dispatch'}): AgentOrder => ({
	attempt: effect.attempt.id,
	request: effect.request.billId,
	agent: effect.attempt.agent,
	organisation: effect.request.organisation,
	budget: effect.request.budget,
	cap: effect.attempt.cap,
	keyed: effect.request.keyed,
	...(effect.attempt.isAct && {claimKey: effect.request.key ?? ''}),
});

/** Reads are answered at once: what canFollow them is where processes interleave. */
const callStore: Follow<'store'> = (world, router, effect) => {
	if (effect.call.kind === 'write') {
		return {
			...world, writes: world.writes.push({
				router, tag: effect.tag, call: effect.call, isLate: false,
			}),
		};
	}

	const {reply} = applyCall(world.rows, effect.call);
	return postRouter(world, router, {
		kind: 'store-replied', tag: effect.tag, reply, random: 0,
	});
};

const hasRun = (world: World, arrival: string): boolean => {
	const order = world.orders.get(arrival);
	return world.executions.some(execution => execution.claimKey === undefined
		? world.sent.get(execution.attempt) === arrival
		: execution.claimKey === order?.key);
};

const tell = (world: World, told: Told): World => ({
	...world,
	told: world.told.push(told),
	lies: told.outcome === 'not-run' && hasRun(world, told.arrival) ? world.lies.push(told.arrival) : world.lies,
});

/** The same question is not asked twice while it is under way; `repeat` stands for a network that does. */
const pushCall = (world: World, call: Call): World =>
	world.calls.some(other => JSON.stringify(other) === JSON.stringify(call)) ? world : {...world, calls: world.calls.push(call)};

const skip = (world: World): World => world;

const followers: Readonly<{[Kind in RouterEffect['kind']]: Follow<Kind>}> = {
	store: callStore,
	dispatch(world, router, effect) {
		const {attempt, request} = effect;
		const noted: World = {...world, sent: world.sent.set(attempt.id, request.id)};
		return sendToAgent(noted, router, attempt.agent, {kind: 'order', order: describeOrder(effect)}, attempt.session);
	},
	cancel: (world, router, effect) => sendToAgent(world, router, effect.agent, {kind: 'cancel', attempt: effect.attempt}),
	settle: (world, router, effect) => sendToAgent(world, router, effect.agent, {kind: 'settled', attempts: effect.attempts}),
	reply: (world, _router, effect) => tell(world, {
		arrival: effect.request, kind: 'complete', outcome: 'complete', text: String.fromCodePoint(...effect.answer.body),
	}),
	'end-stream': (world, _router, effect) => tell(world, {
		arrival: effect.request, kind: 'complete', outcome: 'complete', text: '',
	}),
	'reply-fault': (world, _router, effect) => tell(world, {
		arrival: effect.request, kind: effect.fault.kind, outcome: answers[effect.fault.kind].outcome, text: '',
	}),
	forward: (world, router, effect) => postRouter(world, router, {kind: 'forward-ended', request: effect.request.id, outcome: 'not-run'}),
	'ask-seal': (world, router, effect) => pushCall(world, {
		kind: 'seal', from: router, to: readSlot(effect.agent), request: effect.request, attempt: effect.attempt, agent: effect.agent,
	}),
	'ask-fence': (world, router, effect) => pushCall(world, {
		kind: 'fence', from: router, to: readSlot(effect.agent), router: effect.router, agent: effect.agent, probe: effect.probe,
	}),
	'close-router'(world, _router, effect) {
		const closed = {kind: 'router-closed', router: effect.router} as const;
		return world.agents.reduce((current, _node, index) => postAgent(current, index, closed), world);
	},
	'config-in-force'(world, router, effect) {
		const before = world.revisions.get(router, 0);
		return {
			...world,
			revisions: world.revisions.set(router, Math.max(before, effect.revision)),
			hasReverted: world.hasReverted || effect.revision < before,
		};
	},
	'operation-ended': (world, _router, effect) => ({
		...world, changes: world.changes.push({
			id: effect.operation, kind: effect.change.kind, fault: effect.fault?.kind, revision: (effect.result as {revision?: number} | null)?.revision ?? 0,
		}),
	}),
	closed: (world, router) => world.routers.get(router)?.state.phase === 'closed' ? killRouter(world, router) : world,
	log: skip,
};

/**
Hands an event to a router and canFollow up its effects.

@param world - The world.
@param name - The router.
@param event - What happened.
@param now - The time that the handler sees; the world's unless given.
@returns The world.
*/
export const postRouter = (world: World, name: string, event: RouterEvent, now = world.now): World => {
	const node = world.routers.get(name);
	if (node?.isAlive !== true) {
		return world;
	}

	const step = handleRouter(node.state, event, now);
	const next: World = {...world, routers: world.routers.set(name, {...node, state: world.now === 0 ? freezeTimes(step.state) : step.state})};
	return step.effects.reduce((current, effect) => {
		const follow = followers[effect.kind] as (world: World, router: string, effect: RouterEffect) => World;
		return follow(current, name, effect);
	}, next);
};

const breakLink = (world: World, name: string): World => {
	const {agent} = splitLink(name);
	const link = world.links.get(name, closedLink);
	if (link.session === 0 || link.isStale) {
		return world;
	}

	const incarnation = world.agents.get(agent)?.state.incarnation ?? '';
	// The router hears of the end after what it had been sent before, or in place of it.
	const closed: Report = {kind: 'closed', agent: incarnation};
	const isKnown = !link.toRouter.some(report => report.kind === 'hello');
	return putLink(world, name, current => ({
		...current,
		isStale: true,
		toAgent: List(),
		toRouter: isKnown ? current.toRouter.filter(report => report.kind === 'closed').push(closed) : current.toRouter.filter(report => report.kind === 'closed'),
	}));
};

const killRouter = (world: World, name: string): World => {
	const node = world.routers.get(name);
	const dead: World = node === undefined ? world : {...world, routers: world.routers.set(name, {...node, isAlive: false})};
	const cut = world.links.keySeq().filter(link => splitLink(link).router === name)
		.reduce((current, link) => putLink(breakLink(current, link), link, broken => ({...broken, toRouter: List()})), dead);
	return {
		...cut,
		// Writes that had left may still arrive.
		writes: cut.writes.map(write => write.router === name ? {...write, isLate: true} : write),
		calls: cut.calls.filter(call => call.from !== name),
	};
};

// Agents

type FollowAgent<Kind extends AgentEffect['kind']> = (world: World, index: number, effect: AgentEffect & {kind: Kind}) => World;

const sendToRouter = (world: World, router: string, index: number, report: Report): World => {
	const name = nameLink(router, index);
	const link = world.links.get(name);
	return link === undefined || link.session === 0 || link.isStale
		? world
		: putLink(world, name, current => ({...current, toRouter: current.toRouter.push(report)}));
};

const describeAnswer = (attempt: string): Uint8Array => Uint8Array.from([...attempt].map(character => character.codePointAt(0) ?? 0));

const reportEnd = (attempt: AgentState['attempts'] extends Map<string, infer Each> ? Each : never, agent: string): RouterEvent => ({
	kind: 'attempt-ended',
	attempt: attempt.attempt,
	agent,
	outcome: attempt.outcome ?? 'failed',
	tokens: attempt.tokens,
	answer: {status: 200, contentType: '', body: describeAnswer(attempt.attempt)},
	delivered: 0,
	canResume: true,
});

const agentFollowers: Readonly<{[Kind in AgentEffect['kind']]: FollowAgent<Kind>}> = {
	'accept-session'(world, index, effect) {
		const agent = world.agents.get(index)?.state.incarnation ?? '';
		const name = nameLink(effect.router, index);
		const ended = effect.kept.filter(attempt => attempt.state === 'ended')
			.map((attempt): Report => ({kind: 'event', event: reportEnd(attempt, agent)}));
		return putLink(world, name, current => ({
			session: effect.session,
			isStale: false,
			toAgent: List(),
			toRouter: List<Report>([...current.toRouter, {
				kind: 'hello', agent, kept: effect.kept.map(attempt => attempt.attempt), session: effect.session,
			}, ...ended]),
		}));
	},
	'refuse-session': (world, _index, effect) => postRouter(world, effect.router, {kind: 'session-refused'}),
	start: (world, _index, effect) => ({
		...world, executions: world.executions.push({
			attempt: effect.attempt.attempt, request: effect.attempt.request, claimKey: effect.attempt.claimKey,
		}),
	}),
	cancel: (world, index, effect) => postAgent(world, index, {
		kind: 'attempt-ended', attempt: effect.attempt, outcome: 'cancelled', tokens: world.cost,
	}),
	refuse: (world, index, effect) => sendToRouter(world, effect.router, index, {kind: 'event', event: {kind: 'attempt-refused', attempt: effect.attempt, error: effect.error}}),
	'report-end': (world, index, effect) => sendToRouter(world, effect.attempt.router, index, {kind: 'event', event: reportEnd(effect.attempt, effect.attempt.agent)}),
	forgotten: (world, index, effect) => sendToRouter(world, effect.router, index, {kind: 'event', event: {kind: 'attempts-forgotten', attempts: effect.attempts}}),
	'answer-fence': (world, _index, effect) => ({
		...world, calls: world.calls.map((call, index): Call => index === effect.call && call.kind === 'fence'
			? {
				kind: 'fence-reply', from: call.from, router: call.router, agent: call.agent, answer: effect.answer,
			}
			: call),
	}),
	'answer-seal': (world, _index, effect) => ({
		...world, calls: world.calls.map((call, index): Call => index === effect.call && call.kind === 'seal'
			? {
				kind: 'seal-reply', from: call.from, request: call.request, attempt: call.attempt, answer: effect.answer,
			}
			: call),
	}),
	drained: skip,
};

/**
Hands an event to an agent and canFollow up its effects.

@param world - The world.
@param index - The agent's place.
@param event - What happened.
@returns The world.
*/
export const postAgent = (world: World, index: number, event: AgentEvent): World => {
	const node = world.agents.get(index);
	if (node === undefined) {
		return world;
	}

	const broken = world.routers.first()?.broken;
	const step = handleAgent(node.state, event, world.now, broken);
	return step.effects.reduce((current, effect) => {
		const follow = agentFollowers[effect.kind] as (world: World, index: number, effect: AgentEffect) => World;
		return follow(current, index, effect);
	}, {...world, agents: world.agents.set(index, {...node, state: step.state})});
};

const restartAgent = (world: World, index: number): World => {
	const node = world.agents.get(index);
	if (node === undefined) {
		return world;
	}

	const cut = world.links.keySeq().filter(link => splitLink(link).agent === index)
		.reduce((current, link) => putLink(breakLink(current, link), link, broken => ({...closedLink, toRouter: broken.toRouter})), world);
	const incarnation = node.incarnation + 1;
	return {...cut, agents: cut.agents.set(index, {state: createAgentState(nameAgent(index, incarnation), 4), incarnation})};
};

// Moves

const spend = (world: World, fault: keyof FaultBudget): World => ({...world, faults: {...world.faults, [fault]: world.faults[fault] - 1}});

const applyWrite = (world: World, index: number, how: 'apply' | 'lose-reply' | 'delay'): World => {
	const write = world.writes.get(index);
	if (write === undefined) {
		return world;
	}

	const {router, tag} = write;
	const lost: RouterEvent = {
		kind: 'store-replied', tag, reply: {kind: 'lost'}, random: 0,
	};
	if (how === 'delay') {
		const delayed = {...spend(world, 'delayWrite'), writes: world.writes.set(index, {...write, isLate: true})};
		return postRouter(delayed, router, lost);
	}

	const {rows, reply} = applyCall(world.rows, write.call);
	const applied: World = {...world, rows, writes: world.writes.delete(index)};
	if (write.isLate) {
		return applied;
	}

	return how === 'lose-reply'
		? postRouter(spend(applied, 'loseReply'), router, lost)
		: postRouter(applied, router, {
			kind: 'store-replied', tag, reply, random: 0,
		});
};

const deliverToAgent = (world: World, name: string): World => {
	const {router, agent} = splitLink(name);
	const link = world.links.get(name, closedLink);
	const message = link.toAgent.first();
	if (message === undefined) {
		return world;
	}

	const taken = putLink(world, name, current => ({...current, toAgent: current.toAgent.shift()}));
	const deliveries: Readonly<Record<Message['kind'], () => AgentEvent>> = {
		order: () => ({
			kind: 'ordered', router, session: link.session, order: (message as Message & {kind: 'order'}).order,
		}),
		settled: () => ({kind: 'settled', attempts: (message as Message & {kind: 'settled'}).attempts}),
		cancel: () => ({kind: 'cancel-asked', router, attempt: (message as Message & {kind: 'cancel'}).attempt}),
	};
	return postAgent(taken, agent, deliveries[message.kind]());
};

const describeHello = (agent: number, report: Report & {kind: 'hello'}): RouterEvent => ({
	kind: 'session-opened',
	introduction: {
		agent: report.agent, address: String(agent), pool: 'pool', dataCentre: 'here', models: [], capacity: 4, session: report.session,
	},
	kept: report.kept,
});

const describeClosed = (world: World, router: string, agent: string): RouterEvent => {
	const attempts = world.routers.get(router)?.state.attempts.valueSeq().toArray() ?? [];
	return {
		kind: 'session-closed',
		agent,
		broken: attempts.filter(attempt => attempt.agent === agent).map(attempt => ({attempt: attempt.id, delivered: 0, canResume: true})),
	};
};

const deliverToRouter = (world: World, name: string): World => {
	const {router, agent} = splitLink(name);
	const report = world.links.get(name, closedLink).toRouter.first();
	if (report === undefined) {
		return world;
	}

	const taken = putLink(world, name, current => ({...current, toRouter: current.toRouter.shift()}));
	const deliveries: Readonly<Record<Report['kind'], () => World>> = {
		event: () => postRouter(taken, router, (report as Report & {kind: 'event'}).event),
		closed: () => postRouter(taken, router, describeClosed(taken, router, (report as Report & {kind: 'closed'}).agent)),
		hello: () => postRouter(taken, router, describeHello(agent, report as Report & {kind: 'hello'})),
	};
	return deliveries[report.kind]();
};

const deliverCall = (world: World, index: number): World => {
	const call = world.calls.get(index);
	if (call === undefined) {
		return world;
	}

	const remove = (current: World): World => ({...current, calls: current.calls.delete(index)});
	const deliveries: Readonly<Record<Call['kind'], () => World>> = {
		seal: () => call.kind === 'seal'
			? postAgent(world, call.to, {
				kind: 'seal-asked', attempt: call.attempt, agent: call.agent, call: index,
			})
			: world,
		fence: () => call.kind === 'fence'
			? postAgent(world, call.to, {
				kind: 'fence-asked', router: call.router, agent: call.agent, probe: call.probe, call: index,
			})
			: world,
		'seal-reply': () => call.kind === 'seal-reply'
			? postRouter(remove(world), call.from, {
				kind: 'seal-answered', request: call.request, attempt: call.attempt, answer: call.answer,
			})
			: world,
		'fence-reply': () => call.kind === 'fence-reply'
			? postRouter(remove(world), call.from, {
				kind: 'fence-answered', router: call.router, agent: call.agent, answer: call.answer,
			})
			: world,
	};
	return deliveries[call.kind]();
};

const loseCall = (world: World, index: number): World => {
	const call = world.calls.get(index);
	const lost: World = {...spend(world, 'loseCall'), calls: world.calls.delete(index)};
	return call?.kind === 'seal' || call?.kind === 'seal-reply'
		? postRouter(lost, call.from, {
			kind: 'seal-answered', request: call.request, attempt: call.attempt, answer: undefined,
		})
		: lost;
};

/** The request arrives now, and a copy of it again later. */
const repeatCall = (world: World, index: number): World => {
	const call = world.calls.get(index);
	return call === undefined ? world : deliverCall({...spend(world, 'repeatCall'), calls: world.calls.push(call)}, index);
};

const callMoves: Readonly<Record<'deliver' | 'lose' | 'repeat', (world: World, index: number) => World>> = {
	deliver: deliverCall, lose: loseCall, repeat: repeatCall,
};

const gossip = (world: World, from: string, to: string, number: number): World => {
	const revision = world.routers.get(from)?.state.config.recent.find(each => each.revision === number);
	return revision === undefined
		? world
		: postRouter(world, to, {
			kind: 'peer-heard', router: from, address: from, revision: number, revisions: [revision],
		});
};

const linkMoves: Readonly<Record<'connect' | 'break' | 'notice', (world: World, name: string) => World>> = {
	connect(world, name) {
		const {router, agent} = splitLink(name);
		return postAgent(world, agent, {kind: 'session-opened', router});
	},
	break: (world, name) => breakLink(spend(world, 'breakSession'), name),
	notice(world, name) {
		const {router, agent} = splitLink(name);
		const link = world.links.get(name, closedLink);
		return postAgent(putLink(world, name, current => ({...closedLink, toRouter: current.toRouter})), agent, {kind: 'session-closed', router, session: link.session});
	},
};

const makeInput = (world: World, index: number): World => {
	const input = world.inputs.get(index);
	if (input === undefined || world.routers.get(input.router)?.isAlive !== true) {
		return {...world, inputs: world.inputs.delete(index)};
	}

	const orders = input.event.kind === 'request-arrived' ? world.orders.set(input.event.order.id, input.event.order) : world.orders;
	return postRouter({...world, orders, inputs: world.inputs.delete(index)}, input.router, input.event);
};

/**
Makes one move.

@param world - The world.
@param move - What happens.
@returns The world after it.
*/
export const makeMove = (world: World, move: Move): World => {
	switch (move.type) {
		case 'input': {
			return makeInput(world, move.index);
		}

		case 'write': {
			return applyWrite(world, move.index, move.how);
		}

		case 'to-agent': {
			return deliverToAgent(world, move.link);
		}

		case 'to-router': {
			return deliverToRouter(world, move.link);
		}

		case 'connect':
		case 'break':
		case 'notice': {
			return linkMoves[move.type](world, move.link);
		}

		case 'finish': {
			return postAgent(world, move.agent, {
				kind: 'attempt-ended', attempt: move.attempt, outcome: 'done', tokens: world.cost, answer: {status: 200, contentType: '', body: describeAnswer(move.attempt)},
			});
		}

		case 'call': {
			return callMoves[move.how](world, move.index);
		}

		case 'crash': {
			return killRouter(spend(world, 'crashRouter'), move.router);
		}

		case 'restart': {
			return restartAgent(spend(world, 'restartAgent'), move.agent);
		}

		case 'leave': {
			return postRouter({...spend(world, 'leave'), left: world.left.add(move.request)}, move.router, {kind: 'caller-left', request: move.request});
		}

		case 'tick': {
			return postRouter(world, move.router, {kind: 'tick'}, world.now === 0 ? lateTick : world.now);
		}

		case 'gossip': {
			return gossip(world, move.from, move.to, move.revision);
		}
	}
};
