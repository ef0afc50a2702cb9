import type {Map} from 'immutable';
import {hashText} from '../random/index.js';
import type {Suspect, Suspects} from './suspects.js';

/** The decision to send no request with a suspect to any endpoint. Times in ms. */
export type Verdict = Readonly<{
	/** Time of the last crash that led to it. A later proven output lifts it. */
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

export type Verdicts = Map<Suspect, Verdict>;

/** Duration of a first verdict, and the longest one. It doubles with each crash that confirms it. */
const firstVerdictMs = 20_000;
export const maxVerdictMs = 600_000;

/** Time after its end for which a verdict without any request that tests it is kept. */
export const idleVerdictMs = 60_000;

export const maxVerdicts = 64;

/** Shortest time that a client is asked to wait. */
const minRetryAfterMs = 1000;

/** Time for which one router may test a verdict before it is the turn of the next one, which may have requests to test it with. */
const testerTurnMs = 5000;

const computeVerdictMs = (strikes: number): number => Math.min(maxVerdictMs, firstVerdictMs * (2 ** strikes));

/**
Creates a verdict of this router.

@param at - Time of the last crash that led to it, in ms.
@param strikes - Number of tests under which an endpoint has crashed.
@returns The verdict.
*/
export const createVerdict = (at: number, strikes: number): Verdict => ({
	at, until: at + computeVerdictMs(strikes), strikes, isOwn: true, trial: undefined,
});

/**
Extends the verdicts that a request tested under which its endpoint has crashed.

@param verdicts - The verdicts.
@param request - The number of the request.
@param now - The current time in ms.
@returns The verdicts.
*/
export const extendVerdicts = (verdicts: Verdicts, request: number, now: number): Verdicts =>
	verdicts.map(verdict => verdict.trial === request ? createVerdict(now, verdict.strikes + 1) : verdict);

/** What is done with a request: it is sent, rejected because of a suspect, or sent to find out whether a verdict still holds. */
export type PoisonDecision =
	| Readonly<{kind: 'send'}>
	| Readonly<{kind: 'reject'; suspect: Suspect; retryAfterMs: number}>
	| Readonly<{kind: 'try'; suspect: Suspect}>;

/** Selects the router that may test a verdict. All routers that know the same live routers select the same one. */
const selectTester = (suspect: Suspect, until: number, routers: readonly string[], now: number): string | undefined =>
	routers.toSorted((a, b) => hashText(`${suspect}/${b}`) - hashText(`${suspect}/${a}`))[Math.floor((now - until) / testerTurnMs) % routers.length];

/**
Decides whether a request may be sent to an endpoint. Once a verdict has ended, a single
request of all routers tests it.

@param verdicts - The verdicts.
@param request - The number of the request and its suspects.
@param router - Id of this router.
@param routers - Ids of all live routers, including this one.
@param now - The current time in ms.
@returns The decision.
*/
export const decidePoison = (verdicts: Verdicts, request: Readonly<{id: number; suspects: Suspects}>, router: string, routers: readonly string[], now: number): PoisonDecision => {
	const condemned = request.suspects.toArray().flatMap(suspect => {
		const verdict = verdicts.get(suspect);
		return verdict === undefined || verdict.trial === request.id ? [] : [{suspect, verdict}];
	});
	const [first, ...others] = condemned;
	if (first === undefined) {
		return {kind: 'send'};
	}

	const {suspect, verdict} = first;
	const canTry = others.length === 0 && verdict.trial === undefined && now >= verdict.until && selectTester(suspect, verdict.until, routers, now) === router;
	return canTry ? {kind: 'try', suspect} : {kind: 'reject', suspect, retryAfterMs: Math.max(minRetryAfterMs, verdict.until - now)};
};

/**
Starts the test of a verdict.

@param verdicts - The verdicts.
@param suspect - The condemned suspect.
@param request - The number of the request that is sent.
@returns The verdicts.
*/
export const startTrial = (verdicts: Verdicts, suspect: Suspect, request: number): Verdicts => {
	const verdict = verdicts.get(suspect);
	return verdict === undefined ? verdicts : verdicts.set(suspect, {...verdict, trial: request});
};
