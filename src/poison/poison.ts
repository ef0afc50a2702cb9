import {Map} from 'immutable';
import type {Incarnation} from '../registry/index.js';
import {
	addCrash, emptyEvidence, isCleared, tickEvidence,
} from './evidence.js';
import type {Evidence} from './evidence.js';
import {findCauses} from './judge.js';
import type {Suspect, Suspects} from './suspects.js';
import {
	createVerdict, extendVerdicts, isIdle, maxVerdicts, settleTrial,
} from './verdicts.js';
import type {Verdicts} from './verdicts.js';

/**
What a router knows of requests and prompt parts on which endpoints crash.

A suspect that has appeared in the crashes of several endpoints, and in no output in between,
is condemned. What these requests share with others is cleared by the output of the others.
*/
export type PoisonGuard = Readonly<{evidence: Evidence; verdicts: Verdicts}>;

/** A change of a verdict, for the log. */
export type VerdictChange = Readonly<{suspect: Suspect; kind: 'condemned' | 'cleared' | 'expired'; crashes: number; strikes: number}>;

/**
Creates the guard of a process that has seen no crash.

@returns The guard.
*/
export const createPoisonGuard = (): PoisonGuard => ({evidence: emptyEvidence, verdicts: Map()});

/**
Records that a request broke off at its endpoint. Several at one endpoint are one crash.

@param guard - The guard.
@param request - The number of the request, its endpoint, and its suspects; none if it had output.
@param now - The current time in ms.
@returns The guard. A verdict that the request was to test is extended.
*/
export const recordBreak = (guard: PoisonGuard, request: Readonly<{id: number; endpoint: Incarnation; suspects: Suspects}>, now: number): PoisonGuard => ({
	evidence: addCrash(guard.evidence, {
		endpoint: request.endpoint, at: now, suspects: request.suspects, isRefuted: false,
	}),
	verdicts: extendVerdicts(guard.verdicts, request.id, now),
});

/**
Advances time: proves outputs, condemns and clears suspects, and forgets old crashes and verdicts.

@param guard - The guard.
@param isActive - Tells whether a request is still in progress.
@param now - The current time in ms.
@returns The guard, and the changes of verdicts.
*/
export const tickPoisonGuard = (guard: PoisonGuard, isActive: (request: number) => boolean, now: number): Readonly<{guard: PoisonGuard; changes: readonly VerdictChange[]}> => {
	const evidence = tickEvidence(guard.evidence, now);
	const cleared = guard.verdicts.filter((verdict, suspect) => isCleared(evidence, suspect, verdict.at));
	const expired = guard.verdicts.filter((verdict, suspect) => !cleared.has(suspect) && isIdle(suspect, now - verdict.until));
	const kept = guard.verdicts.filter((_, suspect) => !cleared.has(suspect) && !expired.has(suspect))
		.map((verdict, suspect) => settleTrial(suspect, verdict, evidence, isActive, now));
	// The crashes behind a verdict that has ended do not lead to another one.
	const judged: Evidence = expired.isEmpty()
		? evidence
		: {...evidence, crashes: evidence.crashes.map(crash => ({...crash, suspects: crash.suspects.subtract(expired.keySeq())}))};
	const causes = findCauses(judged, new Set(kept.keys()), now).slice(0, maxVerdicts - kept.size);
	return {
		guard: {evidence: judged, verdicts: kept.merge(causes.map(({suspect, lastAt, isCertain}) => [suspect, createVerdict(suspect, lastAt, isCertain ? 1 : 0)] as const))},
		changes: [
			...cleared.entrySeq().toArray().map(([suspect, {strikes}]) => ({
				suspect, kind: 'cleared', crashes: 0, strikes,
			} as const)),
			...expired.entrySeq().toArray().map(([suspect, {strikes}]) => ({
				suspect, kind: 'expired', crashes: 0, strikes,
			} as const)),
			...causes.map(({suspect, crashes, isCertain}) => ({
				suspect, kind: 'condemned', crashes, strikes: isCertain ? 1 : 0,
			} as const)),
		],
	};
};
