import {Map, OrderedMap} from 'immutable';
import type {ModelRequest} from '../in-flight/index.js';
import {hashText} from '../random/index.js';
import {formatIncarnation} from '../registry/index.js';
import type {Incarnation} from '../registry/index.js';

/** Position in its prompt of each part that other requests may share, by id. */
export type SharedParts = Map<string, number>;

/** The end of an endpoint's incarnation, as it shows in requests that broke off there. Times in ms. */
export type Crash = Readonly<{
	endpoint: Incarnation;
	at: number;
	/** Parts of the requests that had no output there, or only since a moment ago. */
	suspects: SharedParts;
	/** True once the incarnation has responded to a request that was sent later: it has not ended. */
	isRefuted: boolean;
	/** Proven outputs of this router when it learned of the crash. */
	outputsBefore: number;
}>;

/** The decision to send no request with a part to any endpoint. Times in ms. */
export type Verdict = Readonly<{
	at: number;
	/** From when on one request may be sent to find out whether the verdict still holds. */
	until: number;
	/** Number of such requests under which an endpoint has crashed. */
	strikes: number;
	/** True if this router has reached it. */
	isOwn: boolean;
	/** The request of this router that is sent to find out. */
	trial: number | undefined;
}>;

/** An output that proves its parts sound once its endpoint has survived it for a while. */
type Output = Readonly<{endpoint: Incarnation; parts: SharedParts; at: number}>;

/**
What a router knows of prompt parts on which endpoints crash.

A part that has appeared in the crashes of several endpoints, and in no output in between,
is condemned. Parts that these requests share with others are cleared by the output of the others.
*/
export type PoisonGuard = Readonly<{
	/** Crashes by incarnation, the latest ones last. */
	crashes: OrderedMap<string, Crash>;
	/** Outputs that are not proven yet, oldest first. */
	unproven: readonly Output[];
	/** Time of the last proven output by part, the latest ones last. */
	provenAt: OrderedMap<string, number>;
	/** Number of proven outputs. */
	outputCount: number;
	verdicts: Map<string, Verdict>;
}>;

/** A change of a verdict, for the log. */
export type VerdictChange = Readonly<{part: string; kind: 'condemned' | 'cleared' | 'expired'; crashes: number}>;

/** What routers tell each other about crashes. Ages in ms. */
export type PoisonNews = Readonly<{
	crashes: ReadonlyArray<Readonly<{endpoint: Incarnation; ageMs: number; isRefuted: boolean; suspects: ReadonlyArray<readonly [part: string, position: number]>}>>;
	/** Proven outputs of suspected parts. */
	proven: ReadonlyArray<Readonly<{part: string; ageMs: number}>>;
	verdicts: ReadonlyArray<Readonly<{part: string; ageMs: number; remainingMs: number; strikes: number}>>;
}>;

/** Time that an endpoint must survive an output. An endpoint may write a few events before it crashes. */
const probationMs = 500;

/** Time after a crash within which a response of the endpoint may still refute it. */
const settleMs = 300;

/** Crashes within this time count as one moment, because a rack or a release may end several endpoints at once. */
const momentMs = 250;

/** Time after its first crash before a part is condemned: the output of sound requests clears it by then. */
const minSpanMs = 1000;

/** Time for which a crash counts, and for which peers are told of it. */
const crashTtlMs = 120_000;
const crashNewsMs = 30_000;

/**
Signs since the first crash that other requests are served, without which a part is not condemned: outputs
of this router, or other suspected parts that have been cleared at any router.
*/
const minOtherOutputs = 10;
const minOtherCleared = 2;

/**
Evidence that suffices: the number of crashes and of their moments, and the fraction of all crashes since
the first one that the part explains. A request and its retry are two crashes at one moment.
*/
const thresholds = [
	{crashes: 4, moments: 4, fraction: 0.5},
	{crashes: 5, moments: 2, fraction: 0.5},
	{crashes: 8, moments: 8, fraction: 0.2},
] as const;

/** Number of crashes from which parts that explain the same ones are condemned together. */
const minCrashesWithoutWinner = 7;

/** Number of crashes from which a part without any proven output is a better explanation than parts with some. */
const minCrashesOfExplanation = 2;

/** Duration of a first verdict, and the longest one. It doubles with each crash that confirms it. */
const firstVerdictMs = 20_000;
const maxVerdictMs = 600_000;

