import {Set} from 'immutable';
import type {Incarnation} from '../registry/index.js';
import {
	addCrash, addProofs, getProvenAt, isCleared, orderByGuilt,
} from './evidence.js';
import type {PoisonGuard} from './poison.js';
import type {Suspect} from './suspects.js';
import {
	isIdle, maxVerdictMs, maxVerdicts, recordPeerTrial,
} from './verdicts.js';

/** What routers tell each other about crashes. Ages in ms. */
export type PoisonNews = Readonly<{
	crashes: ReadonlyArray<Readonly<{endpoint: Incarnation; ageMs: number; isRefuted: boolean; suspects: readonly Suspect[]}>>;
	/** Proven outputs of suspects. */
	proven: ReadonlyArray<Readonly<{suspect: Suspect; ageMs: number}>>;
	verdicts: ReadonlyArray<Readonly<{suspect: Suspect; ageMs: number; remainingMs: number; strikes: number}>>;
	/** Suspects whose verdicts a request of the sender tests. */
	trials: readonly Suspect[];
}>;

/** Time for which peers are told of a crash or of a proven output. */
const newsTtlMs = 30_000;

/** Limits of what is told to peers. */
const maxToldCrashes = 8;
const maxToldSuspects = 24;
const maxToldProofs = 64;

/**
Tells whether there is anything to tell peers.

@param guard - The guard.
@returns False if no crash and no verdict is known.
*/
export const hasPoisonNews = ({evidence, verdicts}: PoisonGuard): boolean => !evidence.crashes.isEmpty() || !verdicts.isEmpty();

/**
Tells whether a message of a peer says anything of crashes.

@param news - The peer's message.
@returns False if it is empty.
*/
export const hasNews = ({crashes, proven, verdicts, trials}: Readonly<Record<keyof PoisonNews, readonly unknown[]>>): boolean =>
	crashes.length > 0 || proven.length > 0 || verdicts.length > 0 || trials.length > 0;

/**
Lists what peers need to know. Peers pass it on, with its age, so that all routers learn it.

@param guard - The guard.
@param now - The current time in ms.
@returns The latest crashes, the proven outputs of their suspects, and the verdicts.
*/
export const listPoisonNews = ({evidence, verdicts}: PoisonGuard, now: number): PoisonNews => {
	const crashes = evidence.crashes.valueSeq().toArray().filter(({at}) => now - at < newsTtlMs).slice(-maxToldCrashes);
	const suspects = Set([...verdicts.keys(), ...crashes.flatMap(crash => crash.suspects.toArray())]);
	return {
		crashes: crashes.map(crash => ({
			endpoint: crash.endpoint,
			ageMs: Math.max(0, Math.round(now - crash.at)),
			isRefuted: crash.isRefuted,
			suspects: orderByGuilt(evidence, crash.suspects.filter(suspect => !isCleared(evidence, suspect, crash.at))).slice(0, maxToldSuspects),
		})),
		proven: orderByGuilt(evidence, suspects).flatMap(suspect => {
			const at = getProvenAt(evidence, suspect);
			return at === undefined || now - at >= newsTtlMs ? [] : [{suspect, ageMs: Math.max(0, Math.round(now - at))}];
		}).slice(0, maxToldProofs),
		verdicts: verdicts.entrySeq().toArray().map(([suspect, {at, until, strikes}]) => ({
			suspect, ageMs: Math.max(0, Math.round(now - at)), remainingMs: Math.round(until - now), strikes,
		})),
		trials: verdicts.filter(({trial}) => trial !== undefined).keySeq().toArray(),
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
	const proven = addProofs(guard.evidence, news.proven.map(({suspect, ageMs}) => [suspect, now - ageMs] as const));
	const evidence = news.crashes.filter(({ageMs}) => ageMs < newsTtlMs).reduce((current, {endpoint, ageMs, isRefuted, suspects}) => addCrash(current, {
		endpoint, at: now - ageMs, suspects: Set(suspects), isRefuted,
	}), proven);
	const verdicts = news.verdicts.reduce((all, {suspect, ageMs, remainingMs, strikes}) => {
		const known = all.get(suspect);
		const isNews = known === undefined ? all.size < maxVerdicts && !isIdle(suspect, -remainingMs) : strikes > known.strikes;
		return isNews && !isCleared(evidence, suspect, now - ageMs)
			? all.set(suspect, {
				at: now - ageMs, until: now + Math.min(remainingMs, maxVerdictMs), strikes, isOwn: false, trial: undefined, peerTrialUntil: 0,
			})
			: all;
	}, guard.verdicts);
	return {evidence, verdicts: news.trials.reduce((all, suspect) => recordPeerTrial(all, suspect, now), verdicts)};
};
