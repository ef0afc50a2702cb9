import {Set} from 'immutable';
import type {InFlightRequest} from '../in-flight/index.js';

/** What endpoints may crash on: a request that comes again, by its fingerprint, or a prompt part that requests share, by its id. */
export type SuspectKind = 'request' | 'part';

/** Key of a suspect: its kind and id. */
export type Suspect = string;

export type Suspects = Set<Suspect>;

/**
Formats a suspect as a key.

@param kind - The kind.
@param id - The fingerprint or id.
@returns The key.
*/
export const formatSuspect = (kind: SuspectKind, id: string): Suspect => `${kind}/${id}`;

const requestPrefix = formatSuspect('request', '');

/**
Gets the kind of a suspect.

@param suspect - The suspect.
@returns The kind.
*/
export const getSuspectKind = (suspect: Suspect): SuspectKind => suspect.startsWith(requestPrefix) ? 'request' : 'part';

/**
Gets the fingerprint or id of a suspect.

@param suspect - The suspect.
@returns The fingerprint or id.
*/
export const getSuspectId = (suspect: Suspect): string => suspect.slice(suspect.indexOf('/') + 1);

/**
Lists what endpoints may crash on if they run a request: the request itself, and the parts of its prompt
that other requests may share, which are all but the last one.

@param request - The request.
@returns The suspects.
*/
export const listSuspects = ({fingerprint, head}: Pick<InFlightRequest, 'fingerprint' | 'head'>): Suspects =>
	Set([formatSuspect('request', fingerprint), ...(head.modelRequest?.parts ?? []).slice(0, -1).map(({id}) => formatSuspect('part', id))]);
