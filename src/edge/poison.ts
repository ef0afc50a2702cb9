import {Set} from 'immutable';
import {z} from 'zod';
import {createFault} from '../errors/index.js';
import type {ErrorKind} from '../errors/index.js';
import type {InFlightRequest} from '../in-flight/index.js';
import type {Fields} from '../log/index.js';
import {encodeLoads, isMissingPeers, parseLoads} from '../gossip/index.js';
import {chainAll, keepState} from '../loop/step.js';
import {
	completeVerdictSave, decidePoison, decodeVerdicts, formatSuspect, getSuspectId, getSuspectKind, listSuspects, mergePoisonNews, planVerdictSave, resetSavedVerdicts,
	listPoisonNews, recordAbandonment, recordAnswer, recordBreak, recordOutput, recordUnreachable, refuteCrash, startTrial, tickPoisonGuard, verdictTable,
} from '../poison/index.js';
import type {
	Evidence, PoisonDecision, PoisonNews, Suspect, SuspectKind, Suspects, VerdictChange,
} from '../poison/index.js';
import {emptyRegistry} from '../registry/index.js';
import type {StoredRow} from '../store/index.js';
import {createLogEffect, rejectRequest} from './common.js';
import type {EdgeEffect, EdgeEvent} from './messages.js';
import type {EdgeState, EdgeStep} from './state.js';

/** How each kind of suspect is named: in errors, and in the log the event and the field of its id. */
const suspectNames = {
	request: {
		errorKind: 'request-condemned', name: 'request', event: 'request', field: 'fingerprint',
	},
	part: {
		errorKind: 'prompt-condemned', name: 'prompt part', event: 'part', field: 'part',
	},
} as const satisfies Readonly<Record<SuspectKind, Readonly<{errorKind: ErrorKind; name: string; event: string; field: string}>>>;

const logVerdict = (suspect: Suspect, change: VerdictChange['kind'], fields: Fields): EdgeEffect => {
	const {event, field} = suspectNames[getSuspectKind(suspect)];
	return createLogEffect(`${event}-${change}`, {[field]: getSuspectId(suspect), ...fields});
};

/**
Decides whether a request is sent, rejected because endpoints crash on it or on a part of its prompt,
or sent to find out whether they still do.

@param state - The edge state.
@param request - The request.
@param now - The current time in ms.
@returns The decision.
*/
export const checkPoison = (state: EdgeState, request: InFlightRequest, now: number): PoisonDecision => state.poison.verdicts.isEmpty()
	? {kind: 'send'}
	: decidePoison(state.poison.verdicts, {id: request.id, suspects: listSuspects(request)}, state.quota.router, state.liveRouters, now);

/**
Marks a request as the one that tests a verdict.

@param state - The edge state.
@param request - The request.
@param suspect - What is condemned.
@param now - The current time in ms.
@returns The new state.
*/
export const startRequestTrial = (state: EdgeState, request: InFlightRequest, suspect: Suspect, now: number): EdgeState =>
	({...state, isPoisonNewsUrgent: true, poison: {...state.poison, verdicts: startTrial(state.poison.verdicts, suspect, request.id, now)}});

/**
Rejects a request that is condemned, or has a condemned part.

@param state - The edge state.
@param request - The request.
@param decision - The decision to reject it.
@param now - The current time in ms.
@returns The new state and the effects.
*/
export const rejectPoison = (state: EdgeState, request: InFlightRequest, {suspect, retryAfterMs}: PoisonDecision & {kind: 'reject'}, now: number): EdgeStep => {
	const {errorKind, name} = suspectNames[getSuspectKind(suspect)];
	const detail = `endpoints of service ${request.service} have crashed on ${name} ${getSuspectId(suspect)}`;
	return rejectRequest(state, request, request.hasPossiblyRun ? createFault('endpoint-failed', detail) : createFault(errorKind, detail, Math.ceil(retryAfterMs / 1000)), now);
};

