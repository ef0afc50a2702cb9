import {describe, expect, test} from 'vitest';
import {playFleet} from '../../test/placement-play.js';
import type {PlayedFleet, PlayedRequest} from '../../test/placement-play.js';
import {computeRemoteCostMs} from './index.js';

const dataCentres = ['a', 'b', 'c'];

/** Each engine can process 28 such prompts a second, and those of a data centre 114. */
const fleet: PlayedFleet = {
	routers: ['a', 'a', 'a', 'b', 'b', 'b', 'c', 'c'],
	endpoints: dataCentres.flatMap(dataCentre => Array.from({length: 4}, (_, index) => ({id: `${dataCentre}${index}`, dataCentre, slots: 64}))),
	dataCentres,
	getRate: () => 30,
	promptTokens: 2000,
};

/** The load of all clients, of which those of data centre a send 71 %. */
const sendMostFromOne = (requestsPerSecond: number): Pick<PlayedFleet, 'getRate'> => ({
	getRate: dataCentre => requestsPerSecond * (dataCentre === 'a' ? 0.71 : 0.145),
});

const isRemote = ({dataCentre, endpoint}: PlayedRequest): boolean => endpoint !== undefined && !endpoint.startsWith(dataCentre);

const measureFraction = (requests: readonly PlayedRequest[], isMatch: (request: PlayedRequest) => boolean): number => requests.filter(request => isMatch(request)).length / requests.length;

const isOnTime = ({endpoint, firstMs}: PlayedRequest): boolean => endpoint !== undefined && firstMs <= 500;

const play = (fields: Partial<PlayedFleet>, seed: number, endMs: number): readonly PlayedRequest[] =>
	playFleet({...fleet, ...fields}, seed, endMs).requests.filter(({at}) => at > 2000);

describe('clients of one data centre send 71 % of the load', () => {
	test('all stay there while its endpoints suffice', () => {
		expect(measureFraction(play(sendMostFromOne(90), 1, 8000), isRemote)).toBeLessThan(0.02);
	});

	test('a part goes elsewhere where its endpoints do not suffice, and is served on time', () => {
		const requests = play(sendMostFromOne(180), 1, 10_000);
		const own = requests.filter(({dataCentre}) => dataCentre === 'a');
		expect(measureFraction(requests, isOnTime)).toBeGreaterThan(0.9);
		expect(measureFraction(own, isRemote)).toBeGreaterThan(0.1);
		expect(measureFraction(own, isRemote)).toBeLessThan(0.6);
	});

	test('the clients of the others are served where no endpoints suffice', () => {
		const requests = play(sendMostFromOne(450), 1, 8000);
		expect(measureFraction(requests.filter(({dataCentre}) => dataCentre !== 'a'), isOnTime)).toBeGreaterThan(0.5);
	});
});

test('a data centre whose machines take twice as long sends a part elsewhere', () => {
	const requests = play({
		endpoints: fleet.endpoints.map(endpoint => ({...endpoint, getFactor: () => endpoint.dataCentre === 'a' ? 2 : 1})),
		getRate: dataCentre => dataCentre === 'a' ? 70 : 20,
	}, 1, 8000);
	expect(measureFraction(requests, isOnTime)).toBeGreaterThan(0.9);
});

test('an endpoint that is slow for half a second gets few requests meanwhile, and its share afterwards', () => {
	const slowAt = 4000;
	const requests = play({
		endpoints: fleet.endpoints.map(endpoint => ({...endpoint, getFactor: (at: number) => endpoint.id === 'b0' && at >= slowAt && at < slowAt + 500 ? 8 : 1})),
		getRate: () => 60,
	}, 1, 10_000).filter(({dataCentre}) => dataCentre === 'b');
	const measureShare = (from: number, until: number) => measureFraction(requests.filter(({at}) => at >= from && at < until), ({endpoint}) => endpoint === 'b0');
	expect(measureShare(slowAt + 200, slowAt + 600)).toBeLessThan(0.25);
	expect(measureShare(slowAt + 3500, slowAt + 6000)).toBeGreaterThan(0.15);
});

test('the part that goes elsewhere does not oscillate over a minute', () => {
	const own = play(sendMostFromOne(180), 2, 60_000).filter(({dataCentre, at}) => dataCentre === 'a' && at > 5000);
	const fractions = Array.from({length: 54}, (_, index) => measureFraction(own.filter(({at}) => Math.floor(at / 1000) === index + 5), isRemote));
	const mean = fractions.reduce((sum, each) => sum + each, 0) / fractions.length;
	const deviation = Math.sqrt(fractions.reduce((sum, each) => sum + ((each - mean) ** 2), 0) / fractions.length);
	expect(deviation).toBeLessThan(0.12);
});

test('the cost of a request to another data centre is constant by default, and follows its bytes where a megabyte has a price', () => {
	const size = {bodyBytes: 40_000, promptTokens: 9000, maxOutputTokens: 80};
	expect(computeRemoteCostMs(undefined, size)).toBe(30);
	expect(computeRemoteCostMs(1000, size)).toBeGreaterThan(45);
	expect(computeRemoteCostMs(0, size)).toBeLessThan(30);
});
