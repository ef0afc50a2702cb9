import {countOutputs, getProvenAt, isCleared} from './evidence.js';
import type {Crash, Evidence} from './evidence.js';
import {getSuspectKind} from './suspects.js';
import type {Suspect, SuspectKind} from './suspects.js';

/** A suspect and the crashes that it may explain: it is in them, and had no proven output since. */
type Suspicion = Readonly<{
	suspect: Suspect;
	kind: SuspectKind;
	/** In the order of time. */
	crashes: readonly Crash[];
	/** True if it has had a proven output at any time. */
	wasProven: boolean;
}>;

/** A suspect that is to be condemned. */
export type Finding = Readonly<{
	suspect: Suspect;
	/** The number of its crashes, and the time of the last one in ms. */
	crashes: number;
	lastAt: number;
	/** False if a request should test the verdict at once. */
	isCertain: boolean;
}>;

/** Evidence that suffices: crashes, their moments, and the fraction of all crashes of the service since the first one. */
type Threshold = Readonly<{crashes: number; moments: number; fraction: number}>;

/** Time after a crash within which a response of the endpoint may still refute it. */
const settleMs = 300;

/** Crashes within this time count as one moment, because a rack or a release may end several endpoints at once. */
const momentMs = 250;

/** Time after its first crash before a part is condemned: the output of sound requests clears it by then. */
const minSpanMs = 1000;

/**
Signs since the first crash that other requests are served, without which a part is not condemned: outputs
of this router, or other suspects that have been cleared at any router.
*/
const minOtherOutputs = 10;
const minOtherCleared = 2;

/** The same for a part that was proven before, which most of its requests are likely to prove again. */
const minOtherOutputsOnceProven = 100;

/** Evidence that suffices against a part. A request and its retry are two crashes at one moment. */
const thresholds = [
	{crashes: 4, moments: 4, fraction: 0.5},
	{crashes: 5, moments: 2, fraction: 0.5},
	{crashes: 8, moments: 8, fraction: 0.2},
] as const satisfies readonly Threshold[];

/** Crashes that a part must explain beyond those of any single request that has it. */
const minCrashesOfOtherRequests = 2;

/** Number of crashes from which parts that explain the same ones are condemned together. */
const minCrashesWithoutWinner = 7;

/** Number of crashes from which a part without any proven output is a better explanation than parts with some. */
const minCrashesOfExplanation = 2;

/** Number of crashes from which a request is condemned. */
const minCrashesOfRequest = 3;

/** The same while endpoints crash for other reasons: a sound request may meet several of these by chance. */
const unrelatedWindowMs = 10_000;
const minCrashesAmongUnrelated = [{unrelated: 10, crashes: 5}, {unrelated: 3, crashes: 4}] as const;

/** Time after its last crash before a request is condemned while another one explains as many: a sound one is mostly served by then. */
const tieSpanMs = 1000;

/** Evidence with which a request is condemned without a test at once. */
const certainRequest = {crashes: 4, moments: 3, fraction: 0.5} as const;

/** Evidence with which a request is condemned that was proven before, and how many times the crashes of the others it must explain. */
const onceProvenRequest = {crashes: 4, moments: 2, fraction: 0.5} as const;
const leadOnceProven = 2;

/** Counts the moments at which endpoints crashed; `crashes` are in the order of time. */
const countMoments = (crashes: readonly Crash[]): number => crashes.reduce<{count: number; last: number}>(
	({count, last}, {at}) => at - last >= momentMs ? {count: count + 1, last: at} : {count, last},
	{count: 0, last: Number.NEGATIVE_INFINITY},
).count;

const listSuspicions = (evidence: Evidence, crashes: readonly Crash[]): readonly Suspicion[] => {
	const bySuspect = new Map<Suspect, Crash[]>();
	crashes.forEach(crash => {
		crash.suspects.forEach(suspect => {
			if (!isCleared(evidence, suspect, crash.at)) {
				bySuspect.set(suspect, [...bySuspect.get(suspect) ?? [], crash]);
			}
		});
	});
	return [...bySuspect].filter(([, each]) => each.length >= minCrashesOfExplanation).map(([suspect, each]) => ({
		suspect, kind: getSuspectKind(suspect), crashes: each, wasProven: getProvenAt(evidence, suspect) !== undefined,
	}));
};

/** Counts the crashes of a part that the request explains which is in most of them. A request that was proven before explains none. */
const countExplainedByRequest = (part: Suspicion, requests: readonly Suspicion[]): number =>
	Math.max(1, ...requests.filter(({wasProven}) => !wasProven).map(({crashes}) => part.crashes.filter(crash => crashes.includes(crash)).length));

const createFinding = ({suspect, crashes}: Suspicion, isCertain: boolean): Finding => ({
	suspect, crashes: crashes.length, lastAt: crashes.at(-1)?.at ?? 0, isCertain,
});

/** Tells whether requests without a suspect have been served since its first crash. */
const hasServedOthers = (evidence: Evidence, {suspect, crashes, wasProven}: Suspicion): boolean => {
	const [first] = crashes;
	if (first === undefined) {
		return false;
	}

	const outputs = countOutputs(evidence, first.endpoint.service) - first.outputsBefore;
	const countCleared = () => new Set(crashes.flatMap(crash => crash.suspects.toArray().filter(each => each !== suspect && isCleared(evidence, each, first.at)))).size;
	return wasProven ? outputs >= minOtherOutputsOnceProven : outputs >= minOtherOutputs || countCleared() >= minOtherCleared;
};