const updateEvidence = (state: EdgeState, update: (evidence: Evidence) => Evidence): EdgeState =>
	({...state, poison: {...state.poison, evidence: update(state.poison.evidence)}});

const recordSuspects = (state: EdgeState, {sentTo}: InFlightRequest, record: typeof recordOutput, suspects: Suspects, now: number): EdgeState =>
	sentTo === undefined ? state : updateEvidence(state, evidence => record(evidence, sentTo, suspects, now));

/**
Records the first output of a request.

@param state - The edge state.
@param request - The request.
@param now - The current time in ms.
@returns The new state.
*/
export const recordRequestOutput = (state: EdgeState, request: InFlightRequest, now: number): EdgeState =>
	recordSuspects(state, request, recordOutput, listSuspects(request), now);

/**
Records that a request was answered with an error. This says nothing of its prompt, on which the endpoint may not have begun.

@param state - The edge state.
@param request - The request.
@param now - The current time in ms.
@returns The new state.
*/
export const recordRequestError = (state: EdgeState, request: InFlightRequest, now: number): EdgeState =>
	recordSuspects(state, request, recordOutput, Set([formatSuspect('request', request.fingerprint)]), now);

/**
Records that a request was answered completely, be it with an error.

@param state - The edge state.
@param request - The request.
@param now - The current time in ms.
@returns The new state.
*/
export const recordRequestAnswer = (state: EdgeState, {fingerprint}: InFlightRequest, now: number): EdgeState =>
	updateEvidence(state, evidence => recordAnswer(evidence, formatSuspect('request', fingerprint), now));

/**
Records that a request without output is given up, because its client has disconnected or its deadline has passed.

@param state - The edge state.
@param request - The request.
@param now - The current time in ms.
@returns The new state.
*/
export const recordRequestAbandonment = (state: EdgeState, request: InFlightRequest, now: number): EdgeState =>
	request.phase === 'sent' || (request.phase === 'streaming' && request.firstEventAt === undefined)
		? recordSuspects(state, request, recordAbandonment, listSuspects(request), now)
		: state;

/**
Records that an endpoint has responded to a request.

@param state - The edge state.
@param request - The request.
@returns The new state.
*/
export const recordEndpointResponse = (state: EdgeState, {sentTo, sentAt}: InFlightRequest): EdgeState =>
	sentTo === undefined ? state : updateEvidence(state, evidence => refuteCrash(evidence, sentTo, sentAt));

/**
Records that the connection of a request broke off at its endpoint.

@param state - The edge state.
@param event - The failed attempt.
@param now - The current time in ms.
@returns The new state and the effects.
*/
export const recordRequestBreak = (state: EdgeState, event: EdgeEvent & {kind: 'endpoint-failed'}, now: number): EdgeStep => {
	const request = state.requests.get(event.call);
	const endpoint = request?.sentTo;
	if (request === undefined || endpoint === undefined || request.attempt !== event.attempt) {
		return keepState(state);
	}

	if (event.stage === 'unsent') {
		return keepState(updateEvidence(state, evidence => recordUnreachable(evidence, endpoint)));
	}

	const suspects = event.events === 0 ? listSuspects(request) : Set<Suspect>();
	const poison = recordBreak(state.poison, {id: request.id, endpoint, suspects}, now);
	const logged = createLogEffect('crash-suspected', {
		endpoint: endpoint.id, call: request.head.key, fingerprint: request.fingerprint,
		parts: suspects.filter(suspect => getSuspectKind(suspect) === 'part').map(part => getSuspectId(part)).join(' '),
	});
	return {state: {...state, poison, isPoisonNewsUrgent: true}, effects: event.events === 0 ? [logged] : []};
};

const logChange = ({suspect, kind, crashes, strikes}: VerdictChange) => logVerdict(suspect, kind, {crashes, strikes});

