import {Map} from 'immutable';
import {expect, test} from 'vitest';
import {playQuotaLoad} from '../../test/quota-play.js';
import type {QuotaLoad, StoreFault} from '../../test/quota-play.js';
import {createLocalQuota, getBudgetHold, setWaitingTokens} from '../quota/index.js';
import type {PeerRouter} from '../quota/index.js';
import {askForTokens, createTokenTransfers, receiveTransfer} from './index.js';

const faults: readonly StoreFault[] = ['none', 'none', 'none', 'none', 'call-lost', 'answer-lost', 'late'];

/** Eight routers of two data centres on scarce budgets, of which one at a time gets most requests. */
const load: QuotaLoad = {
	dataCentres: [5, 3], organisations: 2, requestsPerSecond: 100, tokensPerRequest: 1000, budgetSeconds: 5, warmUpMs: 1000, requestsFromMs: 600, endMs: 7000,
	chooseDataCentre: (random, now) => random.draw() < 0.85 ? Math.floor(now / 2000) % 2 : random.pick(2),
	isStoreReachable: now => now < 2500 || now > 5000,
	chooseStoreFault: random => faults[random.pick(faults.length)]!,
	lostFraction: 0.2, repeatedFraction: 0.3, datagramJitterMs: 150,
};

// Guards against tokens that are spent twice: by a giver's successor, by a receiver that gets a grant again, or by the successor of a receiver.
test('no schedule of lost, repeated and reordered datagrams, kills, pauses and store faults spends more than was taken', () => {
	const outcomes = Array.from({length: 150}, (_, seed) => playQuotaLoad({...load, killsPerSecond: 1.5, pausesPerSecond: 0.5}, seed));
	expect(outcomes.flatMap(({overspentAt}, seed) => overspentAt === undefined ? [] : [{seed, overspentAt}])).toEqual([]);
	expect(outcomes.reduce((sum, {granted}) => sum + granted, 0)).toBeGreaterThan(0);
}, 300_000);

// Guards against a grant whose giver's draw is missing from the restored store.
test('no schedule in which the store comes back from an older copy spends more than a budget', () => {
	const outcomes = Array.from({length: 60}, (_, seed) => playQuotaLoad({
		...load, isStoreReachable: () => true, pausesPerSecond: 0.5, restoresAt: [3000, 5000],
	}, seed));
	expect(outcomes.flatMap(({overspentAt}, seed) => overspentAt === undefined ? [] : [{seed, overspentAt}])).toEqual([]);
	expect(outcomes.reduce((sum, {granted}) => sum + granted, 0)).toBeGreaterThan(0);
}, 300_000);

const giver: PeerRouter = {
	peerAddress: '127.0.0.1:2', dataCentre: 'z', isLive: true, era: 1, holds: Map([['o', {held: 50_000, demand: 0}]]),
};

// Guards against tokens that two processes on the same address accept, or that one accepts twice.
test('a grant is accepted once, and only by the incarnation that asked', () => {
	const peers = Map(Array.from({length: 7}, (_, index) => [`peer-${index}`, giver] as const));
	const quota = setWaitingTokens({...createLocalQuota('r', 'r#2', 0, '127.0.0.1:1', 'z'), hasTakenOver: true, peers}, 'o', 1000, 1000);
	const asked = askForTokens({quota, transfers: createTokenTransfers('r#2')}, 'o', 0, 10);
	const grant = (id: string) => ({
		kind: 'token-grant', id, address: '127.0.0.1:2', organisation: 'o', tokens: 1000,
	} as const);
	expect(asked.effects).toMatchObject([{kind: 'tell', message: {kind: 'token-request', id: 'r#2.1', tokens: 1000}}]);
	const former = receiveTransfer(asked.state, grant('r#1.1'), 20);
	const first = receiveTransfer(former.state, grant('r#2.1'), 21);
	const again = receiveTransfer(first.state, grant('r#2.1'), 22);
	expect([former, first, again].map(({state}) => getBudgetHold(state.quota, 'o').received)).toEqual([0, 1000, 1000]);
	expect(again.effects).toMatchObject([{kind: 'tell', message: {kind: 'token-ack', id: 'r#2.1'}}]);
});