/** Computes the fraction of the crashes of a service, since the first one of a suspect, that the suspect explains. */
const computeFraction = ({crashes}: Suspicion, all: readonly Crash[]): number => {
	const [first] = crashes;
	return first === undefined ? 0 : crashes.length / all.filter(({at, endpoint}) => at >= first.at && endpoint.service === first.endpoint.service).length;
};

/** Tells whether the crashes of a suspect are so many, of so many moments, and such a fraction of all since the first one. */
const hasReached = (threshold: Threshold, suspicion: Suspicion, all: readonly Crash[]): boolean => suspicion.crashes.length >= threshold.crashes
	&& countMoments(suspicion.crashes) >= threshold.moments && computeFraction(suspicion, all) >= threshold.fraction;

const isSufficient = (evidence: Evidence, part: Suspicion, all: readonly Crash[], requests: readonly Suspicion[], now: number): boolean => {
	const explained = countExplainedByRequest(part, requests);
	return now - (part.crashes[0]?.at ?? now) >= minSpanMs
		&& thresholds.some(threshold => hasReached(threshold, part, all))
		&& part.crashes.length >= Math.max(explained + minCrashesOfOtherRequests, part.wasProven ? 2 * explained : 0)
		&& hasServedOthers(evidence, part);
};

const countMostCrashes = (suspicions: readonly Suspicion[]): number => Math.max(0, ...suspicions.map(({crashes}) => crashes.length));

/** Returns the number of crashes that suffices against a request, by the number of crashes before its last one that have another cause. */
const computeMinCrashes = ({suspect, crashes}: Suspicion, all: readonly Crash[]): number => {
	const last = crashes.at(-1);
	const unrelated = last === undefined
		? 0
		: all.filter(({at, endpoint, suspects}) => at <= last.at && last.at - at < unrelatedWindowMs && endpoint.service === last.endpoint.service && !suspects.has(suspect)).length;
	return minCrashesAmongUnrelated.find(each => unrelated >= each.unrelated)?.crashes ?? minCrashesOfRequest;
};

/** Finds the requests that explain the most crashes: of those that were never proven the first ones, of the others all that clearly explain more. */
const findRequests = (requests: readonly Suspicion[], all: readonly Crash[], now: number): readonly Finding[] => {
	const [neverProven, onceProven] = [false, true].map(wasProven => requests.filter(request => request.wasProven === wasProven));
	const most = countMostCrashes(neverProven!);
	const first = neverProven!.filter(({crashes}) => crashes.length === most);
	const isTie = first.length > 1;
	return [
		...first.filter(request => most >= computeMinCrashes(request, all) && (!isTie || now - (request.crashes.at(-1)?.at ?? now) >= tieSpanMs))
			.map(request => createFinding(request, !isTie && hasReached(certainRequest, request, all))),
		...onceProven!.filter(request => request.crashes.length >= leadOnceProven * most && hasReached(onceProvenRequest, request, all))
			.map(request => createFinding(request, false)),
	];
};

/** Finds the parts that explain the most crashes: one, or several that cannot be told apart. */
const findParts = (evidence: Evidence, suspicions: Readonly<{parts: readonly Suspicion[]; requests: readonly Suspicion[]}>, all: readonly Crash[], now: number): readonly Finding[] => {
	const {parts, requests} = suspicions;
	const neverProven = parts.filter(({wasProven}) => !wasProven);
	const considered = neverProven.length > 0 ? neverProven : parts;
	const most = countMostCrashes(considered);
	const winners = considered.filter(({crashes}) => crashes.length === most);
	return winners.length === 1 || most >= minCrashesWithoutWinner
		? winners.filter(part => isSufficient(evidence, part, all, requests, now)).map(part => createFinding(part, !part.wasProven))
		: [];
};

/**
Adds the crashes that a request shares with what is condemned. They are no evidence against a request that is in hardly any other, as it may be there by chance; one without any proven
output that has crashed endpoints alone is likely to have caused these, too.
*/
const addSharedCrashes = (evidence: Evidence, request: Suspicion, all: readonly Crash[]): Suspicion =>
	({...request, crashes: all.filter(({at, suspects}) => suspects.has(request.suspect) && !isCleared(evidence, request.suspect, at))});

/**
Finds what endpoints crash on.

The narrowest cause is blamed. A part is to blame only if it explains clearly more crashes than any request that has it:
one request that comes again has all its parts in all its crashes. Suspects without any proven output come first: while
few requests are served, those that sound requests share are in as many crashes.

@param evidence - The evidence.
@param condemned - The suspects that are condemned already. What they explain is no evidence against others.
@param now - The current time in ms.
@returns The suspects to condemn.
*/
export const findCauses = (evidence: Evidence, condemned: ReadonlySet<Suspect>, now: number): readonly Finding[] => {
	const crashes = evidence.crashes.valueSeq().toArray()
		.filter(crash => !crash.isRefuted && now - crash.at >= settleMs)
		.toSorted((a, b) => a.at - b.at);
	if (crashes.length < minCrashesOfRequest) {
		return [];
	}

	const unexplained = crashes.filter(crash => !crash.suspects.some(suspect => condemned.has(suspect)));
	const withoutPart = crashes.filter(crash => !crash.suspects.some(suspect => getSuspectKind(suspect) === 'part' && condemned.has(suspect)));
	const suspicions = listSuspicions(evidence, withoutPart);
	const requests = listSuspicions(evidence, unexplained).filter(({kind}) => kind === 'request');
	return [
		...findRequests(requests.map(request => request.wasProven ? request : addSharedCrashes(evidence, request, crashes)), unexplained, now),
		...findParts(evidence, {parts: suspicions.filter(({kind}) => kind === 'part'), requests: suspicions.filter(({kind}) => kind === 'request')}, withoutPart, now),
	];
};
