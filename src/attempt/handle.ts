import {List} from 'immutable';
import {keepState} from '../loop/index.js';
import type {Step} from '../loop/index.js';
import type {ErrorKind} from '../errors/index.js';
import type {
	AgentEffect, AgentEvent, FenceAnswer, SealAnswer,
} from './messages.js';
import {maxKeptAttempts, maxKnownRouters, maxSealedAttempts} from './state.js';
import type {
	AgentState, Attempt, AttemptSpec, RouterView,
} from './state.js';

type AgentStep = Step<AgentState, AgentEffect>;
/** Name of a safety rule that the model check disables. */
type DisabledRule = string | undefined;
type AgentHandler<Event> = (state: AgentState, event: Event, now: number, disabledRule: DisabledRule) => AgentStep;

const listAttempts = (state: AgentState, router: string): readonly Attempt[] =>
	state.attempts.valueSeq().filter(attempt => attempt.router === router).toArray();

/** Removes `silent` routers without kept attempts once `maxKnownRouters` is reached. */
const evictSilentRouters = (state: AgentState): AgentState['routers'] =>
	state.routers.size < maxKnownRouters
		? state.routers
		: state.routers.filter((view, router) => view.state !== 'silent' || listAttempts(state, router).length > 0);

const openSession: AgentHandler<AgentEvent & {kind: 'session-opened'}> = (state, {router}, _now, disabledRule) => {
	const view = state.routers.get(router);
	if (view?.state === 'fenced' && disabledRule !== 'fence-refuses') {
		return {state, effects: [{kind: 'refuse-session', router}]};
	}

	const session = (view?.session ?? 0) + 1;
	const next: RouterView = {state: 'heard', session};
	return {
		state: {...state, routers: evictSilentRouters(state).set(router, next)},
		effects: [{
			kind: 'accept-session', router, session, kept: listAttempts(state, router),
		}],
	};
};

const closeSession: AgentHandler<AgentEvent & {kind: 'session-closed'}> = (state, {router, session}) => {
	const view = state.routers.get(router);
	if (view?.state !== 'heard' || view.session !== session) {
		return keepState(state);
	}

	// No client can receive these answers. At-most-once work continues, since its answer is kept.
	const orphans = listAttempts(state, router).filter(attempt => attempt.state === 'running' && attempt.claimKey === undefined);
	return {
		state: {...state, routers: state.routers.set(router, {...view, state: 'silent'})},
		effects: orphans.map(({attempt}) => ({kind: 'cancel', attempt})),
	};
};

const findRefusal = (state: AgentState, spec: AttemptSpec, disabledRule: DisabledRule): ErrorKind | undefined => {
	const isCurrentIncarnation = spec.agent === state.incarnation || disabledRule === 'incarnation-check';
	const isSealed = state.sealed.has(spec.attempt);
	if (!isCurrentIncarnation || isSealed || state.phase === 'leaving') {
		return 'not-ready';
	}

	return state.running >= state.capacity || state.attempts.size >= maxKeptAttempts ? 'overloaded' : undefined;
};

const acceptAttempt: AgentHandler<AgentEvent & {kind: 'ordered'}> = (state, event, _now, disabledRule) => {
	const {order: spec, router, session} = event;
	const view = state.routers.get(router);
	const isCurrent = view?.state === 'heard' && view.session === session;
	if ((!isCurrent && disabledRule !== 'fence-refuses') || state.attempts.has(spec.attempt)) {
		return keepState(state);
	}

	const error = findRefusal(state, spec, disabledRule);
	if (error !== undefined) {
		return {
			state, effects: [{
				kind: 'refuse', router, attempt: spec.attempt, error,
			}],
		};
	}

	const attempt: Attempt = {
		...spec, router, state: 'running', tokens: 0,
	};
	return {
		state: {...state, running: state.running + 1, attempts: state.attempts.set(spec.attempt, attempt)},
		effects: [{kind: 'start', attempt}],
	};
};

const endAttempt: AgentHandler<AgentEvent & {kind: 'attempt-ended'}> = (state, event) => {
	const attempt = state.attempts.get(event.attempt);
	if (attempt?.state !== 'running') {
		return keepState(state);
	}

	const ended: Attempt = {
		...attempt,
		state: 'ended',
		outcome: event.outcome,
		tokens: Math.min(event.tokens, attempt.cap),
		...(attempt.claimKey !== undefined && event.answer !== undefined && {answer: event.answer}),
	};
	const next: AgentState = {...state, running: state.running - 1, attempts: state.attempts.set(event.attempt, ended)};
	const drained: readonly AgentEffect[] = next.phase === 'leaving' && next.running === 0 ? [{kind: 'drained'}] : [];
	return {state: next, effects: [{kind: 'report-end', attempt: ended}, ...drained]};
};

