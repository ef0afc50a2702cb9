import type {Result} from '../errors/index.js';
import {parseLoads} from '../gossip/index.js';
import {isOriginMessage, parseOrigins} from '../stream-origin/index.js';
import {isTransfer, parseTransfer} from '../token-transfer/index.js';
import type {EdgeEvent} from './messages.js';

/**
Parses a datagram of a peer. Messages about tokens and streams name their kind first; load messages name none.

@param text - The text of the datagram.
@param random - A random number in [0, 1).
@returns The event, or a fault that names the invalid field.
*/
export const parsePeerMessage = (text: string, random: number): Result<EdgeEvent> => {
	if (isTransfer(text)) {
		return parseTransfer(text).map(message => ({kind: 'transfer-received', message, random}));
	}

	return isOriginMessage(text)
		? parseOrigins(text).map(origins => ({kind: 'origins-told', origins}))
		: parseLoads(text).map(message => ({kind: 'peer-heard', ...message}));
};
