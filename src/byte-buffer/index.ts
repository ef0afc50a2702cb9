import {Buffer} from 'node:buffer';

/** Bytes that arrive in chunks, kept in one block of memory. */
export type ByteBuffer = Readonly<{
	add: (chunk: Buffer) => void;
	countBytes: () => number;
	/** Counts the bytes of memory that the buffer takes up, at most twice those added, however small the chunks are. */
	countMemory: () => number;
	/** Returns all bytes, without copying them. */
	getBytes: () => Buffer;
}>;

/**
Creates an empty buffer. Adding chunks takes linear time in total.

@returns The buffer.
*/
export const createByteBuffer = (): ByteBuffer => {
	let block: Buffer = Buffer.alloc(0);
	let length = 0;
	return {
		add(chunk) {
			if (length === 0) {
				block = chunk;
			} else {
				if (length + chunk.length > block.length) {
					const larger = Buffer.allocUnsafe(Math.max(length * 2, length + chunk.length));
					block.copy(larger, 0, 0, length);
					block = larger;
				}

				chunk.copy(block, length);
			}

			length += chunk.length;
		},
		countBytes: () => length,
		countMemory: () => block.length,
		getBytes: () => block.subarray(0, length),
	};
};
