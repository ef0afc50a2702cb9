import {hashText} from '../random/index.js';
import type {Endpoint, Member, Registry} from '../registry/index.js';

/** The endpoints of a service, in the order of the registry. */
type ServiceMembers = Readonly<{
	all: readonly Member[];
	/** Those in a data centre and those elsewhere, by data centre. */
	places: ReadonlyMap<string, Readonly<{local: readonly Member[]; remote: readonly Member[]}>>;
}>;

/** Up to this number of endpoints, all of them are considered. */
const maxCandidates = 40;

/** Of more endpoints, the ones that rank first for the shared part of a prompt are considered, and random ones of both kinds. */
const rankedCandidates = 8;
const localCandidates = 20;

/** Lists by the registry's members, which change seldom. Lists of earlier members are freed with them. */
const listsByMembers = new WeakMap<Registry['members'], ReadonlyMap<string, ServiceMembers>>();

const groupMembers = (members: readonly Member[]): ServiceMembers => ({
	all: members,
	places: new Map([...new Set(members.map(({dataCentre}) => dataCentre))].map(place => [place, {
		local: members.filter(({dataCentre}) => dataCentre === place), remote: members.filter(({dataCentre}) => dataCentre !== place),
	}])),
});

const listServices = (members: Registry['members']): ReadonlyMap<string, ServiceMembers> => {
	const known = listsByMembers.get(members);
	if (known !== undefined) {
		return known;
	}

	const listed = members.valueSeq().toArray();
	const lists = new Map([...new Set(listed.map(({service}) => service))].map(name => [name, groupMembers(listed.filter(({service}) => service === name))]));
	listsByMembers.set(members, lists);
	return lists;
};

/**
Rendezvous hash of a prompt part and an endpoint, which gives the same ranking at every router.

@param partHash - Hash of the part's id.
@param endpoint - The endpoint.
@returns The rank; the highest is first.
*/
export const rankEndpoint = (partHash: number, endpoint: Pick<Member, 'idHash'>): number => Math.imul(partHash, endpoint.idHash);

/** Lists the members that rank first for a part, in one pass. */
const listRanked = (members: readonly Member[], part: string | undefined): readonly Member[] => {
	if (part === undefined) {
		return [];
	}

	const partHash = hashText(part);
	const ranked: Member[] = [];
	members.forEach(member => {
		const rank = rankEndpoint(partHash, member);
		if (ranked.length < rankedCandidates || rank > rankEndpoint(partHash, ranked.at(-1)!)) {
			const position = ranked.findIndex(other => rankEndpoint(partHash, other) < rank);
			ranked.splice(position === -1 ? ranked.length : position, 0, member);
			ranked.length = Math.min(ranked.length, rankedCandidates);
		}
	});
	return ranked;
};

/** Lists consecutive members from a random one on. */
const listWindow = (members: readonly Member[], count: number, random: number): readonly Member[] => {
	const start = Math.floor(random * members.length);
	return [...members.slice(start, start + count), ...members.slice(0, Math.max(0, start + count - members.length))].slice(0, Math.min(count, members.length));
};

const listSample = ({all, places}: ServiceMembers, {dataCentre, part, random}: CandidateQuery): readonly Member[] => {
	const place = places.get(dataCentre) ?? {local: [], remote: all};
	const ranked = listRanked(place.local.length > 0 ? place.local : all, part);
	const local = listWindow(place.local, Math.max(localCandidates, maxCandidates - rankedCandidates - place.remote.length), random);
	const remote = listWindow(place.remote, maxCandidates - ranked.length - local.length, random);
	return [...new Set([...ranked, ...local, ...remote])];
};

/** Input of a selection of candidates. */
export type CandidateQuery = Readonly<{
	service: string;
	/** Data centre of this router. */
	dataCentre: string;
	/** The prompt part by which endpoints are ranked, if any. */
	part: string | undefined;
	/** A random number in [0, 1). */
	random: number;
}>;

/** The endpoints among which one is chosen. */
export type Candidates = Readonly<{
	/** Endpoints that may serve the request. */
	endpoints: readonly Endpoint[];
	/** Number of endpoints of the service; of few, those that may serve the request. */
	count: number;
	/** True if the service has further endpoints. */
	isSample: boolean;
}>;

const keepUsable = ({endpoints}: Registry, members: readonly Member[], canUse: (endpoint: Endpoint) => boolean): readonly Endpoint[] => {
	const usable: Endpoint[] = [];
	members.forEach(({id}) => {
		const endpoint = endpoints.get(id);
		if (endpoint !== undefined && canUse(endpoint)) {
			usable.push(endpoint);
		}
	});
	return usable;
};

/**
Lists all endpoints of a service that may serve a request.

@param registry - The registry.
@param service - The service.
@param canUse - Tells whether an endpoint may serve the request.
@returns The endpoints.
*/
export const listUsable = (registry: Registry, service: string, canUse: (endpoint: Endpoint) => boolean): readonly Endpoint[] =>
	keepUsable(registry, listServices(registry.members).get(service)?.all ?? [], canUse);

/**
Lists the endpoints among which one is chosen for a request: all of a small service, a sample of a large one,
so that the cost of a placement does not grow with the number of endpoints.

Load pattern: hundreds of endpoints, and routers with a fraction of a core. Whatever prompt
parts an endpoint has, those that rank first for them are in every sample.

@param registry - The registry.
@param query - The service, the place, and what ranks endpoints.
@param canUse - Tells whether an endpoint may serve the request.
@returns The candidates. If none of a sample takes the request, all are to be considered.
*/
export const listCandidates = (registry: Registry, query: CandidateQuery, canUse: (endpoint: Endpoint) => boolean): Candidates => {
	const members = listServices(registry.members).get(query.service);
	const count = members?.all.length ?? 0;
	if (members === undefined || count <= maxCandidates) {
		const endpoints = listUsable(registry, query.service, canUse);
		return {endpoints, count: endpoints.length, isSample: false};
	}

	return {endpoints: keepUsable(registry, listSample(members, query), canUse), count, isSample: true};
};
