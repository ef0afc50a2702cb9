import {expect, test} from 'vitest';
import {playFleet} from '../../test/placement-play.js';
import type {PlayedFleet, PlayedRequest} from '../../test/placement-play.js';

const measureFraction = (requests: readonly PlayedRequest[], endpoint: string): number => requests.filter(request => request.endpoint === endpoint).length / requests.length;

const fleet: Omit<PlayedFleet, 'endpoints'> = {routers: ['z'], dataCentres: ['z'], getRate: () => 30};

test('requests go to an endpoint that states free slots, and not to one that states a queue', () => {
	const {requests} = playFleet({
		...fleet,
		endpoints: [
			{
				id: 'e1', dataCentre: 'z', slots: 6, getLoad: () => ({
					running: 6, waiting: 20, slots: 6, workFactor: 1,
				}),
			},
			{
				id: 'e2', dataCentre: 'z', slots: 6, getLoad: () => ({
					running: 0, waiting: 0, slots: 6, workFactor: 1,
				}),
			},
		],
	}, 1, 4000);
	expect(measureFraction(requests.filter(({at}) => at > 300), 'e2')).toBeGreaterThan(0.9);
});

test('requests go to an endpoint that states its usual speed, and soon to the other when the two swap', () => {
	const swapAt = 5000;
	const {requests} = playFleet({
		...fleet,
		endpoints: ['e1', 'e2'].map((id, index) => ({
			id, dataCentre: 'z', slots: 6, getFactor: (at: number) => (at < swapAt) === (index === 0) ? 1 : 8,
		})),
	}, 1, 10_000);
	expect(measureFraction(requests.filter(({at}) => at > 500 && at < swapAt), 'e1')).toBeGreaterThan(0.92);
	expect(measureFraction(requests.filter(({at}) => at > swapAt + 500), 'e2')).toBeGreaterThan(0.92);
});
