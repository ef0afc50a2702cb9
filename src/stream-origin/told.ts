import {z} from 'zod';
import {createValidationFault, fail, succeed} from '../errors/index.js';
import type {Result} from '../errors/index.js';
import type {StreamOrigin} from './origins.js';

/** Origins of streams, by the keys of their requests. */
export type KeyedOrigin = Readonly<{key: string; origin: StreamOrigin}>;

const messageSchema = z.object({
	kind: z.literal('stream-origins'),
	/** Key of the request, service and software version of each stream. */
	origins: z.array(z.tuple([z.string().min(1), z.string(), z.string()])),
});

/**
Encodes a message that tells a peer where streams have begun. Its kind comes first, so that receivers tell it from other messages.

@param origins - The origins.
@returns The text of the datagram.
*/
export const encodeOrigins = (origins: readonly KeyedOrigin[]): string =>
	JSON.stringify({kind: 'stream-origins', origins: origins.map(({key, origin: {service, softwareVersion}}) => [key, service, softwareVersion])});

/**
Tells whether a datagram is such a message, without parsing it.

@param text - The text of the datagram.
@returns False for other messages.
*/
export const isOriginMessage = (text: string): boolean => text.startsWith('{"kind":"stream-origins"');

/**
Parses such a message.

@param text - The text of the datagram.
@returns The origins, or a fault that names the invalid field.
*/
export const parseOrigins = (text: string): Result<readonly KeyedOrigin[]> => {
	try {
		const parsed = messageSchema.safeParse(JSON.parse(text));
		return parsed.success
			? succeed(parsed.data.origins.map(([key, service, softwareVersion]) => ({key, origin: {service, softwareVersion}})))
			: fail(createValidationFault(parsed.error, 'message'));
	} catch (error) {
		return fail({kind: 'bad-request', detail: `message: ${error instanceof Error ? error.message : 'is not valid JSON'}`});
	}
};
