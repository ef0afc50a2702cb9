import {expect, test} from 'vitest';
import {
	completeSave, createStreamOrigins, findOrigin, planSave, recordOrigin,
} from './origins.js';
import type {StreamOrigins} from './origins.js';
import {retentionMs} from './versions.js';

const origin = {service: 's', softwareVersion: 'v1'};

/** Records streams at a steady rate, and performs each save at once. Returns the rows that the store holds at the end. */
const run = (from: number, until: number, stepMs: number, start: StreamOrigins, rows: Set<string>): StreamOrigins =>
	Array.from({length: Math.ceil((until - from) / stepMs)}, (_, index) => from + (index * stepMs)).reduce((origins, now) => {
		const planned = planSave(recordOrigin(origins, `c${now}`, origin, now), now);
		planned.writes.forEach(({key, value}) => {
			if (value === undefined) {
				rows.delete(key);
			} else {
				rows.add(key);
			}
		});
		expect(planned.writes.length).toBeLessThanOrEqual(100);
		return planned.writes.length === 0 ? planned.origins : completeSave(planned.origins, true, 1, now);
	}, start);

test('rows are removed after the retention time, so that their number stays bounded', () => {
	const rows = new Set<string>();
	const origins = run(0, 3 * retentionMs, 10, createStreamOrigins(), rows);
	const perRetention = retentionMs / 10;
	expect(rows.size).toBeLessThanOrEqual(perRetention + 100);
	expect(findOrigin(origins, `c${(3 * retentionMs) - 10}`)).toMatchObject(origin);
	expect(findOrigin(origins, 'c0')).toBeUndefined();
});

test('a store that is away costs only the saves of that time', () => {
	const first = planSave(recordOrigin(createStreamOrigins(), 'c1', origin, 0), 0);
	const failed = completeSave(first.origins, false, 1, 1000);
	expect(planSave(failed, 1100).writes).toEqual([]);
	expect(planSave(recordOrigin(failed, 'c2', origin, 1100), 1300).writes.map(({key}) => key)).toEqual(['c1', 'c2']);
	expect(planSave(failed, retentionMs).writes).toEqual([]);
});

test('the first origin of a key stays, and a key that the store does not take is not recorded', () => {
	const origins = recordOrigin(recordOrigin(createStreamOrigins(), 'c1', origin, 0), 'c1', {...origin, softwareVersion: 'v2'}, 1);
	expect(findOrigin(origins, 'c1')).toMatchObject(origin);
	expect(recordOrigin(origins, 'é'.repeat(101), origin, 2)).toBe(origins);
});

test('the saves of all routers together stay below what the store applies to one part', () => {
	const perSecond = (routers: number) => routers * 1000 / (completeSave(createStreamOrigins(), true, routers, 0).nextSaveAt);
	expect([1, 4, 30, 470].map(routers => Math.round(perSecond(routers)))).toEqual([20, 80, 140, 140]);
});
