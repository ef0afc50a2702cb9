import {hash} from 'node:crypto';

/**
Hashes a string to 32 bits.

@param text - The string, hashed as UTF-8.
@returns The first 32 bits of its SHA-1 digest, as an unsigned integer.
*/
export const hashText = (text: string): number => hash('sha1', text, 'buffer').readUInt32BE(0);