const removeSettled: AgentHandler<AgentEvent & {kind: 'settled'}> = (state, {attempts}) => {
	const known = attempts.flatMap(id => state.attempts.get(id) ?? []).filter(attempt => attempt.state === 'ended');
	const byRouter = List(known).groupBy(attempt => attempt.router);
	const effects = byRouter.entrySeq().toArray().map(([router, group]): AgentEffect => ({
		kind: 'forgotten', router, attempts: group.toArray().map(({attempt}) => attempt),
	}));
	return {state: {...state, attempts: state.attempts.deleteAll(known.map(({attempt}) => attempt))}, effects};
};

const answerFence = (state: AgentState, call: number, answer: FenceAnswer): AgentStep => ({state, effects: [{kind: 'answer-fence', call, answer}]});

const fenceRouter: AgentHandler<AgentEvent & {kind: 'fence-asked'}> = (state, {router, agent, probe, call}, _now, disabledRule) => {
	if (agent !== state.incarnation && disabledRule !== 'incarnation-check') {
		return answerFence(state, call, {state: 'gone', usages: []});
	}

	const view = state.routers.get(router);
	if (view?.state === 'heard') {
		return answerFence(state, call, {state: 'serving', usages: []});
	}

	if (probe) {
		return answerFence(state, call, {state: 'silent', usages: []});
	}

	if (view === undefined && state.routers.size >= maxKnownRouters) {
		return answerFence(state, call, {state: 'full', usages: []});
	}

	const usages = listAttempts(state, router);
	const running = usages.filter(attempt => attempt.state === 'running');
	const fenced: AgentState = {...state, routers: state.routers.set(router, {state: 'fenced', session: view?.session ?? 0})};
	const cancels = running.filter(attempt => attempt.claimKey === undefined).map(({attempt}): AgentEffect => ({kind: 'cancel', attempt}));
	const answer: FenceAnswer = running.length > 0 ? {state: 'pending', usages: []} : {state: 'fenced', usages};
	return {state: fenced, effects: [...cancels, {kind: 'answer-fence', call, answer}]};
};

const removeRouterAttempts: AgentHandler<AgentEvent & {kind: 'router-closed'}> = (state, {router}) => {
	const isFenced = state.routers.get(router)?.state === 'fenced';
	return keepState(isFenced ? {...state, attempts: state.attempts.filter(attempt => attempt.router !== router)} : state);
};

const createSealAnswer = (attempt: Attempt): SealAnswer => {
	if (attempt.state === 'running') {
		return {state: 'running', tokens: 0};
	}

	if (attempt.outcome === 'not-run') {
		return {state: 'sealed', tokens: 0};
	}

	return attempt.answer === undefined
		? {state: 'unknown', tokens: attempt.tokens}
		: {state: 'done', tokens: attempt.tokens, answer: attempt.answer};
};

const sealAttempt: AgentHandler<AgentEvent & {kind: 'seal-asked'}> = (state, {attempt: id, agent, call}, now, disabledRule) => {
	const answerSeal = (next: AgentState, answer: SealAnswer): AgentStep => ({state: next, effects: [{kind: 'answer-seal', call, answer}]});
	if (agent !== state.incarnation && disabledRule !== 'incarnation-check') {
		return answerSeal(state, {state: 'gone', tokens: 0});
	}

	const attempt = state.attempts.get(id);
	if (attempt !== undefined) {
		return answerSeal(state, createSealAnswer(attempt));
	}

	return state.sealed.size >= maxSealedAttempts && !state.sealed.has(id)
		? answerSeal(state, {state: 'full', tokens: 0})
		: answerSeal({...state, sealed: state.sealed.set(id, now)}, {state: 'sealed', tokens: 0});
};

const cancelAttempt: AgentHandler<AgentEvent & {kind: 'cancel-asked'}> = (state, {router, attempt: id}) => {
	const attempt = state.attempts.get(id);
	const isOwn = attempt?.router === router && attempt.state === 'running' && attempt.claimKey === undefined;
	return {state, effects: isOwn ? [{kind: 'cancel', attempt: id}] : []};
};

const handlers: Readonly<{[Kind in AgentEvent['kind']]: AgentHandler<AgentEvent & {kind: Kind}>}> = {
	'session-opened': openSession,
	'session-closed': closeSession,
	ordered: acceptAttempt,
	'cancel-asked': cancelAttempt,
	settled: removeSettled,
	'attempt-ended': endAttempt,
	'fence-asked': fenceRouter,
	'router-closed': removeRouterAttempts,
	'seal-asked': sealAttempt,
	'drain-asked': state => ({state: {...state, phase: 'leaving'}, effects: state.running === 0 ? [{kind: 'drained'}] : []}),
};

/**
Handles an event of an agent.

@param state - The agent state.
@param event - The event.
@param now - The current time in ms.
@param disabledRule - A safety rule to disable; only the model check passes one.
@returns The next agent state and its effects.
*/
export const handleAgent = (state: AgentState, event: AgentEvent, now: number, disabledRule?: DisabledRule): AgentStep => {
	const handle = handlers[event.kind] as AgentHandler<AgentEvent>;
	return handle(state, event, now, disabledRule);
};
