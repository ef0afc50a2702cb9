import {List, type Map} from 'immutable';
import {createAgentState, handleAgent} from '../attempt/index.js';
import type {
	AgentEffect, AgentEvent, AgentState, AttemptSpec,
} from '../attempt/index.js';
import {errorResponses} from '../errors/index.js';
import {handleRouter} from '../router/handle.js';
import type {RouterEffect, RouterEvent} from '../router/messages.js';
import {applyCall} from '../table/index.js';
import {normalizeTimes, lateTickMs} from './normalize-times.js';
import {
	closedLink, createLinkId, parseLinkId, createAgentId, parseAgentIndex,
} from './state.js';
import type {
	FaultBudget, MessageToAgent, MessageToRouter, Link, Call, ClientResponse, ClusterState, Transition,
} from './state.js';

const updateLink = (cluster: ClusterState, linkId: string, change: (link: Link) => Link): ClusterState =>
	({...cluster, links: cluster.links.update(linkId, closedLink, change)});

/** Sends a message on the session that the router knows. The message is lost if that session has ended. */
const sendToAgent = (cluster: ClusterState, router: string, agent: string, message: MessageToAgent, session?: number): ClusterState => {
	const linkId = createLinkId(router, parseAgentIndex(agent));
	const link = cluster.links.get(linkId);
	const isOtherSession = session !== undefined && session !== link?.session && cluster.routers.get(router)?.disabledRule !== 'session-check';
	return link === undefined || link.session === 0 || link.isStale || isOtherSession
		? cluster
		: updateLink(cluster, linkId, current => ({...current, toAgent: current.toAgent.push(message)}));
};

type EffectHandler<Kind extends RouterEffect['kind']> = (cluster: ClusterState, router: string, effect: RouterEffect & {kind: Kind}) => ClusterState;

const createAttemptSpec = (effect: RouterEffect & {kind: 'dispatch'}): AttemptSpec => ({
	attempt: effect.attempt.id,
	request: effect.request.billId,
	agent: effect.attempt.agent,
	organisation: effect.request.organisation,
	budget: effect.request.budget,
	cap: effect.attempt.cap,
	keyed: effect.request.keyed,
	...(effect.attempt.isAct && {claimKey: effect.request.key ?? ''}),
});

/** Queues writes, and answers reads at once: what a process does after a read still interleaves with other processes. */
const callStore: EffectHandler<'store'> = (cluster, router, effect) => {
	if (effect.call.kind === 'write') {
		return {
			...cluster, writes: cluster.writes.push({
				router, tag: effect.tag, call: effect.call, isLate: false,
			}),
		};
	}

	const {reply} = applyCall(cluster.rows, effect.call);
	return deliverRouterEvent(cluster, router, {
		kind: 'store-replied', tag: effect.tag, reply, random: 0,
	});
};

const hasRun = (cluster: ClusterState, arrival: string): boolean => {
	const spec = cluster.requestSpecs.get(arrival);
	return cluster.executions.some(execution => execution.claimKey === undefined
		? cluster.arrivalByAttempt.get(execution.attempt) === arrival
		: execution.claimKey === spec?.key);
};

const recordResponse = (cluster: ClusterState, response: ClientResponse): ClusterState => ({
	...cluster,
	responses: cluster.responses.push(response),
	falseNotRuns: response.outcome === 'not-run' && hasRun(cluster, response.arrival) ? cluster.falseNotRuns.push(response.arrival) : cluster.falseNotRuns,
});

/** Adds a call unless an equal one is pending. The transition `repeat` models a network that delivers a call twice. */
const addCall = (cluster: ClusterState, call: Call): ClusterState =>
	cluster.calls.some(other => JSON.stringify(other) === JSON.stringify(call)) ? cluster : {...cluster, calls: cluster.calls.push(call)};

const ignoreEffect = (cluster: ClusterState): ClusterState => cluster;

