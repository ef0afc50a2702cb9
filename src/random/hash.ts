import {hash} from 'node:crypto';

/**
Hashes a text to 32 bits.

@param text - The text.
@returns A whole number from 0 to 2^32 - 1.
*/
export const hashText = (text: string): number => hash('sha1', text, 'buffer').readUInt32BE(0);
