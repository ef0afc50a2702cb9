import type {AgentView, AgentViews} from '../member/index.js';
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
	| Readonly<{kind: 'agent'; member: AgentView}>
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

const hasModel = (member: AgentView, model: string | undefined): boolean =>
	model === undefined || member.models.length === 0 || member.models.includes(model);

/**
Estimates the number of attempts ahead of a new one, as known to this router.

@param member - The agent.
@returns The number of attempts.
*/
export const countLoad = (member: AgentView): number =>
	Math.max(member.open, member.load.running + member.load.waiting + member.sentSince);

/** Predicts the time to the first token from the current load and past measurements. */
const predictFirstTokenMs = (member: AgentView, query: RouteQuery): number => {
	const baseMs = member.firstToken === 0 ? defaultFirstTokenMs : member.firstToken;
	const loadFactor = 1 + (countLoad(member) / Math.max(1, member.load.capacity));
	const queueingMs = Math.max(0, countLoad(member) + 1 - member.load.capacity) * baseMs;
	const remoteMs = member.dataCentre === query.dataCentre ? 0 : remotePenaltyMs;
	const warmUpFraction = Math.min(1, (query.now - member.openedAt + 1) / warmUpMs);
	return ((baseMs * loadFactor) + queueingMs + remoteMs) * (2 - warmUpFraction);
};

const pickCandidates = (members: readonly AgentView[], seed: number): readonly AgentView[] => {
	const random = createRandom(seed);
	const start = random.pick(members.length);
	const step = 1 + random.pick(Math.max(1, members.length - 1));
	const indexes = Array.from({length: Math.min(candidateCount, members.length)}, (_, index) => (start + (index * step)) % members.length);
	return [...new Set(indexes)].flatMap(index => members[index] ?? []);
};

/** Returns the members that match, or all if none does. */
const preferMatching = (members: readonly AgentView[], isPreferred: (member: AgentView) => boolean): readonly AgentView[] => {
	const matching = members.filter(member => isPreferred(member));
	return matching.length > 0 ? matching : members;
};

/**
Chooses the endpoint for an attempt: among a few random candidates, the one with
the shortest predicted time to the first token.

@param members - All known agents.
@param query - The requirements of the attempt.
@returns The chosen agent, or the reason why there is none.
*/
export const chooseAgent = (members: AgentViews, query: RouteQuery): RouteChoice => {
	const pool = members.valueSeq().toArray().filter(member => member.pool === query.pool && member.link === 'open');
	const serving = pool.filter(member => hasModel(member, query.model));
	if (pool.length > 0 && serving.length === 0) {
		return {kind: 'no-model'};
	}

	const reachable = serving.filter(member => !member.isLeaving && query.canDispatch(member.agent));
	if (reachable.length === 0) {
		return {kind: 'none'};
	}

	const untried = preferMatching(reachable, member => !query.excluded.includes(member.agent));
	const available = preferMatching(untried, member => member.ejectedUntil <= query.now).filter(member => countLoad(member) < member.load.capacity);
	const [best] = pickCandidates(available, query.seed)
		.toSorted((a, b) => predictFirstTokenMs(a, query) - predictFirstTokenMs(b, query));
	return best === undefined ? {kind: 'busy'} : {kind: 'agent', member: best};
};