const effectHandlers: Readonly<{[Kind in RouterEffect['kind']]: EffectHandler<Kind>}> = {
	store: callStore,
	dispatch(cluster, router, effect) {
		const {attempt, request} = effect;
		const updated: ClusterState = {...cluster, arrivalByAttempt: cluster.arrivalByAttempt.set(attempt.id, request.id)};
		return sendToAgent(updated, router, attempt.agent, {kind: 'order', order: createAttemptSpec(effect)}, attempt.session);
	},
	cancel: (cluster, router, effect) => sendToAgent(cluster, router, effect.agent, {kind: 'cancel', attempt: effect.attempt}),
	settle: (cluster, router, effect) => sendToAgent(cluster, router, effect.agent, {kind: 'settled', attempts: effect.attempts}),
	reply: (cluster, _router, effect) => recordResponse(cluster, {
		arrival: effect.request, kind: 'complete', outcome: 'complete', text: String.fromCodePoint(...effect.answer.body),
	}),
	'end-stream': (cluster, _router, effect) => recordResponse(cluster, {
		arrival: effect.request, kind: 'complete', outcome: 'complete', text: '',
	}),
	'reply-fault': (cluster, _router, effect) => recordResponse(cluster, {
		arrival: effect.request, kind: effect.fault.kind, outcome: errorResponses[effect.fault.kind].outcome, text: '',
	}),
	forward: (cluster, router, effect) => deliverRouterEvent(cluster, router, {kind: 'forward-ended', request: effect.request.id, outcome: 'not-run'}),
	'ask-seal': (cluster, router, effect) => addCall(cluster, {
		kind: 'seal', from: router, to: parseAgentIndex(effect.agent), request: effect.request, attempt: effect.attempt, agent: effect.agent,
	}),
	'ask-fence': (cluster, router, effect) => addCall(cluster, {
		kind: 'fence', from: router, to: parseAgentIndex(effect.agent), router: effect.router, agent: effect.agent, probe: effect.probe,
	}),
	'close-router'(cluster, _router, effect) {
		const closed = {kind: 'router-closed', router: effect.router} as const;
		return cluster.agents.reduce((current, _node, index) => deliverAgentEvent(current, index, closed), cluster);
	},
	'config-in-force'(cluster, router, effect) {
		const before = cluster.revisions.get(router, 0);
		return {
			...cluster,
			revisions: cluster.revisions.set(router, Math.max(before, effect.revision)),
			hasReverted: cluster.hasReverted || effect.revision < before,
		};
	},
	'operation-ended': (cluster, _router, effect) => ({
		...cluster, changes: cluster.changes.push({
			id: effect.operation, kind: effect.change.kind, fault: effect.fault?.kind, revision: (effect.result as {revision?: number} | null)?.revision ?? 0,
		}),
	}),
	closed: (cluster, router) => cluster.routers.get(router)?.state.phase === 'closed' ? stopRouter(cluster, router) : cluster,
	log: ignoreEffect,
};

/**
Delivers an event to a router and applies the effects of its decision.

@param cluster - The state of the cluster.
@param name - The router.
@param event - The event.
@param now - The time that the handler sees, in ms; by default the time of the cluster.
@returns The new state; the same one if the router is not alive.
*/
export const deliverRouterEvent = (cluster: ClusterState, name: string, event: RouterEvent, now = cluster.now): ClusterState => {
	const node = cluster.routers.get(name);
	if (node?.isAlive !== true) {
		return cluster;
	}

	const step = handleRouter(node.state, event, now);
	const next: ClusterState = {...cluster, routers: cluster.routers.set(name, {...node, state: cluster.now === 0 ? normalizeTimes(step.state) : step.state})};
	return step.effects.reduce((current, effect) => {
		const handler = effectHandlers[effect.kind] as (cluster: ClusterState, router: string, effect: RouterEffect) => ClusterState;
		return handler(current, name, effect);
	}, next);
};

