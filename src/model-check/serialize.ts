import {createHash} from 'node:crypto';
import {isCollection, isIndexed, isKeyed} from 'immutable';
import type {ClusterState} from './state.js';

const compareText = (a: string, b: string): number => (a < b ? -1 : (a > b ? 1 : 0));

const serializeSorted = (values: Iterable<unknown>): string => [...values].map(value => serializeValue(value)).toSorted(compareText).join(',');

/** Cached texts of objects. States are immutable and share most of their parts. */
const serializedObjects = new WeakMap<object, string>();

const serializeValue = (value: unknown): string => {
	if (typeof value !== 'object' || value === null) {
		return String(value);
	}

	const cachedText = serializedObjects.get(value);
	const text = cachedText ?? serializeObject(value);
	serializedObjects.set(value, text);
	return text;
};

/** Serializes an object. Equal values give equal text, whatever the order of their keys. */
const serializeObject = (value: object): string => {
	if (isKeyed(value)) {
		return `{${value.entrySeq().toArray().map(([key, each]) => `${String(key)}:${serializeValue(each)}`).toSorted(compareText).join(',')}}`;
	}

	if (isIndexed(value)) {
		return `[${value.toArray().map(each => serializeValue(each)).join(',')}]`;
	}

	if (isCollection(value)) {
		return serializeSorted(value.toArray());
	}

	if (Array.isArray(value)) {
		return `[${value.map(each => serializeValue(each)).join(',')}]`;
	}

	return `{${Object.entries(value).filter(([, each]) => each !== undefined).map(([key, each]) => `${key}:${serializeValue(each)}`).toSorted(compareText).join(',')}}`;
};

/**
Computes the digest of a state; equal states have equal digests. The order of
pending writes, calls and inputs, and of the recorded results, is ignored, since
the checker may deliver any pending item next.

@param cluster - The state of the cluster.
@returns The digest, in base64.
*/
export const digestCluster = (cluster: ClusterState): string => {
	const {
		writes, calls, responses, executions, changes, inputs, ...rest
	} = cluster;
	const text = [serializeValue(rest), ...[writes, calls, responses, executions, changes, inputs].map(values => serializeSorted(values))].join(';');
	return createHash('md5').update(text).digest('base64');
};
