import {Buffer} from 'node:buffer';

/** Bytes of an event stream, split after the last complete event. */
export type SplitEvents = Readonly<{
	/** Bytes of the complete events, unchanged. */
	completeEvents: Buffer;
	/** Number of complete events. */
	count: number;
	/** Id of the last complete event that has one. */
	lastEventId: string | undefined;
	/** Bytes of an event that is not complete yet. */
	partialEvent: Buffer;
}>;

/**
Checks whether an event stream may end here.

@param partialEvent - Bytes after the last complete event.
@returns False if they begin another event, which has then been broken off.
*/
export const canEndAfter = (partialEvent: Buffer): boolean => /^[\r\n]*$/v.test(partialEvent.toString('latin1'));

const eventTerminator = /\r?\n\r?\n/gv;
const idLine = /(?:^|\n)id: ?(?<id>[^\r\n]*)/gv;

/**
Splits the bytes of an event stream after its last complete event.

@param partialEvent - Bytes of an incomplete event from the previous split.
@param chunk - Bytes received since.
@returns The complete events and the remaining bytes.
*/
export const splitEvents = (partialEvent: Buffer, chunk: Buffer): SplitEvents => {
	const bytes = partialEvent.length === 0 ? chunk : Buffer.concat([partialEvent, chunk]);
	// Latin-1 maps each byte to one character, so that text offsets are byte offsets.
	const text = bytes.toString('latin1');
	const terminators = [...text.matchAll(eventTerminator)];
	const last = terminators.at(-1);
	const length = last === undefined ? 0 : last.index + last[0].length;
	return {
		completeEvents: bytes.subarray(0, length),
		count: terminators.length,
		lastEventId: [...text.slice(0, length).matchAll(idLine)].at(-1)?.groups?.id,
		partialEvent: bytes.subarray(length),
	};
};