/**
Reconsiders what is condemned.

@param state - The edge state.
@param now - The current time in ms.
@returns The new state, and effects that log each change.
*/
export const updateVerdicts = (state: EdgeState, now: number): EdgeStep => {
	const {guard, changes} = tickPoisonGuard(state.poison, request => state.requests.has(request), now);
	const updated: EdgeState = {...state, poison: guard, isPoisonNewsUrgent: state.isPoisonNewsUrgent || changes.length > 0};
	return {state: updated, effects: changes.map(change => logChange(change))};
};

/**
Saves the verdicts of this router in the store, once it knows the store's clock.

@param state - The edge state.
@param now - The current time in ms.
@returns The new state and the effects.
*/
export const saveVerdicts = (state: EdgeState, now: number): EdgeStep => {
	const {hasTakenOver, storeClock} = state.quota;
	if (!hasTakenOver) {
		return keepState(state);
	}

	const {rows, writes} = planVerdictSave(state.verdictRows, state.poison, storeClock.timeMs - storeClock.receivedAtMs, now);
	return {state: {...state, verdictRows: rows}, effects: writes.length === 0 ? [] : [{kind: 'save-verdicts', writes}]};
};

/**
Ends a save of verdicts.

@param state - The edge state.
@param event - Whether the save is done.
@param now - The current time in ms.
@returns The new state.
*/
export const receiveVerdictSave = (state: EdgeState, event: EdgeEvent & {kind: 'verdicts-saved'}, now: number): EdgeStep =>
	keepState({...state, verdictRows: completeVerdictSave(state.verdictRows, event.isDone, now)});

/** Number of routers that save the verdicts of others again; one of them may have started only now. */
const restoringRouters = 2;

/**
Forgets which verdicts are saved, after the store has come back from an older copy: they are saved again.

@param state - The edge state.
@returns The new state.
*/
export const resetVerdictRows = (state: EdgeState): EdgeState => {
	const rank = state.liveRouters.indexOf(state.quota.router);
	return {...state, verdictRows: resetSavedVerdicts(state.poison, rank !== -1 && rank < restoringRouters)};
};

/** Keys of the rows in which routers tell of crashes through the store begin with this; no kind of suspect is called so. */
const crashRowPrefix = 'crashes/';

const locateCrashes = ({quota}: EdgeState): string => `${crashRowPrefix}${quota.router}`;

/** Interval at which crashes are saved while peers are not heard, in ms. */
const crashSaveIntervalMs = 500;

const isCutOff = (state: EdgeState): boolean => isMissingPeers(state.peers.size, state.quota.peers.count(({isLive}) => isLive));

/**
Tells other routers of crashes through the store while peers are not heard: those may know of further ones
on the same request.

@param state - The edge state.
@param now - The current time in ms.
@returns The new state and the effects.
*/
export const saveCrashes = (state: EdgeState, now: number): EdgeStep => {
	const {hasTakenOver, storeClock, router} = state.quota;
	if (!hasTakenOver || now - state.crashesSavedAt < crashSaveIntervalMs || !isCutOff(state)) {
		return keepState(state);
	}

	const {crashes, proven} = listPoisonNews(state.poison, now);
	if (crashes.length === 0) {
		return keepState(state);
	}

	const message = encodeLoads({
		router, registry: emptyRegistry, poison: {
			crashes, proven, verdicts: [], trials: [],
		},
	}, now);
	const at = Math.round(now + storeClock.timeMs - storeClock.receivedAtMs);
	return {
		state: {...state, crashesSavedAt: now},
		effects: [{
			kind: 'save-crashes', writes: [{
				table: verdictTable, key: locateCrashes(state), version: undefined, value: JSON.stringify({at, message}),
			}],
		}],
	};
};

const crashRowSchema = z.object({at: z.number(), message: z.string()});

