import {Map, OrderedMap, Set} from 'immutable';
import {formatIncarnation} from '../registry/index.js';
import type {Incarnation} from '../registry/index.js';
import {getSuspectKind} from './suspects.js';
import type {Suspect, SuspectKind, Suspects} from './suspects.js';

/** The end of an endpoint's incarnation, as it shows in requests that broke off there. Times in ms. */
export type Crash = Readonly<{
	endpoint: Incarnation;
	at: number;
	/** The suspects of the requests that had no output there, or only since a moment ago. */
	suspects: Suspects;
	/** True once the incarnation has responded to a request that was sent later: it has not ended. */
	isRefuted: boolean;
	/** Proven outputs of its service at this router when it learned of the crash. */
	outputsBefore: number;
}>;

/** A run of a request at an endpoint that may still crash on it. */
type Run = Readonly<{
	endpoint: Incarnation;
	suspects: Suspects;
	/** When it gave its first output, or was abandoned, in ms. */
	at: number;
}>;

/** What a router has seen and heard of crashes and of outputs. */
export type Evidence = Readonly<{
	/** Crashes by incarnation, the latest ones last. */
	crashes: OrderedMap<string, Crash>;
	/** Outputs that are not proven yet, and runs that were abandoned, oldest first. */
	unproven: readonly Run[];
	abandoned: readonly Run[];
	/** Time of the last proven output by suspect, the latest ones last. */
	provenAt: Readonly<Record<SuspectKind, OrderedMap<Suspect, number>>>;
	/** Number of proven outputs at this router, by service. */
	outputCounts: Map<string, number>;
}>;

/** Time that an endpoint must survive a run. It may write a few events before it crashes. */
const probationMs = 500;

/** Time after which a crash is no longer found that an abandoned run has caused. */
const abandonedTtlMs = 3000;

/** Time for which a crash counts. */
const crashTtlMs = 600_000;

/** Limits of the state. */
const maxCrashes = 64;
const maxSuspects = 64;
const maxUnproven = 1024;
const maxAbandoned = 256;
const maxProven = 4096;

/** The evidence of a process that has seen no request. */
export const emptyEvidence: Evidence = {
	crashes: OrderedMap(), unproven: [], abandoned: [], provenAt: {request: OrderedMap(), part: OrderedMap()}, outputCounts: Map(),
};

/**
Gets the time of the last proven output of a suspect.

@param evidence - The evidence.
@param suspect - The suspect.
@returns The time in ms; undefined if there was none, or if it is long ago.
*/
export const getProvenAt = (evidence: Evidence, suspect: Suspect): number | undefined => evidence.provenAt[getSuspectKind(suspect)].get(suspect);

/**
Tells whether a suspect has had a proven output since a time.

@param evidence - The evidence.
@param suspect - The suspect.
@param since - The time in ms.
@returns True if it has.
*/
export const isCleared = (evidence: Evidence, suspect: Suspect, since: number): boolean => (getProvenAt(evidence, suspect) ?? Number.NEGATIVE_INFINITY) > since;

/**
Counts the proven outputs of a service at this router.

@param evidence - The evidence.
@param service - The service.
@returns Their number.
*/
export const countOutputs = (evidence: Evidence, service: string): number => evidence.outputCounts.get(service, 0);

/**
Adds the time of proven outputs.

@param evidence - The evidence.
@param proofs - Suspects, each with the time of an output.
@returns The evidence.
*/
export const addProofs = (evidence: Evidence, proofs: ReadonlyArray<readonly [suspect: Suspect, at: number]>): Evidence => {
	const add = (kind: SuspectKind) => {
		const known = proofs.filter(([suspect]) => getSuspectKind(suspect) === kind).reduce((times, [suspect, at]) => at > (times.get(suspect) ?? Number.NEGATIVE_INFINITY)
			? times.delete(suspect).set(suspect, at)
			: times, evidence.provenAt[kind]);
		// Entries are removed many at a time, since that copies the map.
		return known.size <= 2 * maxProven ? known : known.takeLast(maxProven);
	};

	return proofs.length === 0 ? evidence : {...evidence, provenAt: {request: add('request'), part: add('part')}};
};

/**
Records the first output of a request. It proves its suspects sound once the endpoint has survived it for a while.

@param evidence - The evidence.
@param endpoint - The endpoint that gave it.
@param suspects - The suspects of the request that the output speaks for.
@param now - The current time in ms.
@returns The evidence.
*/
export const recordOutput = (evidence: Evidence, endpoint: Incarnation, suspects: Suspects, now: number): Evidence =>
	({...evidence, unproven: [...evidence.unproven, {endpoint, suspects, at: now}].slice(-maxUnproven)});

/**
Records that a request was answered completely. If it was proven before, its endpoint need not survive the answer.

@param evidence - The evidence.
@param request - The request itself as a suspect.
@param now - The current time in ms.
@returns The evidence.
*/
export const recordAnswer = (evidence: Evidence, request: Suspect, now: number): Evidence =>
	getProvenAt(evidence, request) === undefined ? evidence : addProofs(evidence, [[request, now]]);

/**
Records that a request without output was abandoned. Its endpoint may crash on it nevertheless.

@param evidence - The evidence.
@param endpoint - Its endpoint.
@param suspects - The suspects of the request.
@param now - The current time in ms.
@returns The evidence.
*/
export const recordAbandonment = (evidence: Evidence, endpoint: Incarnation, suspects: Suspects, now: number): Evidence =>
	({...evidence, abandoned: [...evidence.abandoned, {endpoint, suspects, at: now}].slice(-maxAbandoned)});