/** Time after its end for which a verdict without any request that tests it is kept. */
const idleVerdictMs = 60_000;

/** Limits of the state, and of what is told to peers. */
const maxCrashes = 64;
const maxSuspects = 48;
const maxUnproven = 1024;
const maxProven = 4096;
const maxVerdicts = 64;
const maxToldCrashes = 8;
const maxToldSuspects = 24;

/**
Creates the guard of a process that has seen no crash.

@returns The guard.
*/
export const createPoisonGuard = (): PoisonGuard => ({
	crashes: OrderedMap(), unproven: [], provenAt: OrderedMap(), outputCount: 0, verdicts: Map(),
});

/**
Lists the parts of a prompt that other requests may share: all but the last one.

@param modelRequest - The model request; undefined if the request is none.
@returns The parts with their positions.
*/
export const listSharedParts = (modelRequest: ModelRequest | undefined): SharedParts =>
	Map((modelRequest?.parts ?? []).slice(0, -1).map(({id}, position) => [id, position] as const));

/** Tells whether two incarnations are the same. */
const isSame = (a: Incarnation, b: Incarnation): boolean => formatIncarnation(a) === formatIncarnation(b);

/**
Records the first output of a request.

@param guard - The guard.
@param endpoint - The endpoint that gave it.
@param parts - The parts of the request.
@param now - The current time in ms.
@returns The guard.
*/
export const recordOutput = (guard: PoisonGuard, endpoint: Incarnation, parts: SharedParts, now: number): PoisonGuard => parts.isEmpty()
	? guard
	: {...guard, unproven: [...guard.unproven, {endpoint, parts, at: now}].slice(-maxUnproven)};

/** Keeps the parts that have been proven least recently. */
const capSuspects = (guard: PoisonGuard, suspects: SharedParts): SharedParts => suspects.size <= maxSuspects
	? suspects
	: Map(suspects.entrySeq().toArray().toSorted(([a], [b]) => (guard.provenAt.get(a) ?? 0) - (guard.provenAt.get(b) ?? 0)).slice(0, maxSuspects));

/** Combines what is known of the crash of an incarnation. Requests that break off there long after it show nothing new, unless it has responded in between. */
const mergeCrash = (known: Crash | undefined, crash: Crash): Crash => {
	if (known === undefined || (known.isRefuted && known.at < crash.at - probationMs)) {
		return crash;
	}

	const isNews = (crash.isRefuted && !known.isRefuted) || crash.suspects.some((_, part) => !known.suspects.has(part));
	return !isNews || Math.abs(known.at - crash.at) > probationMs
		? known
		: {...known, suspects: known.suspects.merge(crash.suspects), isRefuted: known.isRefuted || crash.isRefuted};
};

/** Adds a crash, whose endpoint may have given output just before. */
const addCrash = (guard: PoisonGuard, crash: Crash): PoisonGuard => {
	const key = formatIncarnation(crash.endpoint);
	const known = guard.crashes.get(key);
	const isDoubtful = (output: Output) => Math.abs(output.at - crash.at) <= probationMs && output.endpoint.id === crash.endpoint.id && isSame(output.endpoint, crash.endpoint);
	const doubtful = crash.isRefuted ? [] : guard.unproven.filter(output => isDoubtful(output));
	const suspects = doubtful.reduce((parts, output) => parts.merge(output.parts), crash.suspects);
	const merged = mergeCrash(known, {...crash, suspects});
	if (merged === known && doubtful.length === 0) {
		return guard;
	}

	return {
		...guard,
		unproven: doubtful.length === 0 ? guard.unproven : guard.unproven.filter(output => !doubtful.includes(output)),
		crashes: guard.crashes.set(key, {...merged, suspects: capSuspects(guard, merged.suspects)}).takeLast(maxCrashes),
	};
};

const computeVerdictMs = (strikes: number): number => Math.min(maxVerdictMs, firstVerdictMs * (2 ** strikes));

