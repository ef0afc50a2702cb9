import {describe, expect, test} from 'vitest';
import {
	emptyRegistry, isUsable, markAvailable, markRestored, markUnavailable, removeMissing, replaceEntries, updateEntry,
} from './index.js';
import type {Registry, RegistryEntry} from './index.js';

const createEntry = (id: string, fields: Partial<RegistryEntry> = {}): RegistryEntry => ({
	id, service: 's', address: `10.0.0.${id.slice(1)}:80`, dataCentre: 'z', softwareVersion: 'v1', slots: 6, isLeaving: false, slowStartMs: 0, startedAt: 5, rowVersion: 1, ...fields,
});

const drainMs = 2000;

/** Longest time from the choice of an endpoint until the request is sent, in ms. */
const sendMs = 500;

/** A registry under virtual time that is checked for missing endpoints at each step, as a router does. */
class RegistryPlay {
	registry: Registry;
	now = 1000;
	version = 1;

	constructor(ids: readonly string[]) {
		this.registry = replaceEntries(emptyRegistry, ids.map(id => createEntry(id)), this.version, 0);
	}

	apply(change: (registry: Registry, now: number) => Registry): this {
		this.registry = change(this.registry, this.now);
		return this;
	}

	list(entries: readonly RegistryEntry[]): this {
		return this.apply((registry, now) => replaceEntries(registry, entries, this.version, now));
	}

	/** Writes an entry, which the router reads at once. */
	change(id: string, entry: RegistryEntry | undefined): this {
		this.version += 1;
		return this.apply((registry, now) => updateEntry(registry, id, entry && {...entry, rowVersion: this.version}, this.version, now));
	}

	lose(): this {
		return this.apply(registry => markUnavailable(registry));
	}

	regain(): this {
		return this.apply((registry, now) => markAvailable(registry, drainMs, now));
	}

	/** Brings the store back from a copy of the given version. */
	restore(version: number): this {
		this.version = version;
		return this.apply((registry, now) => markRestored(registry, drainMs, now));
	}

	advance(milliseconds: number): this {
		this.now += milliseconds;
		return this.apply(removeMissing);
	}

	isUsed(id: string): boolean {
		const endpoint = this.registry.endpoints.get(id);
		return endpoint !== undefined && isUsable(endpoint, this.now);
	}
}

describe('an endpoint whose entry is gone after an outage', () => {
	const startGone = () => new RegistryPlay(['e1', 'e2']).lose().advance(4000).regain().advance(100).change('e1', undefined);

	test('is used until its entry should be back, but no request can still reach it when it must have left', () => {
		const play = startGone();
		expect(play.advance(1000).isUsed('e1')).toBe(true);
		// No check for missing endpoints has been made since.
		play.now += drainMs - sendMs - 1000;
		expect(play.isUsed('e1')).toBe(false);
	});

	test('gets no further time by a later outage', () => {
		const play = startGone().advance(300).lose();
		expect(play.advance(drainMs).isUsed('e1')).toBe(false);
		expect(play.isUsed('e2')).toBe(true);
	});

	test('gets no further time by outages that follow one another', () => {
		const play = startGone();
		Array.from({length: 5}, () => play.advance(400).lose().advance(100).regain());
		expect(play.isUsed('e1')).toBe(false);
	});

	test('is used on if its entry is back', () => {
		expect(startGone().advance(500).change('e1', createEntry('e1')).advance(5000).isUsed('e1')).toBe(true);
	});

	test('is not waited for if its entry was written since and is removed then', () => {
		const play = startGone().change('e3', createEntry('e3'));
		expect(play.isUsed('e3')).toBe(true);
		expect(play.change('e3', undefined).isUsed('e3')).toBe(false);
	});
});

describe('a store that comes back from an older copy, in which an endpoint that has left is ready', () => {
	const copy = [createEntry('e1'), createEntry('e2')];
	const startRestored = () => new RegistryPlay(['e1', 'e2']).change('e1', undefined).lose().advance(500).regain().restore(1).list(copy);

	test('does not bring it back, however often all entries are read', () => {
		const play = startRestored();
		expect(play.isUsed('e1')).toBe(false);
		expect(play.list(copy).isUsed('e1')).toBe(false);
		expect(play.advance(10_000).list(copy).isUsed('e1')).toBe(false);
		expect(play.restore(1).list(copy).list(copy).isUsed('e1')).toBe(false);
		expect(play.isUsed('e2')).toBe(true);
	});

	test('brings it back if it has written its entry since, be it read only with all others', () => {
		expect(startRestored().change('e1', createEntry('e1')).isUsed('e1')).toBe(true);
		const play = startRestored().change('e3', createEntry('e3'));
		expect(play.list([createEntry('e1', {rowVersion: play.version}), createEntry('e2')]).isUsed('e1')).toBe(true);
	});

	test('does not give it further time when what was written since is written again', () => {
		const play = startRestored().advance(10).change('e1', createEntry('e1')).advance(50).change('e1', undefined);
		expect(play.isUsed('e1')).toBe(false);
	});
});

test('an endpoint whose entry had gone is used again when it is read with all others later', () => {
	const play = new RegistryPlay(['e1', 'e2']).change('e1', undefined);
	expect(play.list([createEntry('e1', {rowVersion: 3}), createEntry('e2')]).isUsed('e1')).toBe(true);
});

describe('an endpoint that has said that it leaves', () => {
	const renewed = createEntry('e1', {startedAt: 9});
	const startLeft = () => new RegistryPlay(['e2']).change('e1', renewed).change('e1', {...renewed, isLeaving: true});

	test('is not replaced by a former incarnation of its id, which an older copy of the store has', () => {
		const copy = [createEntry('e1'), createEntry('e2')];
		const play = startLeft().lose().advance(500).regain().restore(1).list(copy);
		expect(play.isUsed('e1')).toBe(false);
		expect(play.advance(10_000).list(copy).isUsed('e1')).toBe(false);
	});

	test('is not taken for a new incarnation by an entry without a start time', () => {
		expect(startLeft().change('e1', {...renewed, startedAt: 0}).isUsed('e1')).toBe(false);
		expect(startLeft().change('e1', {...renewed, startedAt: 0, address: '10.0.0.9:80'}).isUsed('e1')).toBe(false);
	});

	test('is used once a new incarnation has written an entry, be its clock slow', () => {
		expect(startLeft().change('e1', createEntry('e1', {startedAt: 10})).isUsed('e1')).toBe(true);
		expect(startLeft().advance(10_000).change('e1', createEntry('e1', {startedAt: 8})).isUsed('e1')).toBe(true);
	});
});

test('an entry without a start time is that of the incarnation that is listed', () => {
	const play = new RegistryPlay(['e1']).change('e1', createEntry('e1', {startedAt: 0, slots: 3}));
	expect(play.registry.endpoints.get('e1')).toMatchObject({startedAt: 5, slots: 3});
});

test('an endpoint that never names its start time is used, and is not used again once it has left', () => {
	const entry = createEntry('e3', {startedAt: 0});
	const play = new RegistryPlay(['e1']).change('e3', entry);
	expect(play.isUsed('e3')).toBe(true);
	expect(play.change('e3', {...entry, isLeaving: true}).change('e3', entry).isUsed('e3')).toBe(false);
});
