import type {AgentView, AgentViews} from '../agent-view/index.js';
import {createRandom} from '../random/index.js';

/** The requirements and inputs for choosing an endpoint. */
export type RouteQuery = Readonly<{
	pool: string;
	/** The requested model; undefined for a service without models. */
	model: string | undefined;
	/** The data centre of this router. */
	dataCentre: string;
	/** Agents that refused or failed this request; used only if no other agent can be reached. */
	excluded: readonly string[];
	/** Returns whether the router may dispatch to an agent. */
	canDispatch: (agent: string) => boolean;
	/** Integer seed for the random selection of candidates. */
	seed: number;
	/** The current time in ms. */
	now: number;
}>;

/** The result of choosing an endpoint. */
export type RouteChoice =
	| Readonly<{kind: 'agent'; view: AgentView}>
	/** Every endpoint that could be chosen is at its capacity. */
	| Readonly<{kind: 'busy'}>
	/** No endpoint of the pool accepts dispatches from this router. */
	| Readonly<{kind: 'none'}>
	/** No endpoint of the pool serves the model. */
	| Readonly<{kind: 'no-model'}>;

const candidateCount = 3;
/** Latency added by a call to another data centre. */
const remotePenaltyMs = 2;
/** Assumed time to the first token before any measurement. */
const defaultFirstTokenMs = 50;
/** Time over which the penalty on a new endpoint decreases to zero. */
const warmUpMs = 10_000;

const hasModel = (view: AgentView, model: string | undefined): boolean =>
	model === undefined || view.models.length === 0 || view.models.includes(model);

/**
Estimates the number of attempts ahead of a new one, as known to this router.

@param view - The agent.
@returns The number of attempts.
*/
export const countLoad = (view: AgentView): number =>
	Math.max(view.open, view.load.running + view.load.waiting + view.sentSince);

/** Predicts the time to the first token from the current load and past measurements. */
const predictFirstTokenMs = (view: AgentView, query: RouteQuery): number => {
	const baseMs = view.firstToken === 0 ? defaultFirstTokenMs : view.firstToken;
	const loadFactor = 1 + (countLoad(view) / Math.max(1, view.load.capacity));
	const queueingMs = Math.max(0, countLoad(view) + 1 - view.load.capacity) * baseMs;
	const remoteMs = view.dataCentre === query.dataCentre ? 0 : remotePenaltyMs;
	const warmUpFraction = Math.min(1, (query.now - view.openedAt + 1) / warmUpMs);
	return ((baseMs * loadFactor) + queueingMs + remoteMs) * (2 - warmUpFraction);
};

const pickCandidates = (agents: readonly AgentView[], seed: number): readonly AgentView[] => {
	const random = createRandom(seed);
	const start = random.pick(agents.length);
	const step = 1 + random.pick(Math.max(1, agents.length - 1));
	const indexes = Array.from({length: Math.min(candidateCount, agents.length)}, (_, index) => (start + (index * step)) % agents.length);
	return [...new Set(indexes)].flatMap(index => agents[index] ?? []);
};

/** Returns the agents that match, or all if none does. */
const preferMatching = (agents: readonly AgentView[], isPreferred: (view: AgentView) => boolean): readonly AgentView[] => {
	const matching = agents.filter(view => isPreferred(view));
	return matching.length > 0 ? matching : agents;
};

/**
Chooses the endpoint for an attempt: among a few random candidates, the one with
the shortest predicted time to the first token.

@param agents - All known agents.
@param query - The requirements of the attempt.
@returns The chosen agent, or the reason why there is none.
*/
export const chooseAgent = (agents: AgentViews, query: RouteQuery): RouteChoice => {
	const pool = agents.valueSeq().toArray().filter(view => view.pool === query.pool && view.link === 'open');
	const serving = pool.filter(view => hasModel(view, query.model));
	if (pool.length > 0 && serving.length === 0) {
		return {kind: 'no-model'};
	}

	const reachable = serving.filter(view => !view.isLeaving && query.canDispatch(view.agent));
	if (reachable.length === 0) {
		return {kind: 'none'};
	}

	const untried = preferMatching(reachable, view => !query.excluded.includes(view.agent));
	const available = preferMatching(untried, view => view.ejectedUntil <= query.now).filter(view => countLoad(view) < view.load.capacity);
	const [best] = pickCandidates(available, query.seed)
		.toSorted((a, b) => predictFirstTokenMs(a, query) - predictFirstTokenMs(b, query));
	return best === undefined ? {kind: 'busy'} : {kind: 'agent', view: best};
};