/**
Records that a request broke off at its endpoint. Several at one endpoint are one crash.

@param guard - The guard.
@param request - The number of the request, its endpoint, and its parts; no parts if it had output.
@param now - The current time in ms.
@returns The guard. A verdict that the request was to test is extended.
*/
export const recordBreak = (guard: PoisonGuard, request: Readonly<{id: number; endpoint: Incarnation; suspects: SharedParts}>, now: number): PoisonGuard => {
	const added = addCrash(guard, {
		endpoint: request.endpoint, at: now, suspects: request.suspects, isRefuted: false, outputsBefore: guard.outputCount,
	});
	return {
		...added, verdicts: added.verdicts.map(verdict => verdict.trial === request.id
			? {
				at: now, until: now + computeVerdictMs(verdict.strikes + 1), strikes: verdict.strikes + 1, isOwn: true, trial: undefined,
			}
			: verdict),
	};
};

/**
Refutes a crash of an endpoint that responds.

@param guard - The guard.
@param endpoint - The endpoint.
@param sentAt - When the request was sent that it has responded to, in ms.
@returns The guard.
*/
export const refuteCrash = (guard: PoisonGuard, endpoint: Incarnation, sentAt: number): PoisonGuard => {
	if (guard.crashes.isEmpty()) {
		return guard;
	}

	const key = formatIncarnation(endpoint);
	const crash = guard.crashes.get(key);
	return crash === undefined || crash.isRefuted || sentAt <= crash.at ? guard : {...guard, crashes: guard.crashes.set(key, {...crash, isRefuted: true})};
};

const settleOutputs = (guard: PoisonGuard, now: number): PoisonGuard => {
	const proven = guard.unproven.filter(({at}) => now - at >= probationMs);
	if (proven.length === 0) {
		return guard;
	}

	return {
		...guard,
		unproven: guard.unproven.slice(proven.length),
		provenAt: proven.reduce((times, output) => output.parts.keySeq().reduce((each, part) => each.delete(part).set(part, output.at), times), guard.provenAt).takeLast(maxProven),
		outputCount: guard.outputCount + proven.length,
	};
};

const isCleared = (guard: PoisonGuard, part: string, since: number): boolean => (guard.provenAt.get(part) ?? Number.NEGATIVE_INFINITY) > since;

/** Counts the moments at which endpoints crashed; `crashes` are in the order of time. */
const countMoments = (crashes: readonly Crash[]): number => crashes.reduce<{count: number; last: number}>(
	({count, last}, {at}) => at - last >= momentMs ? {count: count + 1, last: at} : {count, last},
	{count: 0, last: Number.NEGATIVE_INFINITY},
).count;

/** Tells whether requests without a part have been served since its first crash. */
const hasServedOthers = (guard: PoisonGuard, part: string, first: Crash, crashes: readonly Crash[]): boolean => guard.outputCount - first.outputsBefore >= minOtherOutputs
	|| new Set(crashes.flatMap(({suspects}) => suspects.keySeq().toArray().filter(each => each !== part && isCleared(guard, each, first.at)))).size >= minOtherCleared;

type Suspicion = Readonly<{part: string; crashes: number; isSufficient: boolean}>;

const gaugeSuspicion = (guard: PoisonGuard, part: string, crashes: readonly Crash[], now: number): Suspicion => {
	const own = crashes.filter(crash => crash.suspects.has(part) && !isCleared(guard, part, crash.at));
	const [first] = own;
	const moments = countMoments(own);
	const fraction = first === undefined ? 0 : own.length / crashes.filter(({at, endpoint}) => at >= first.at && endpoint.service === first.endpoint.service).length;
	return {
		part,
		crashes: own.length,
		isSufficient: first !== undefined && now - first.at >= minSpanMs
			&& thresholds.some(threshold => own.length >= threshold.crashes && moments >= threshold.moments && fraction >= threshold.fraction) && hasServedOthers(guard, part, first, own),
	};
};

/** Picks the parts that explain the most crashes: one, or several that cannot be told apart. */
const pickWinners = (suspicions: readonly Suspicion[]): readonly Suspicion[] => {
	const most = Math.max(0, ...suspicions.map(({crashes}) => crashes));
	const winners = suspicions.filter(({crashes}) => crashes === most);
	return winners.filter(({isSufficient}) => isSufficient && (winners.length === 1 || most >= minCrashesWithoutWinner));
};

