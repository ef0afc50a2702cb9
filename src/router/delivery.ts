import {Buffer} from 'node:buffer';
import type {AttemptOutcome} from '../attempt/index.js';
import type {Chunk, End} from '../gen/galena/v1/agent_pb.js';
import {canResume, passEvent} from './caller.js';
import type {Caller} from './caller.js';
import type {RouterEvent} from './messages.js';
import type {RouterPart} from './sessions.js';

/** What deliveries need of the router. */
export type DeliveryPorts = Readonly<{
	post: (event: RouterEvent) => void;
	send: (agent: string, part: RouterPart) => void;
}>;

/** Hands the parts of answers on to the callers whose attempts they belong to. */
export type Deliveries = Readonly<{
	/** Ties an attempt to the caller who waits for it. */
	start: (attempt: string, caller: Caller) => void;
	receiveChunk: (chunk: Chunk) => void;
	receiveEnd: (agent: string, end: End) => void;
}>;

const creditStep = 32 * 1024; // Bytes

/**
Creates the deliveries of a router.

@param ports - The router.
@returns The deliveries.
*/
export const createDeliveries = (ports: DeliveryPorts): Deliveries => {
	const byAttempt = new Map<string, Caller>();

	const returnCredit = (caller: Caller) => {
		if (caller.attempt !== undefined && caller.agent !== undefined && caller.delivery.owed > 0) {
			ports.send(caller.agent, {credits: [{attemptId: caller.attempt, bytes: caller.delivery.owed}]});
			caller.delivery = {...caller.delivery, owed: 0};
		}
	};

	const noteWritten = (caller: Caller, bytes: number, isOpen: boolean) => {
		caller.delivery = {next: caller.delivery.next + 1, owed: caller.delivery.owed + bytes};
		if (!isOpen && !caller.isBlocked) {
			caller.isBlocked = true;
			caller.sink.onDrain(() => {
				caller.isBlocked = false;
				returnCredit(caller);
			});
		}

		if (!caller.isBlocked && caller.delivery.owed >= creditStep) {
			returnCredit(caller);
		}
	};

	const passPart = (caller: Caller, data: Uint8Array): boolean => {
		if (caller.checked.order.isStream) {
			return passEvent(caller, Buffer.from(data).toString('utf8'));
		}

		caller.whole.push(data);
		return true;
	};

	return {
		start(attempt, caller) {
			byAttempt.set(attempt, caller);
		},
		receiveChunk(chunk) {
			const caller = byAttempt.get(chunk.attemptId);
			// A part of an attempt that was given up belongs to nobody.
			if (caller?.attempt !== chunk.attemptId || caller.isEnded || chunk.sequence !== caller.delivery.next) {
				return;
			}

			if (chunk.sequence === 0) {
				ports.post({kind: 'attempt-began', attempt: chunk.attemptId});
			}

			noteWritten(caller, chunk.data.byteLength, passPart(caller, chunk.data));
		},
		receiveEnd(agent, end) {
			const caller = byAttempt.get(end.attemptId);
			byAttempt.delete(end.attemptId);
			const isWhole = caller === undefined || caller.delivery.next === end.chunkCount;
			const outcome = (end.outcome === 'done' && !isWhole ? 'failed' : end.outcome) as AttemptOutcome;
			// A stream's request may be answered with a whole body, such as an error's.
			const isBody = caller !== undefined && (!caller.checked.order.isStream || end.contentType !== 'text/event-stream');
			ports.post({
				kind: 'attempt-ended',
				attempt: end.attemptId,
				agent,
				outcome,
				tokens: end.tokens,
				...(isBody && outcome === 'done' && {answer: {status: end.status, contentType: end.contentType, body: Buffer.concat(caller.whole)}}),
				delivered: caller?.delivered ?? 0,
				canResume: caller !== undefined && canResume(caller),
			});
		},
	};
};
