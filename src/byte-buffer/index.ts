import {Buffer} from 'node:buffer';

/** Bytes that arrive in chunks, kept in one block of memory. */
export type ByteBuffer = Readonly<{
	/** Adds a chunk. Returns true if the buffer takes up more memory than before. */
	add: (chunk: Buffer) => boolean;
	countBytes: () => number;
	/** Counts the bytes of memory that the buffer takes up, at most twice those added, however small the chunks are. */
	countMemory: () => number;
	/** Returns all bytes, without copying them. */
	getBytes: () => Buffer;
	/** Removes all bytes and frees their memory. */
	clear: () => void;
}>;

/**
Creates an empty buffer. Adding chunks takes linear time in total.

@param expectedBytes - Size of all chunks, if it is known: the buffer takes up no more, and copies each chunk once.
@returns The buffer.
*/
export const createByteBuffer = (expectedBytes = 0): ByteBuffer => {
	let block: Buffer = Buffer.alloc(0);
	let length = 0;
	return {
		add(chunk) {
			const memory = block.length;
			if (length === 0) {
				block = chunk;
			} else {
				if (length + chunk.length > block.length) {
					const larger = Buffer.allocUnsafe(length + chunk.length <= expectedBytes ? expectedBytes : Math.max(length * 2, length + chunk.length));
					block.copy(larger, 0, 0, length);
					block = larger;
				}

				chunk.copy(block, length);
			}

			length += chunk.length;
			return block.length > memory;
		},
		countBytes: () => length,
		countMemory: () => block.length,
		getBytes: () => block.subarray(0, length),
		clear() {
			block = Buffer.alloc(0);
			length = 0;
		},
	};
};
