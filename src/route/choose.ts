import type {Member, Members} from '../member/index.js';
import {createRandom} from '../random/index.js';

/** What a choice of endpoint rests on. */
export type RouteQuery = Readonly<{
	pool: string;
	/** The model asked for; undefined for a plain service. */
	model: string | undefined;
	dataCentre: string;
	/** Agents that were tried for this request: passed over while there are others. */
	excluded: readonly string[];
	/** Whether the router may dispatch to an agent. */
	mayDispatch: (agent: string) => boolean;
	/** A whole number that decides among candidates. */
	seed: number;
	now: number;
}>;

/** What the choice came to. */
export type Choice =
	| Readonly<{kind: 'agent'; member: Member}>
	/** Every endpoint is at its capacity. */
	| Readonly<{kind: 'busy'}>
	/** No endpoint of the pool can be reached. */
	| Readonly<{kind: 'none'}>
	/** The pool serves no such model. */
	| Readonly<{kind: 'no-model'}>;

const candidateCount = 3;
/** Milliseconds that a call to another data centre adds. */
const remotePenalty = 2;
/** Milliseconds to the first token where nothing was seen yet. */
const firstGuess = 50;
/** Milliseconds over which a new endpoint takes on its full share. */
const warmUp = 10_000;

const hasModel = (member: Member, model: string | undefined): boolean =>
	model === undefined || member.models.length === 0 || member.models.includes(model);

/**
Counts the work in front of a new attempt, as far as this router can tell.

@param member - The agent.
@returns Attempts.
*/
export const countLoad = (member: Member): number =>
	Math.max(member.open, member.load.running + member.load.waiting + member.sentSince);

/** Predicts milliseconds to the first token from the load in front and from what was seen. */
const predictFirstToken = (member: Member, query: RouteQuery): number => {
	const base = member.firstToken === 0 ? firstGuess : member.firstToken;
	const crowding = 1 + (countLoad(member) / Math.max(1, member.load.capacity));
	const queueing = Math.max(0, countLoad(member) + 1 - member.load.capacity) * base;
	const distance = member.dataCentre === query.dataCentre ? 0 : remotePenalty;
	const warmth = Math.min(1, (query.now - member.openedAt + 1) / warmUp);
	return ((base * crowding) + queueing + distance) * (2 - warmth);
};

const pickCandidates = (members: readonly Member[], seed: number): readonly Member[] => {
	const random = createRandom(seed);
	const start = random.pick(members.length);
	const step = 1 + random.pick(Math.max(1, members.length - 1));
	const indexes = Array.from({length: Math.min(candidateCount, members.length)}, (_, index) => (start + (index * step)) % members.length);
	return [...new Set(indexes)].flatMap(index => members[index] ?? []);
};

/** Keeps the members that fit, or all if none does. */
const prefer = (members: readonly Member[], fits: (member: Member) => boolean): readonly Member[] => {
	const fitting = members.filter(member => fits(member));
	return fitting.length > 0 ? fitting : members;
};

/**
Chooses the endpoint for an attempt: among a few candidates, the one that is
predicted to give the first token soonest.

@param members - All agents known.
@param query - What the attempt needs.
@returns The choice, or why there is none.
*/
export const chooseAgent = (members: Members, query: RouteQuery): Choice => {
	const pool = members.valueSeq().toArray().filter(member => member.pool === query.pool && member.link === 'open');
	const serving = pool.filter(member => hasModel(member, query.model));
	if (pool.length > 0 && serving.length === 0) {
		return {kind: 'no-model'};
	}

	const reachable = serving.filter(member => !member.isLeaving && query.mayDispatch(member.agent));
	if (reachable.length === 0) {
		return {kind: 'none'};
	}

	const fresh = prefer(reachable, member => !query.excluded.includes(member.agent));
	const free = prefer(fresh, member => member.ejectedUntil <= query.now).filter(member => countLoad(member) < member.load.capacity);
	const [best] = pickCandidates(free, query.seed)
		.toSorted((a, b) => predictFirstToken(a, query) - predictFirstToken(b, query));
	return best === undefined ? {kind: 'busy'} : {kind: 'agent', member: best};
};