const breakLink = (cluster: ClusterState, linkId: string): ClusterState => {
	const {agent} = parseLinkId(linkId);
	const link = cluster.links.get(linkId, closedLink);
	if (link.session === 0 || link.isStale) {
		return cluster;
	}

	const incarnation = cluster.agents.get(agent)?.state.incarnation ?? '';
	// Undelivered messages are dropped, except for earlier notices. The router is notified of the end if it has received the hello.
	const closed: MessageToRouter = {kind: 'closed', agent: incarnation};
	const isKnown = !link.toRouter.some(message => message.kind === 'hello');
	return updateLink(cluster, linkId, current => ({
		...current,
		isStale: true,
		toAgent: List(),
		toRouter: isKnown ? current.toRouter.filter(message => message.kind === 'closed').push(closed) : current.toRouter.filter(message => message.kind === 'closed'),
	}));
};

const stopRouter = (cluster: ClusterState, name: string): ClusterState => {
	const node = cluster.routers.get(name);
	const stopped: ClusterState = node === undefined ? cluster : {...cluster, routers: cluster.routers.set(name, {...node, isAlive: false})};
	const disconnected = cluster.links.keySeq().filter(linkId => parseLinkId(linkId).router === name)
		.reduce((current, linkId) => updateLink(breakLink(current, linkId), linkId, brokenLink => ({...brokenLink, toRouter: List()})), stopped);
	return {
		...disconnected,
		// Writes that were sent before the router stopped may still be applied.
		writes: disconnected.writes.map(write => write.router === name ? {...write, isLate: true} : write),
		calls: disconnected.calls.filter(call => call.from !== name),
	};
};

// Agents

type AgentEffectHandler<Kind extends AgentEffect['kind']> = (cluster: ClusterState, index: number, effect: AgentEffect & {kind: Kind}) => ClusterState;

const sendToRouter = (cluster: ClusterState, router: string, index: number, message: MessageToRouter): ClusterState => {
	const linkId = createLinkId(router, index);
	const link = cluster.links.get(linkId);
	return link === undefined || link.session === 0 || link.isStale
		? cluster
		: updateLink(cluster, linkId, current => ({...current, toRouter: current.toRouter.push(message)}));
};

const encodeAnswer = (attempt: string): Uint8Array => Uint8Array.from([...attempt].map(character => character.codePointAt(0) ?? 0));

const createEndEvent = (attempt: AgentState['attempts'] extends Map<string, infer Each> ? Each : never, agent: string): RouterEvent => ({
	kind: 'attempt-ended',
	attempt: attempt.attempt,
	agent,
	outcome: attempt.outcome ?? 'failed',
	tokens: attempt.tokens,
	answer: {status: 200, contentType: '', body: encodeAnswer(attempt.attempt)},
	delivered: 0,
	canResume: true,
});

const agentEffectHandlers: Readonly<{[Kind in AgentEffect['kind']]: AgentEffectHandler<Kind>}> = {
	'accept-session'(cluster, index, effect) {
		const agent = cluster.agents.get(index)?.state.incarnation ?? '';
		const linkId = createLinkId(effect.router, index);
		const ended = effect.kept.filter(attempt => attempt.state === 'ended')
			.map((attempt): MessageToRouter => ({kind: 'event', event: createEndEvent(attempt, agent)}));
		return updateLink(cluster, linkId, current => ({
			session: effect.session,
			isStale: false,
			toAgent: List(),
			toRouter: List<MessageToRouter>([...current.toRouter, {
				kind: 'hello', agent, kept: effect.kept.map(attempt => attempt.attempt), session: effect.session,
			}, ...ended]),
		}));
	},
	'refuse-session': (cluster, _index, effect) => deliverRouterEvent(cluster, effect.router, {kind: 'session-refused'}),
	start: (cluster, _index, effect) => ({
		...cluster, executions: cluster.executions.push({
			attempt: effect.attempt.attempt, request: effect.attempt.request, claimKey: effect.attempt.claimKey,
		}),
	}),
	cancel: (cluster, index, effect) => deliverAgentEvent(cluster, index, {
		kind: 'attempt-ended', attempt: effect.attempt, outcome: 'cancelled', tokens: cluster.costTokens,
	}),
	refuse: (cluster, index, effect) => sendToRouter(cluster, effect.router, index, {kind: 'event', event: {kind: 'attempt-refused', attempt: effect.attempt, error: effect.error}}),
	'report-end': (cluster, index, effect) => sendToRouter(cluster, effect.attempt.router, index, {kind: 'event', event: createEndEvent(effect.attempt, effect.attempt.agent)}),
	forgotten: (cluster, index, effect) => sendToRouter(cluster, effect.router, index, {kind: 'event', event: {kind: 'attempts-forgotten', attempts: effect.attempts}}),
	'answer-fence': (cluster, _index, effect) => ({
		...cluster, calls: cluster.calls.map((call, index): Call => index === effect.call && call.kind === 'fence'
			? {
				kind: 'fence-reply', from: call.from, router: call.router, agent: call.agent, answer: effect.answer,
			}
			: call),
	}),
	'answer-seal': (cluster, _index, effect) => ({
		...cluster, calls: cluster.calls.map((call, index): Call => index === effect.call && call.kind === 'seal'
			? {
				kind: 'seal-reply', from: call.from, request: call.request, attempt: call.attempt, answer: effect.answer,
			}
			: call),
	}),
	drained: ignoreEffect,
};

