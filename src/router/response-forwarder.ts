import {Buffer} from 'node:buffer';
import type {AttemptOutcome} from '../attempt/index.js';
import type {Chunk, End} from '../gen/galena/v1/agent_pb.js';
import {canResume, forwardEvent} from './pending-request.js';
import type {PendingRequest} from './pending-request.js';
import type {RouterEvent} from './messages.js';
import type {RouterPart} from './sessions.js';

/** What the response forwarder needs from the router. */
export type ResponseForwarderPorts = Readonly<{
	post: (event: RouterEvent) => void;
	send: (agent: string, part: RouterPart) => void;
}>;

/** Forwards the chunks that agents send to the clients whose attempts they belong to. */
export type ResponseForwarder = Readonly<{
	/** Assigns an attempt to the request that it serves. */
	registerAttempt: (attempt: string, pending: PendingRequest) => void;
	receiveChunk: (chunk: Chunk) => void;
	receiveEnd: (agent: string, end: End) => void;
}>;

/** Written bytes after which credit is returned to the agent. */
const creditThresholdBytes = 32 * 1024;

const outcomes: ReadonlySet<string> = new Set<AttemptOutcome>(['done', 'not-run', 'failed', 'unknown', 'cancelled']);

/** An agent of another version may state an outcome of which nothing is known. */
const decodeOutcome = (text: string): AttemptOutcome => outcomes.has(text) ? text as AttemptOutcome : 'unknown';

/**
Creates the response forwarder of a router.

@param ports - Functions of the router.
@returns The response forwarder.
*/
export const createResponseForwarder = (ports: ResponseForwarderPorts): ResponseForwarder => {
	const pendingByAttempt = new Map<string, PendingRequest>();

	const sendCredit = (pending: PendingRequest) => {
		if (pending.attempt !== undefined && pending.agent !== undefined && pending.delivery.uncreditedBytes > 0) {
			ports.send(pending.agent, {credits: [{attemptId: pending.attempt, bytes: pending.delivery.uncreditedBytes}]});
			pending.delivery = {...pending.delivery, uncreditedBytes: 0};
		}
	};

	const recordWrite = (pending: PendingRequest, bytes: number, canWriteMore: boolean) => {
		pending.delivery = {nextSequence: pending.delivery.nextSequence + 1, uncreditedBytes: pending.delivery.uncreditedBytes + bytes};
		if (!canWriteMore && !pending.isAwaitingDrain) {
			pending.isAwaitingDrain = true;
			pending.sink.onDrain(() => {
				pending.isAwaitingDrain = false;
				sendCredit(pending);
			});
		}

		if (!pending.isAwaitingDrain && pending.delivery.uncreditedBytes >= creditThresholdBytes) {
			sendCredit(pending);
		}
	};

	const deliverChunk = (pending: PendingRequest, {data, isBody}: Chunk): boolean => {
		if (pending.checked.spec.isStream && !isBody) {
			return forwardEvent(pending, Buffer.from(data).toString('utf8'));
		}

		pending.bufferedParts.push(data);
		return true;
	};

	return {
		registerAttempt(attempt, pending) {
			pendingByAttempt.set(attempt, pending);
		},
		receiveChunk(chunk) {
			const pending = pendingByAttempt.get(chunk.attemptId);
			// Chunks of an abandoned attempt are dropped.
			if (pending?.attempt !== chunk.attemptId || pending.isEnded || chunk.sequence !== pending.delivery.nextSequence) {
				return;
			}

			if (chunk.sequence === 0) {
				ports.post({kind: 'attempt-began', attempt: chunk.attemptId});
			}

			recordWrite(pending, chunk.data.byteLength, deliverChunk(pending, chunk));
		},
		receiveEnd(agent, end) {
			const pending = pendingByAttempt.get(end.attemptId);
			pendingByAttempt.delete(end.attemptId);
			const isComplete = pending === undefined || pending.delivery.nextSequence === end.chunkCount;
			// The endpoint may answer a streaming request with an ordinary body, such as an error, which cannot follow events.
			const isBuffered = pending !== undefined && (!pending.checked.spec.isStream || end.contentType !== 'text/event-stream');
			const isDeliverable = isComplete && !(isBuffered && pending.hasSentHead);
			const stated = decodeOutcome(end.outcome);
			const outcome = stated === 'done' && !isDeliverable ? 'failed' : stated;
			ports.post({
				kind: 'attempt-ended',
				attempt: end.attemptId,
				agent,
				outcome,
				tokens: end.tokens,
				...(isBuffered && outcome === 'done' && {answer: {status: end.status, contentType: end.contentType, body: Buffer.concat(pending.bufferedParts)}}),
				delivered: pending?.delivered ?? 0,
				canResume: pending !== undefined && canResume(pending),
			});
		},
	};
};
