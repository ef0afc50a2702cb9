import {z} from 'zod';
import {createValidationFault, fail, succeed} from '../errors/index.js';
import type {Result} from '../errors/index.js';
import {isRemoteAddress} from '../server/address.js';

const tokenCount = z.number().int().nonnegative().max(Number.MAX_SAFE_INTEGER);

const messageSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('token-request'),
		/** Names the incarnation that asks, so that no other process accepts the grant. */
		id: z.string().min(1),
		/** Where the grant is to be sent. */
		address: z.string().refine(isRemoteAddress),
		organisation: z.string(),
		tokens: tokenCount,
	}),
	z.object({
		kind: z.literal('token-grant'),
		/** Id of the request. */
		id: z.string().min(1),
		/** Where the acknowledgement is to be sent. */
		address: z.string().refine(isRemoteAddress),
		organisation: z.string(),
		/** Tokens granted, which the sender has charged; 0 if it can spare none. */
		tokens: tokenCount,
	}),
	z.object({
		kind: z.literal('token-ack'),
		id: z.string().min(1),
	}),
]);

/** A message by which routers pass tokens on directly. */
export type TransferMessage = Readonly<z.output<typeof messageSchema>>;

/**
Encodes a message. Its kind comes first, so that receivers tell it from load messages.

@param message - The message.
@returns The text of the datagram.
*/
export const encodeTransfer = (message: TransferMessage): string => {
	const {kind, ...fields} = message;
	return JSON.stringify({kind, ...fields});
};

/**
Tells whether a datagram is a message of this module, without parsing it.

@param text - The text of the datagram.
@returns False for load messages, which name no kind.
*/
export const isTransfer = (text: string): boolean => text.startsWith('{"kind":"token-');

/**
Parses a message.

@param text - The text of the datagram.
@returns The message, or a fault that names the invalid field.
*/
export const parseTransfer = (text: string): Result<TransferMessage> => {
	try {
		const parsed = messageSchema.safeParse(JSON.parse(text));
		return parsed.success ? succeed(parsed.data) : fail(createValidationFault(parsed.error, 'message'));
	} catch (error) {
		return fail({kind: 'bad-request', detail: `message: ${error instanceof Error ? error.message : 'is not valid JSON'}`});
	}
};