/**
Delivers an event to an agent and applies the effects of its decision.

@param cluster - The state of the cluster.
@param index - The index of the agent.
@param event - The event.
@returns The new state.
*/
export const deliverAgentEvent = (cluster: ClusterState, index: number, event: AgentEvent): ClusterState => {
	const node = cluster.agents.get(index);
	if (node === undefined) {
		return cluster;
	}

	const disabledRule = cluster.routers.first()?.disabledRule;
	const step = handleAgent(node.state, event, cluster.now, disabledRule);
	return step.effects.reduce((current, effect) => {
		const handler = agentEffectHandlers[effect.kind] as (cluster: ClusterState, index: number, effect: AgentEffect) => ClusterState;
		return handler(current, index, effect);
	}, {...cluster, agents: cluster.agents.set(index, {...node, state: step.state})});
};

const restartAgent = (cluster: ClusterState, index: number): ClusterState => {
	const node = cluster.agents.get(index);
	if (node === undefined) {
		return cluster;
	}

	const disconnected = cluster.links.keySeq().filter(linkId => parseLinkId(linkId).agent === index)
		.reduce((current, linkId) => updateLink(breakLink(current, linkId), linkId, brokenLink => ({...closedLink, toRouter: brokenLink.toRouter})), cluster);
	const incarnation = node.incarnation + 1;
	return {...disconnected, agents: disconnected.agents.set(index, {state: createAgentState(createAgentId(index, incarnation), 4), incarnation})};
};

// Transitions

const consumeFault = (cluster: ClusterState, fault: keyof FaultBudget): ClusterState => ({...cluster, faults: {...cluster.faults, [fault]: cluster.faults[fault] - 1}});

const applyWrite = (cluster: ClusterState, index: number, how: 'apply' | 'lose-reply' | 'delay'): ClusterState => {
	const write = cluster.writes.get(index);
	if (write === undefined) {
		return cluster;
	}

	const {router, tag} = write;
	const replyLost: RouterEvent = {
		kind: 'store-replied', tag, reply: {kind: 'lost'}, random: 0,
	};
	if (how === 'delay') {
		const delayed = {...consumeFault(cluster, 'delayWrite'), writes: cluster.writes.set(index, {...write, isLate: true})};
		return deliverRouterEvent(delayed, router, replyLost);
	}

	const {rows, reply} = applyCall(cluster.rows, write.call);
	const applied: ClusterState = {...cluster, rows, writes: cluster.writes.delete(index)};
	if (write.isLate) {
		return applied;
	}

	return how === 'lose-reply'
		? deliverRouterEvent(consumeFault(applied, 'loseReply'), router, replyLost)
		: deliverRouterEvent(applied, router, {
			kind: 'store-replied', tag, reply, random: 0,
		});
};

