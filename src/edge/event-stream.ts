import {Buffer} from 'node:buffer';
import {createByteBuffer} from '../byte-buffer/index.js';

/** Complete events of a stream. */
export type CompleteEvents = Readonly<{
	/** Their bytes, unchanged. */
	bytes: Buffer;
	/** Number of events. */
	count: number;
	/** Id of the last event that has one. */
	lastEventId: string | undefined;
}>;

/** Splits the bytes of an event stream into complete events and the beginning of another one. */
export type EventSplitter = Readonly<{
	/** Adds bytes. Returns the events that they complete, if any, and whether the partial event takes up more memory than before. */
	add: (chunk: Buffer) => Readonly<{events: CompleteEvents | undefined; hasGrown: boolean}>;
	/** Returns the bytes of the event that is not complete yet. */
	getPartialEvent: () => Buffer;
	/** Counts the bytes of memory that the partial event takes up. */
	countMemory: () => number;
	/** Removes the partial event and frees its memory. */
	clear: () => void;
}>;

/**
Checks whether an event stream may end here.

@param partialEvent - Bytes after the last complete event.
@returns False if they begin another event, which has then been broken off.
*/
export const canEndAfter = (partialEvent: Buffer): boolean => /^[\r\n]*$/v.test(partialEvent.toString('latin1'));

const eventTerminator = /\r?\n\r?\n/gv;
const idLine = /(?:^|\n)id: ?(?<id>[^\r\n]*)/gv;

/** Bytes before a chunk that may belong to a terminator that ends in the chunk. */
const maxTerminatorOverlap = 3;

/** Splits bytes after their last complete event. */
const splitEvents = (bytes: Buffer): Readonly<{events: CompleteEvents; partialEvent: Buffer}> => {
	// Latin-1 maps each byte to one character, so that text offsets are byte offsets.
	const text = bytes.toString('latin1');
	const terminators = [...text.matchAll(eventTerminator)];
	const last = terminators.at(-1);
	const length = last === undefined ? 0 : last.index + last[0].length;
	return {
		events: {
			bytes: bytes.subarray(0, length),
			count: terminators.length,
			lastEventId: [...text.slice(0, length).matchAll(idLine)].at(-1)?.groups?.id,
		},
		partialEvent: bytes.subarray(length),
	};
};

const lineFeed = 10;
const idPrefix = Buffer.from('id:');

/** Counts the empty lines of bytes without carriage returns. */
const countTerminators = (bytes: Buffer): number => {
	let count = 0;
	for (let position = bytes.indexOf('\n\n'); position !== -1; position = bytes.indexOf('\n\n', position + 2)) {
		count += 1;
	}

	return count;
};

/** Returns the last id of bytes without carriage returns. */
const findLastId = (bytes: Buffer): string | undefined => {
	const lineStart = bytes.lastIndexOf('\nid:') + 1;
	return lineStart === 0 && !bytes.subarray(0, idPrefix.length).equals(idPrefix)
		? undefined
		: bytes.toString('latin1', lineStart + idPrefix.length, bytes.indexOf(lineFeed, lineStart)).replace(/^ /v, '');
};

/** Takes a chunk of whole events, as most are, if it can be told without copying it that it is one. */
const takeWholeEvents = (chunk: Buffer): CompleteEvents | undefined => chunk.at(-1) === lineFeed && chunk.at(-2) === lineFeed && chunk.at(-3) !== lineFeed && !chunk.includes('\r')
	? {bytes: chunk, count: countTerminators(chunk), lastEventId: findLastId(chunk)}
	: undefined;

/**
Creates a splitter. Splitting takes linear time in total, however small the chunks are.

@returns The splitter.
*/
export const createEventSplitter = (): EventSplitter => {
	const buffer = createByteBuffer();
	return {
		add(chunk) {
			const whole = buffer.countBytes() === 0 ? takeWholeEvents(chunk) : undefined;
			if (whole !== undefined) {
				return {events: whole, hasGrown: false};
			}

			const overlap = buffer.getBytes().subarray(-maxTerminatorOverlap);
			const hasGrown = buffer.add(chunk);
			if (!chunk.includes('\n') || Buffer.concat([overlap, chunk]).toString('latin1').search(eventTerminator) === -1) {
				return {events: undefined, hasGrown};
			}

			const {events, partialEvent} = splitEvents(buffer.getBytes());
			buffer.clear();
			return {events, hasGrown: buffer.add(partialEvent)};
		},
		getPartialEvent: () => buffer.getBytes(),
		countMemory: () => buffer.countMemory(),
		clear() {
			buffer.clear();
		},
	};
};
