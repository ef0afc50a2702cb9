import {Buffer} from 'node:buffer';

/** Whole events of a stream, as their bytes were. */
export type Split = Readonly<{
	/** Bytes of whole events, to be passed on unchanged. */
	whole: Buffer;
	/** How many events these are. */
	count: number;
	/** The id of the last one that has an id. */
	lastId: string | undefined;
	/** Bytes of an event that is not whole yet. */
	rest: Buffer;
}>;

const eventEnd = /\r?\n\r?\n/gv;
const idLine = /(?:^|\n)id: ?(?<id>[^\r\n]*)/gv;

/**
Splits the bytes of an event stream after its last whole event.

@param rest - Bytes left over from before.
@param chunk - New bytes.
@returns The whole events and what is left over.
*/
export const splitEvents = (rest: Buffer, chunk: Buffer): Split => {
	const bytes = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
	// Latin-1 keeps one character a byte, so that positions in the text are positions in the bytes.
	const text = bytes.toString('latin1');
	const ends = [...text.matchAll(eventEnd)];
	const last = ends.at(-1);
	const length = last === undefined ? 0 : last.index + last[0].length;
	return {
		whole: bytes.subarray(0, length),
		count: ends.length,
		lastId: [...text.slice(0, length).matchAll(idLine)].at(-1)?.groups?.id,
		rest: bytes.subarray(length),
	};
};