/** Decodes what another router tells of crashes; `fault` names the field if it cannot be read. */
const decodeCrashes = ({key, value = ''}: StoredRow, storeTime: number): Pick<PoisonNews, 'crashes' | 'proven'> & Readonly<{fault: string | undefined}> => {
	try {
		const {at, message} = crashRowSchema.parse(JSON.parse(value));
		const {crashes, proven} = parseLoads(message).unwrap().poison;
		const ageMs = Math.max(0, storeTime - at);
		return {
			crashes: crashes.map(crash => ({...crash, ageMs: crash.ageMs + ageMs})), proven: proven.map(proof => ({...proof, ageMs: proof.ageMs + ageMs})), fault: undefined,
		};
	} catch (error) {
		return {crashes: [], proven: [], fault: `${key}: ${error instanceof Error ? error.message : 'is not readable'}`};
	}
};

/**
Adds the verdicts that are saved in the store.

@param state - The edge state.
@param event - The rows.
@param now - The current time in ms.
@returns The new state, and effects that log the verdicts and unreadable rows.
*/
export const receiveSavedVerdicts = (state: EdgeState, event: EdgeEvent & {kind: 'verdicts-read'}, now: number): EdgeStep => {
	const crashRows = event.rows.filter(({key}) => key.startsWith(crashRowPrefix));
	const {verdicts, faults} = decodeVerdicts(event.rows.filter(row => !crashRows.includes(row)), event.storeTime);
	const crashNews = crashRows.filter(({key}) => key !== locateCrashes(state)).map(row => decodeCrashes(row, event.storeTime));
	const others = verdicts.filter(({suspect}) => state.poison.verdicts.get(suspect)?.isOwn !== true);
	const saved = state.verdictRows.saved.merge(others.map(({suspect, ageMs}) => [suspect, now - ageMs] as const));
	const known = receivePoisonNews({...state, verdictRows: {...state.verdictRows, saved}}, {
		crashes: crashNews.flatMap(({crashes}) => crashes), proven: crashNews.flatMap(({proven}) => proven), verdicts, trials: [],
	}, 'store', now);
	return {
		state: known.state,
		effects: [
			...known.effects,
			...[...faults, ...crashNews.flatMap(({fault}) => fault ?? [])].map(reason => ({
				kind: 'log', level: 'failure', event: 'verdict-unreadable', fields: {reason},
			} as const)),
		],
	};
};

/** Interval at which saved verdicts are read while peers are not heard, in ms. */
const verdictReadIntervalMs = 1000;

/**
Reads the saved verdicts if live peers are not heard, which may know of some.

@param state - The edge state.
@param now - The current time in ms.
@returns The new state and the effects.
*/
export const readVerdicts = (state: EdgeState, now: number): EdgeStep =>
	now - state.verdictsReadAt >= verdictReadIntervalMs && isCutOff(state)
		? {state: {...state, verdictsReadAt: now}, effects: [{kind: 'read-verdicts'}]}
		: keepState(state);

/**
Rejects the waiting requests that are condemned, or have a condemned part.

@param state - The edge state.
@param now - The current time in ms.
@returns The new state and the effects.
*/
export const rejectWaitingPoison = (state: EdgeState, now: number): EdgeStep => state.poison.verdicts.isEmpty()
	? keepState(state)
	: chainAll(state, state.requests.valueSeq().toArray().filter(({phase}) => phase === 'queued' || phase === 'granting'), (current, request) => {
		const decision = checkPoison(current, request, now);
		return decision.kind === 'reject' ? rejectPoison(current, request, decision, now) : keepState(current);
	});

/**
Adds what a peer or the store knows of crashes and verdicts.

@param state - The edge state.
@param news - What it knows.
@param source - Where that comes from, for the log.
@param now - The current time in ms.
@returns The new state, and effects that log new verdicts.
*/
export const receivePoisonNews = (state: EdgeState, news: PoisonNews, source: 'peer' | 'store', now: number): EdgeStep => {
	const poison = mergePoisonNews(state.poison, news, now);
	const condemned = poison.verdicts.keySeq().toArray().filter(suspect => !state.poison.verdicts.has(suspect));
	return {
		state: {...state, poison},
		effects: condemned.map(suspect => logVerdict(suspect, 'condemned', {source})),
	};
};
