import type {Buffer} from 'node:buffer';
import type {Writable} from 'node:stream';

/** Far more than any reader may accept, so that a test of one that accepts everything ends, too. */
const maxWrittenBytes = 64 * 1024 * 1024;

/**
Writes the same bytes again and again until the other side closes the connection.

@param target - The connection, or the response that it carries.
@param bytes - The bytes.
@returns Counts the bytes written so far.
*/
export const writeWithoutEnd = (target: Writable, bytes: Buffer): () => number => {
	let writtenBytes = 0;
	const write = () => {
		if (target.destroyed || writtenBytes > maxWrittenBytes) {
			return;
		}

		writtenBytes += bytes.length;
		target.write(bytes, error => {
			if (!error) {
				write();
			}
		});
	};

	write();
	return () => writtenBytes;
};