/** Keeps the suspects that are in the most other crashes, and of these the ones that have been proven least recently. */
const capSuspects = (evidence: Evidence, suspects: Suspects): Suspects => {
	if (suspects.size <= maxSuspects) {
		return suspects;
	}

	return Set(orderByGuilt(evidence, suspects).slice(0, maxSuspects));
};

/**
Orders suspects by the number of crashes that they are in, most first, and then by the time since their last proven output.

@param evidence - The evidence.
@param suspects - The suspects.
@returns The suspects in order.
*/
export const orderByGuilt = (evidence: Evidence, suspects: Suspects): readonly Suspect[] => {
	const crashes = evidence.crashes.valueSeq().toArray();
	return suspects.toArray()
		.map(suspect => ({suspect, crashes: crashes.filter(crash => crash.suspects.has(suspect)).length, provenAt: getProvenAt(evidence, suspect) ?? 0}))
		.toSorted((a, b) => b.crashes - a.crashes || a.provenAt - b.provenAt)
		.map(({suspect}) => suspect);
};

/** Combines what is known of the crash of an incarnation. Requests that break off there long after it show nothing new, unless it has responded in between. */
const mergeCrash = (known: Crash | undefined, crash: Crash): Crash => {
	if (known === undefined || (known.isRefuted && known.at < crash.at - probationMs)) {
		return crash;
	}

	const isNews = (crash.isRefuted && !known.isRefuted) || !crash.suspects.isSubset(known.suspects);
	return !isNews || Math.abs(known.at - crash.at) > probationMs
		? known
		: {...known, suspects: known.suspects.union(crash.suspects), isRefuted: known.isRefuted || crash.isRefuted};
};

/**
Adds a crash. The endpoint may have given output just before, or been left by clients.

@param evidence - The evidence.
@param crash - What is known of the crash.
@returns The evidence.
*/
export const addCrash = (evidence: Evidence, crash: Omit<Crash, 'outputsBefore'>): Evidence => {
	const key = formatIncarnation(crash.endpoint);
	const known = evidence.crashes.get(key);
	const listDoubtful = (runs: readonly Run[]) => crash.isRefuted
		? []
		: runs.filter(run => Math.abs(run.at - crash.at) <= probationMs && run.endpoint.id === crash.endpoint.id && formatIncarnation(run.endpoint) === key);
	const outputs = listDoubtful(evidence.unproven);
	const suspects = crash.suspects.union(...[...outputs, ...listDoubtful(evidence.abandoned)].map(run => run.suspects));
	const merged = mergeCrash(known, {...crash, suspects, outputsBefore: countOutputs(evidence, crash.endpoint.service)});
	if (merged === known && outputs.length === 0) {
		return evidence;
	}

	return {
		...evidence,
		unproven: outputs.length === 0 ? evidence.unproven : evidence.unproven.filter(run => !outputs.includes(run)),
		crashes: evidence.crashes.set(key, {...merged, suspects: capSuspects(evidence, merged.suspects)}).takeLast(maxCrashes),
	};
};

/**
Records that an endpoint accepts no connection. If a run was abandoned there just before, it may have crashed on it.

@param evidence - The evidence.
@param endpoint - The endpoint.
@returns The evidence.
*/
export const recordUnreachable = (evidence: Evidence, endpoint: Incarnation): Evidence => {
	const key = formatIncarnation(endpoint);
	const run = evidence.abandoned.findLast(each => formatIncarnation(each.endpoint) === key);
	return run === undefined
		? evidence
		: addCrash(evidence, {
			endpoint, at: run.at, suspects: run.suspects, isRefuted: false,
		});
};

/**
Refutes a crash of an endpoint that responds.

@param evidence - The evidence.
@param endpoint - The endpoint.
@param sentAt - When the request was sent that it has responded to, in ms.
@returns The evidence.
*/
export const refuteCrash = (evidence: Evidence, endpoint: Incarnation, sentAt: number): Evidence => {
	if (evidence.crashes.isEmpty()) {
		return evidence;
	}

	const key = formatIncarnation(endpoint);
	const crash = evidence.crashes.get(key);
	return crash === undefined || crash.isRefuted || sentAt <= crash.at ? evidence : {...evidence, crashes: evidence.crashes.set(key, {...crash, isRefuted: true})};
};

/**
Advances time: proves outputs and forgets old crashes.

@param evidence - The evidence.
@param now - The current time in ms.
@returns The evidence.
*/
export const tickEvidence = (evidence: Evidence, now: number): Evidence => {
	const proven = evidence.unproven.filter(({at}) => now - at >= probationMs);
	const added = addProofs(evidence, proven.flatMap(({suspects, at}) => suspects.toArray().map(suspect => [suspect, at] as const)));
	return {
		...added,
		unproven: proven.length === 0 ? added.unproven : added.unproven.slice(proven.length),
		abandoned: added.abandoned.length === 0 ? added.abandoned : added.abandoned.filter(({at}) => now - at < abandonedTtlMs),
		outputCounts: proven.reduce((counts, {endpoint}) => counts.update(endpoint.service, 0, count => count + 1), added.outputCounts),
		crashes: added.crashes.every(({at}) => now - at < crashTtlMs) ? added.crashes : added.crashes.filter(({at}) => now - at < crashTtlMs),
	};
};
