import {Buffer} from 'node:buffer';
import {createServer} from 'node:net';
import type {Server} from 'node:net';
import {respondToSample} from '../platform/sample.js';
import type {SampleResponse} from '../platform/sample.js';

/**
Creates an endpoint that responds to sample requests. The parts of a response come one by one, as the events of a stream do.

@param partGapMs - Time between two parts, in ms; without it, they come in successive iterations of the event loop.
@returns The server, which does not listen yet.
*/
export const createSampleEndpoint = (partGapMs?: number): Server => createServer({noDelay: true}, socket => {
	let received = Buffer.alloc(0);
	const writeParts = ([part, ...rest]: SampleResponse) => {
		if (part !== undefined && socket.writable) {
			socket.write(part);
			if (partGapMs === undefined) {
				setImmediate(writeParts, rest);
			} else {
				setTimeout(writeParts, partGapMs, rest);
			}
		}
	};

	socket.on('error', () => undefined);
	socket.on('data', (bytes: Buffer) => {
		received = Buffer.concat([received, bytes]);
		const response = respondToSample(received);
		if (response !== undefined) {
			received = Buffer.alloc(0);
			writeParts(response);
		}
	});
});