/**
Lists the parts to condemn. Parts without any proven output come first: while few requests are served, those
that sound requests share are in as many crashes, and become suspects only if nothing else explains them.
*/
const listPoison = (guard: PoisonGuard, now: number): readonly Suspicion[] => {
	// A crash that a condemned part explains is no evidence against another part.
	const crashes = guard.crashes.valueSeq().toArray()
		.filter(crash => !crash.isRefuted && now - crash.at >= settleMs && !crash.suspects.keySeq().some(part => guard.verdicts.has(part)))
		.toSorted((a, b) => a.at - b.at);
	if (crashes.length < thresholds[0].crashes) {
		return [];
	}

	const parts = [...new Set(crashes.flatMap(({suspects}) => suspects.keySeq().toArray()))];
	const suspicions = parts.map(part => gaugeSuspicion(guard, part, crashes, now));
	const neverProven = suspicions.filter(({part}) => !guard.provenAt.has(part));
	const hasOtherExplanation = neverProven.some(suspicion => suspicion.crashes >= minCrashesOfExplanation);
	return pickWinners(hasOtherExplanation ? neverProven : suspicions);
};

/**
Advances time: proves outputs, condemns and clears parts, and forgets old crashes and verdicts.

@param guard - The guard.
@param isActive - Tells whether a request is still in progress.
@param now - The current time in ms.
@returns The guard, and the changes of verdicts.
*/
export const tickPoisonGuard = (guard: PoisonGuard, isActive: (request: number) => boolean, now: number): Readonly<{guard: PoisonGuard; changes: readonly VerdictChange[]}> => {
	const proven = settleOutputs(guard, now);
	if (proven.crashes.isEmpty() && proven.verdicts.isEmpty()) {
		return {guard: proven, changes: []};
	}

	const current: PoisonGuard = {...proven, crashes: proven.crashes.filter(({at}) => now - at < crashTtlMs)};
	const cleared = current.verdicts.filter((verdict, part) => isCleared(current, part, verdict.at));
	const expired = current.verdicts.filter((verdict, part) => !cleared.has(part) && now - verdict.until >= idleVerdictMs);
	const kept = current.verdicts.filter((_, part) => !cleared.has(part) && !expired.has(part))
		.map(verdict => verdict.trial !== undefined && !isActive(verdict.trial) ? {...verdict, trial: undefined} : verdict);
	// The crashes behind a verdict that has ended do not lead to another one.
	const judged: PoisonGuard = {
		...current, verdicts: kept, crashes: current.crashes.map(crash => ({...crash, suspects: crash.suspects.deleteAll(expired.keys())})),
	};
	const poison = listPoison(judged, now).slice(0, maxVerdicts - kept.size);
	const verdicts = poison.reduce((all, {part}) => all.set(part, {
		at: now, until: now + firstVerdictMs, strikes: 0, isOwn: true, trial: undefined,
	}), kept);
	return {
		guard: {...judged, verdicts},
		changes: [
			...cleared.keySeq().toArray().map(part => ({part, kind: 'cleared', crashes: 0} as const)),
			...expired.keySeq().toArray().map(part => ({part, kind: 'expired', crashes: 0} as const)),
			...poison.map(({part, crashes}) => ({part, kind: 'condemned', crashes} as const)),
		],
	};
};

/** What is done with a request: it is sent, rejected because of a part, or sent to find out whether a verdict still holds. */
export type PoisonDecision =
	| Readonly<{kind: 'send'}>
	| Readonly<{kind: 'reject'; part: string; retryAfterMs: number}>
	| Readonly<{kind: 'try'; part: string}>;

/** Time for which one router may test a verdict before it is the turn of the next one, which may have requests to test it with. */
const testerTurnMs = 5000;

/** Selects the router that may test a verdict. All routers that know the same live routers select the same one. */
const selectTester = (part: string, until: number, routers: readonly string[], now: number): string | undefined =>
	routers.toSorted((a, b) => hashText(`${part}/${b}`) - hashText(`${part}/${a}`))[Math.floor((now - until) / testerTurnMs) % routers.length];

