import {describe, expect, test} from 'vitest';
import {createFault, fail, succeed} from '../errors/index.js';
import type {StoreReply} from '../store/index.js';
import {advanceFeed, computeChangesLimit, feedStart} from './table-feed.js';
import type {FeedPosition} from './table-feed.js';

const reply = (version: number, era?: number): StoreReply => ({
	kind: 'done', rows: [], version, now: 0, era: succeed(era),
});

/** Kinds of the events that replies cause, reply by reply, and the version after which the feed goes on. */
const followReplies = (replies: readonly StoreReply[], start = feedStart) => replies.reduce<Readonly<{position: FeedPosition; kinds: readonly string[]}>>((before, each) => {
	const {position, events} = advanceFeed(before.position, each);
	return {position, kinds: [...before.kinds, events.map(({kind}) => kind).join(' ')]};
}, {position: start, kinds: []});

describe('a feed whose store', () => {
	test.each<[string, readonly StoreReply[], readonly string[], number | undefined]>([
		['names no era goes on as before', [reply(5), reply(7)], ['all', 'changes'], 7],
		['stays in its era goes on as before', [reply(5, 1), reply(7, 1)], ['all', 'changes'], 7],
		['came back from an older copy reads all rows again', [reply(9, 1), reply(6, 2), reply(6, 2), reply(8, 2)], ['all', 'restored', 'all', 'changes'], 8],
		['came back and has reused the version reads all rows again', [reply(9, 1), reply(12, 2), reply(12, 2)], ['all', 'restored', 'all'], 12],
		['came back and no longer has the version reads all rows once', [reply(9, 1), {kind: 'forgotten'}, reply(6, 2), reply(7, 2)], ['all', 'history-lost', 'restored all', 'changes'], 7],
		['no longer has the version, and was not away, is not regained', [reply(9, 1), {kind: 'forgotten'}, reply(12, 1)], ['all', 'history-lost', 'all'], 12],
		['no longer has the version after it was away is regained', [reply(9), {kind: 'lost', reason: 'r'}, {kind: 'forgotten'}, reply(12)], ['all', 'lost', 'history-lost', 'regained all'], 12],
		['came back while it was away is regained first', [reply(9, 1), {kind: 'lost', reason: 'r'}, reply(6, 3), reply(6, 3)], ['all', 'lost', 'regained restored', 'all'], 6],
		['is away for long reads all rows on its return', [reply(9), ...Array.from({length: 3}, () => ({kind: 'lost', reason: 'r'} as const)), reply(12)], ['all', 'lost', '', '', 'regained all'], 12],
		['has changes that are larger than all rows reads all rows', [reply(9, 1), {kind: 'oversized', bytes: 900_000}, reply(15, 1), reply(16, 1)], ['all', 'outgrown', 'all', 'changes'], 16],
		['has such changes after it was away is regained', [reply(9), {kind: 'lost', reason: 'r'}, {kind: 'oversized', bytes: 900_000}, reply(15)], ['all', 'lost', 'outgrown', 'regained all'], 15],
		['answers late from an earlier era is not believed', [reply(9, 2), reply(15, 1), reply(10, 2)], ['all', 'lost', 'regained changes'], 10],
	])('%s', (_, replies, kinds, version) => {
		const end = followReplies(replies);
		expect(end.kinds).toEqual(kinds);
		expect(end.position.version).toBe(version);
	});

	test('names an era that cannot be read keeps the one known before', () => {
		const unreadable: StoreReply = {
			kind: 'done', rows: [], version: 10, now: 0, era: fail(createFault('bad-request', 'Store-Era: "x" is not a whole number')),
		};
		expect(followReplies([reply(9, 2), unreadable, reply(11, 2)])).toEqual({
			position: {
				version: 11, era: 2, failures: 0, tableBytes: 0,
			}, kinds: ['all', 'era-unreadable changes', 'changes'],
		});
	});
});

test('changes are received up to the size of all rows and a half, or 512 KB', () => {
	const readTable = (bytes: number) => advanceFeed(feedStart, {
		kind: 'done', rows: [], version: 1, now: 0, transfer: {bytes, waitMs: 4, receiveMs: 1},
	}).position;
	expect([feedStart, readTable(15_000), readTable(455_000)].map(position => computeChangesLimit(position))).toEqual([524_288, 524_288, 682_500]);
});
