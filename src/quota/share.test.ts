import {expect, test} from 'vitest';
import {playQuotaLoad} from '../../test/quota-play.js';
import type {QuotaLoad} from '../../test/quota-play.js';
import {computeDemandShare} from './share.js';

const demands = [[900, 1100, 1000, 1000], [0, 400, 300], [100, 100]];

// Guards against shares that leave a part of the pool to nobody, or promise more than there is.
test('the shares of routers that see the same demand add up to 1', () => {
	const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0);
	const shares = demands.flatMap(ofDataCentre => ofDataCentre.map(own => computeDemandShare({
		own, dataCentre: sum(ofDataCentre), total: sum(demands.flat()), routersInDataCentre: ofDataCentre.length, routers: demands.flat().length, dataCentres: demands.length, typicalReservation: 100,
	})));
	expect(sum(shares)).toBeCloseTo(1, 9);
	expect(Math.min(...shares)).toBeGreaterThan(0);
	expect(sum(shares.slice(0, 4))).toBeGreaterThan(0.65);
});

test('a fleet without demand shares evenly', () => {
	expect(computeDemandShare({
		own: 0, dataCentre: 0, total: 0, routersInDataCentre: 3, routers: 11, dataCentres: 3, typicalReservation: 4000,
	})).toBeCloseTo(1 / 11, 9);
});

const load: QuotaLoad = {
	dataCentres: [4, 4, 3], organisations: 24, requestsPerSecond: 271, tokensPerRequest: 4500, budgetSeconds: 32, warmUpMs: 8000, endMs: 40_000,
	chooseDataCentre: random => random.draw() < 0.71 ? 0 : 1 + random.pick(2),
};

// Guards against tokens that stay at routers without demand: with even shares, 3.9 in 100 were refused while a tenth of the budgets was left.
test('a data centre with 71 in 100 requests gets the tokens that the others do not need', () => {
	const {refusedFraction, transactionsPerSecond, budgets} = playQuotaLoad(load, 1);
	expect(refusedFraction).toBeLessThan(0.01);
	expect(transactionsPerSecond).toBeLessThan(100);
	expect(budgets.filter(({spent, taken, limit}) => spent > taken || taken > limit)).toEqual([]);
}, 120_000);