/**
Decides whether a request may be sent to an endpoint. Once a verdict has ended, a single
request of all routers tests it.

@param guard - The guard.
@param request - The number of the request and its parts.
@param router - Id of this router.
@param routers - Ids of all live routers, including this one.
@param now - The current time in ms.
@returns The decision.
*/
export const decidePoison = (guard: PoisonGuard, request: Readonly<{id: number; parts: SharedParts}>, router: string, routers: readonly string[], now: number): PoisonDecision => {
	const condemned = request.parts.keySeq().toArray().flatMap(part => {
		const verdict = guard.verdicts.get(part);
		return verdict === undefined || verdict.trial === request.id ? [] : [{part, verdict}];
	});
	const [first, ...others] = condemned;
	if (first === undefined) {
		return {kind: 'send'};
	}

	const {part, verdict} = first;
	const canTry = others.length === 0 && verdict.trial === undefined && now >= verdict.until && selectTester(part, verdict.until, routers, now) === router;
	return canTry ? {kind: 'try', part} : {kind: 'reject', part, retryAfterMs: Math.max(minSpanMs, verdict.until - now)};
};

/**
Starts the test of a verdict.

@param guard - The guard.
@param part - The condemned part.
@param request - The number of the request that is sent.
@returns The guard.
*/
export const startTrial = (guard: PoisonGuard, part: string, request: number): PoisonGuard => {
	const verdict = guard.verdicts.get(part);
	return verdict === undefined ? guard : {...guard, verdicts: guard.verdicts.set(part, {...verdict, trial: request})};
};

/**
Tells whether there is anything to tell peers.

@param guard - The guard.
@returns False if no crash and no verdict is known.
*/
export const hasPoisonNews = (guard: PoisonGuard): boolean => !guard.crashes.isEmpty() || !guard.verdicts.isEmpty();

/**
Lists what peers need to know. Peers pass it on, with its age, so that all routers learn it.

@param guard - The guard.
@param now - The current time in ms.
@returns The latest crashes, the proven outputs of their suspects, and the verdicts.
*/
export const listPoisonNews = (guard: PoisonGuard, now: number): PoisonNews => {
	const crashes = guard.crashes.valueSeq().toArray().filter(({at}) => now - at < crashNewsMs).slice(-maxToldCrashes);
	const suspects = new Set([...crashes.flatMap(crash => crash.suspects.keySeq().toArray()), ...guard.verdicts.keys()]);
	return {
		crashes: crashes.map(crash => ({
			endpoint: crash.endpoint,
			ageMs: Math.max(0, Math.round(now - crash.at)),
			isRefuted: crash.isRefuted,
			suspects: crash.suspects.entrySeq().toArray()
				.filter(([part]) => !isCleared(guard, part, crash.at))
				.slice(0, maxToldSuspects),
		})),
		proven: [...suspects].flatMap(part => {
			const at = guard.provenAt.get(part);
			return at === undefined || now - at >= crashNewsMs ? [] : [{part, ageMs: Math.max(0, Math.round(now - at))}];
		}),
		verdicts: guard.verdicts.entrySeq().toArray().map(([part, {at, until, strikes}]) => ({
			part, ageMs: Math.max(0, Math.round(now - at)), remainingMs: Math.round(until - now), strikes,
		})),
	};
};

/**
Adds what a peer knows.

@param guard - The guard.
@param news - The peer's message.
@param now - The current time in ms.
@returns The guard.
*/
export const mergePoisonNews = (guard: PoisonGuard, news: PoisonNews, now: number): PoisonGuard => {
	const provenAt = news.proven.reduce((times, {part, ageMs}) => now - ageMs > (times.get(part) ?? Number.NEGATIVE_INFINITY)
		? times.delete(part).set(part, now - ageMs)
		: times, guard.provenAt);
	const withCrashes = news.crashes.filter(({ageMs}) => ageMs < crashNewsMs).reduce((current, {endpoint, ageMs, isRefuted, suspects}) => addCrash(current, {
		endpoint, at: now - ageMs, suspects: Map(suspects), isRefuted, outputsBefore: guard.outputCount,
	}), {...guard, provenAt: provenAt.takeLast(maxProven)});
	const verdicts = news.verdicts.reduce((all, {part, ageMs, remainingMs, strikes}) => {
		const known = all.get(part);
		const isNews = known === undefined ? all.size < maxVerdicts && remainingMs > -idleVerdictMs : strikes > known.strikes;
		return isNews && !isCleared(withCrashes, part, now - ageMs)
			? all.set(part, {
				at: now - ageMs, until: now + Math.min(remainingMs, maxVerdictMs), strikes, isOwn: false, trial: undefined,
			})
			: all;
	}, withCrashes.verdicts);
	return {...withCrashes, verdicts};
};