const deliverToAgent = (cluster: ClusterState, linkId: string): ClusterState => {
	const {router, agent} = parseLinkId(linkId);
	const link = cluster.links.get(linkId, closedLink);
	const message = link.toAgent.first();
	if (message === undefined) {
		return cluster;
	}

	const dequeued = updateLink(cluster, linkId, current => ({...current, toAgent: current.toAgent.shift()}));
	const deliveries: Readonly<Record<MessageToAgent['kind'], () => AgentEvent>> = {
		order: () => ({
			kind: 'ordered', router, session: link.session, order: (message as MessageToAgent & {kind: 'order'}).order,
		}),
		settled: () => ({kind: 'settled', attempts: (message as MessageToAgent & {kind: 'settled'}).attempts}),
		cancel: () => ({kind: 'cancel-asked', router, attempt: (message as MessageToAgent & {kind: 'cancel'}).attempt}),
	};
	return deliverAgentEvent(dequeued, agent, deliveries[message.kind]());
};

const createSessionOpened = (agent: number, message: MessageToRouter & {kind: 'hello'}): RouterEvent => ({
	kind: 'session-opened',
	introduction: {
		agent: message.agent, address: String(agent), pool: 'pool', dataCentre: 'here', models: [], capacity: 4, session: message.session,
	},
	kept: message.kept,
});

const createSessionClosed = (cluster: ClusterState, router: string, agent: string): RouterEvent => {
	const attempts = cluster.routers.get(router)?.state.attempts.valueSeq().toArray() ?? [];
	return {
		kind: 'session-closed',
		agent,
		broken: attempts.filter(attempt => attempt.agent === agent).map(attempt => ({attempt: attempt.id, delivered: 0, canResume: true})),
	};
};

const deliverToRouter = (cluster: ClusterState, linkId: string): ClusterState => {
	const {router, agent} = parseLinkId(linkId);
	const message = cluster.links.get(linkId, closedLink).toRouter.first();
	if (message === undefined) {
		return cluster;
	}

	const dequeued = updateLink(cluster, linkId, current => ({...current, toRouter: current.toRouter.shift()}));
	const deliveries: Readonly<Record<MessageToRouter['kind'], () => ClusterState>> = {
		event: () => deliverRouterEvent(dequeued, router, (message as MessageToRouter & {kind: 'event'}).event),
		closed: () => deliverRouterEvent(dequeued, router, createSessionClosed(dequeued, router, (message as MessageToRouter & {kind: 'closed'}).agent)),
		hello: () => deliverRouterEvent(dequeued, router, createSessionOpened(agent, message as MessageToRouter & {kind: 'hello'})),
	};
	return deliveries[message.kind]();
};

const deliverCall = (cluster: ClusterState, index: number): ClusterState => {
	const call = cluster.calls.get(index);
	if (call === undefined) {
		return cluster;
	}

	const remove = (current: ClusterState): ClusterState => ({...current, calls: current.calls.delete(index)});
	const deliveries: Readonly<Record<Call['kind'], () => ClusterState>> = {
		seal: () => call.kind === 'seal'
			? deliverAgentEvent(cluster, call.to, {
				kind: 'seal-asked', attempt: call.attempt, agent: call.agent, call: index,
			})
			: cluster,
		fence: () => call.kind === 'fence'
			? deliverAgentEvent(cluster, call.to, {
				kind: 'fence-asked', router: call.router, agent: call.agent, probe: call.probe, call: index,
			})
			: cluster,
		'seal-reply': () => call.kind === 'seal-reply'
			? deliverRouterEvent(remove(cluster), call.from, {
				kind: 'seal-answered', request: call.request, attempt: call.attempt, answer: call.answer,
			})
			: cluster,
		'fence-reply': () => call.kind === 'fence-reply'
			? deliverRouterEvent(remove(cluster), call.from, {
				kind: 'fence-answered', router: call.router, agent: call.agent, answer: call.answer,
			})
			: cluster,
	};
	return deliveries[call.kind]();
};

const loseCall = (cluster: ClusterState, index: number): ClusterState => {
	const call = cluster.calls.get(index);
	const lost: ClusterState = {...consumeFault(cluster, 'loseCall'), calls: cluster.calls.delete(index)};
	return call?.kind === 'seal' || call?.kind === 'seal-reply'
		? deliverRouterEvent(lost, call.from, {
			kind: 'seal-answered', request: call.request, attempt: call.attempt, answer: undefined,
		})
		: lost;
};

