import type {Map} from 'immutable';
import {hashText} from '../random/index.js';
import type {Evidence} from './evidence.js';
import {getSuspectKind} from './suspects.js';
import type {Suspect, SuspectKind, Suspects} from './suspects.js';

/** The test of a verdict by a request. Times in ms. */
type Trial = Readonly<{
	request: number;
	startedAt: number;
	/** When the request was no longer in progress; undefined while it is. */
	endedAt: number | undefined;
}>;

/** The decision to send no request with a suspect to any endpoint. Times in ms. */
export type Verdict = Readonly<{
	/** Time of the last crash that led to it. A later proven output lifts it. */
	at: number;
	/** From when on one request may be sent to find out whether the verdict still holds. */
	until: number;
	/** 0 for a verdict to test at once; rises with each such request under which an endpoint has crashed. */
	strikes: number;
	/** True if this router has reached it. */
	isOwn: boolean;
	/** The request of this router that is sent to find out. */
	trial: Trial | undefined;
	/** Until when such a request of another router is assumed to be in progress. */
	peerTrialUntil: number;
}>;

export type Verdicts = Map<Suspect, Verdict>;

type VerdictTerms = Readonly<{
	/** Duration of a certain verdict, in ms, and the factor by which it grows with each crash that confirms it. */
	firstMs: number;
	growth: number;
	/** Time after its end for which a verdict without any request that tests it is kept, in ms. */
	idleMs: number;
}>;

/** A request that comes again may do so seldom; parts are in the requests of many clients. */
const termsByKind: Readonly<Record<SuspectKind, VerdictTerms>> = {
	request: {firstMs: 30_000, growth: 4, idleMs: 600_000},
	part: {firstMs: 20_000, growth: 2, idleMs: 60_000},
};

/** Duration of the longest verdict. */
export const maxVerdictMs = 600_000;

export const maxVerdicts = 64;

/** Shortest time that a client is asked to wait. */
const minRetryAfterMs = 1000;

/** Time for which one router may test a verdict before it is the turn of the next one, which may have requests to test it with. */
const testerTurnMs = 1000;

/** Time after a test's request has ended in which an endpoint may still be found to have crashed on it. */
const trialSettleMs = 1500;

/** Time for which the news of another router's test holds: a few messages. */
const peerTrialMs = 1000;

const computeVerdictMs = (suspect: Suspect, strikes: number): number => {
	const {firstMs, growth} = termsByKind[getSuspectKind(suspect)];
	return strikes === 0 ? 0 : Math.min(maxVerdictMs, firstMs * (growth ** (strikes - 1)));
};

/**
Tells whether a verdict has ended for lack of requests that test it.

@param suspect - The condemned suspect.
@param endedForMs - Time since the verdict's end, in ms.
@returns True if it is to be forgotten.
*/
export const isIdle = (suspect: Suspect, endedForMs: number): boolean => endedForMs >= termsByKind[getSuspectKind(suspect)].idleMs;

/**
Creates a verdict of this router.

@param suspect - The suspect.
@param at - Time of the last crash that led to it, in ms.
@param strikes - 0 for a verdict to test at once.
@returns The verdict.
*/
export const createVerdict = (suspect: Suspect, at: number, strikes: number): Verdict => ({
	at, until: at + computeVerdictMs(suspect, strikes), strikes, isOwn: true, trial: undefined, peerTrialUntil: 0,
});

/**
Extends the verdicts that a request tested under which its endpoint has crashed.

@param verdicts - The verdicts.
@param request - The number of the request.
@param now - The current time in ms.
@returns The verdicts.
*/
export const extendVerdicts = (verdicts: Verdicts, request: number, now: number): Verdicts =>
	verdicts.map((verdict, suspect) => verdict.trial?.request === request ? createVerdict(suspect, now, verdict.strikes + 1) : verdict);

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
		return verdict === undefined || verdict.trial?.request === request.id ? [] : [{suspect, verdict}];
	});
	const [first, ...others] = condemned;
	if (first === undefined) {
		return {kind: 'send'};
	}

	const {suspect, verdict} = first;
	const canTry = others.length === 0 && verdict.trial === undefined && now >= Math.max(verdict.until, verdict.peerTrialUntil)
		&& selectTester(suspect, verdict.until, routers, now) === router;
	return canTry ? {kind: 'try', suspect} : {kind: 'reject', suspect, retryAfterMs: Math.max(minRetryAfterMs, verdict.until - now)};
};

/**
Starts the test of a verdict.

@param verdicts - The verdicts.
@param suspect - The condemned suspect.
@param request - The number of the request that is sent.
@param now - The current time in ms.
@returns The verdicts.
*/
export const startTrial = (verdicts: Verdicts, suspect: Suspect, request: number, now: number): Verdicts => {
	const verdict = verdicts.get(suspect);
	return verdict === undefined ? verdicts : verdicts.set(suspect, {...verdict, trial: {request, startedAt: now, endedAt: undefined}});
};

/**
Ends the test of a verdict some time after its request. The client may have disconnected
before the endpoint crashed, which shows in other requests.

@param suspect - The condemned suspect.
@param verdict - The verdict.
@param evidence - The crashes.
@param isActive - Tells whether a request is still in progress.
@param now - The current time in ms.
@returns The verdict; extended if an endpoint has crashed.
*/
export const settleTrial = (suspect: Suspect, verdict: Verdict, evidence: Evidence, isActive: (request: number) => boolean, now: number): Verdict => {
	const {trial} = verdict;
	if (trial === undefined || isActive(trial.request)) {
		return verdict;
	}

	const crash = evidence.crashes.findLast(({at, suspects, isRefuted}) => at >= trial.startedAt && !isRefuted && suspects.has(suspect));
	if (crash !== undefined) {
		return createVerdict(suspect, crash.at, verdict.strikes + 1);
	}

	const endedAt = trial.endedAt ?? now;
	return {...verdict, trial: now - endedAt < trialSettleMs ? {...trial, endedAt} : undefined};
};

/**
Records that another router tests a verdict.

@param verdicts - The verdicts.
@param suspect - The condemned suspect.
@param now - The current time in ms.
@returns The verdicts.
*/
export const recordPeerTrial = (verdicts: Verdicts, suspect: Suspect, now: number): Verdicts => {
	const verdict = verdicts.get(suspect);
	return verdict === undefined ? verdicts : verdicts.set(suspect, {...verdict, peerTrialUntil: now + peerTrialMs});
};