/** Delivers a call now and adds a copy that is delivered later. */
const repeatCall = (cluster: ClusterState, index: number): ClusterState => {
	const call = cluster.calls.get(index);
	return call === undefined ? cluster : deliverCall({...consumeFault(cluster, 'repeatCall'), calls: cluster.calls.push(call)}, index);
};

const callTransitions: Readonly<Record<'deliver' | 'lose' | 'repeat', (cluster: ClusterState, index: number) => ClusterState>> = {
	deliver: deliverCall, lose: loseCall, repeat: repeatCall,
};

const gossip = (cluster: ClusterState, from: string, to: string, number: number): ClusterState => {
	const revision = cluster.routers.get(from)?.state.config.recent.find(each => each.revision === number);
	return revision === undefined
		? cluster
		: deliverRouterEvent(cluster, to, {
			kind: 'peer-heard', router: from, address: from, revision: number, revisions: [revision],
		});
};

const linkTransitions: Readonly<Record<'connect' | 'break' | 'notice', (cluster: ClusterState, linkId: string) => ClusterState>> = {
	connect(cluster, linkId) {
		const {router, agent} = parseLinkId(linkId);
		return deliverAgentEvent(cluster, agent, {kind: 'session-opened', router});
	},
	break: (cluster, linkId) => breakLink(consumeFault(cluster, 'breakSession'), linkId),
	notice(cluster, linkId) {
		const {router, agent} = parseLinkId(linkId);
		const link = cluster.links.get(linkId, closedLink);
		return deliverAgentEvent(updateLink(cluster, linkId, current => ({...closedLink, toRouter: current.toRouter})), agent, {kind: 'session-closed', router, session: link.session});
	},
};

const applyInput = (cluster: ClusterState, index: number): ClusterState => {
	const input = cluster.inputs.get(index);
	if (input === undefined || cluster.routers.get(input.router)?.isAlive !== true) {
		return {...cluster, inputs: cluster.inputs.delete(index)};
	}

	const requestSpecs = input.event.kind === 'request-arrived' ? cluster.requestSpecs.set(input.event.order.id, input.event.order) : cluster.requestSpecs;
	return deliverRouterEvent({...cluster, requestSpecs, inputs: cluster.inputs.delete(index)}, input.router, input.event);
};

/**
Applies a transition.

@param cluster - The state of the cluster.
@param transition - The transition.
@returns The new state.
*/
export const applyTransition = (cluster: ClusterState, transition: Transition): ClusterState => {
	switch (transition.type) {
		case 'input': {
			return applyInput(cluster, transition.index);
		}

		case 'write': {
			return applyWrite(cluster, transition.index, transition.how);
		}

		case 'to-agent': {
			return deliverToAgent(cluster, transition.link);
		}

		case 'to-router': {
			return deliverToRouter(cluster, transition.link);
		}

		case 'connect':
		case 'break':
		case 'notice': {
			return linkTransitions[transition.type](cluster, transition.link);
		}

		case 'finish': {
			return deliverAgentEvent(cluster, transition.agent, {
				kind: 'attempt-ended', attempt: transition.attempt, outcome: 'done', tokens: cluster.costTokens, answer: {status: 200, contentType: '', body: encodeAnswer(transition.attempt)},
			});
		}

		case 'call': {
			return callTransitions[transition.how](cluster, transition.index);
		}

		case 'crash': {
			return stopRouter(consumeFault(cluster, 'crashRouter'), transition.router);
		}

		case 'restart': {
			return restartAgent(consumeFault(cluster, 'restartAgent'), transition.agent);
		}

		case 'leave': {
			return deliverRouterEvent({...consumeFault(cluster, 'leave'), departed: cluster.departed.add(transition.request)}, transition.router, {kind: 'caller-left', request: transition.request});
		}

		case 'tick': {
			return deliverRouterEvent(cluster, transition.router, {kind: 'tick'}, cluster.now === 0 ? lateTickMs : cluster.now);
		}

		case 'gossip': {
			return gossip(cluster, transition.from, transition.to, transition.revision);
		}
	}
};
