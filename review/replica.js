import {createServer} from 'node:net';

/** Interval at which a replica writes its entry, in ms: `heartbeatMs` of the settings. */
const heartbeatMs = 1200;

/** Splits the bytes of a connection into requests with bodies of a stated length. */
const createRequestReader = onRequest => {
	let buffered = '';
	return bytes => {
		buffered += bytes.toString('latin1');
		for (;;) {
			const end = buffered.indexOf('\r\n\r\n');
			if (end === -1) {
				return;
			}

			const [requestLine, ...lines] = buffered.slice(0, end).split('\r\n');
			const headers = Object.fromEntries(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]));
			const bodyEnd = end + 4 + Number(headers['content-length'] ?? 0);
			if (buffered.length < bodyEnd) {
				return;
			}

			buffered = buffered.slice(bodyEnd);
			const [method, path] = requestLine.split(' ');
			onRequest({
				method, path, headers, id: headers['attempt-id'],
			});
		}
	};
};

/**
Starts a stand-in of a replica, and registers it in the store.

@param options - Store, id, service, and `serve`, which is called with each request for this replica and the socket.
@returns Functions that close the replica.
*/
export const startReplica = async ({store, id, service, serve, slots = 64}) => {
	const sockets = new Set();
	let sequence = 0;
	const server = createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			sockets.delete(socket);
		});
		socket.on('data', createRequestReader(request => {
			if (request.headers['expect-instance'] === id) {
				serve(request, socket);
			} else {
				socket.write(`HTTP/1.1 421 Misdirected Request\r\nReplica-Id: ${id}\r\nContent-Length: 0\r\n\r\n`);
			}
		}));
	});
	await new Promise(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const born = Date.now();
	const beat = () => {
		sequence += 1;
		store.put('servers', id, {
			service, address: `127.0.0.1:${server.address().port}`, zone: 'zone-a', version: 'v1', slots, state: 'ready', coldRemainingMs: 0, sequence, born,
		});
	};

	beat();
	const timer = setInterval(beat, heartbeatMs);
	return {
		id,
		close() {
			clearInterval(timer);
			server.close();
			[...sockets].forEach(socket => {
				socket.destroy();
			});
		},
	};
};

/**
Formats the head of a whole answer as a sound replica sends it.

@param id - The request's `Attempt-Id`.
@param body - The body.
@returns The whole answer.
*/
export const formatAnswer = (id, body) =>
	`HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nResponse-Seal: seal-${id}\r\nContent-Type: text/plain\r\nContent-Length: ${body.length}\r\n\r\n${body}`;

/**
Serves a stream of events over a connection until it is complete or its connection is closed.

@param socket - The connection.
@param stream - The request's id, the number of events, and the delays in ms.
@param onRun - Called when the first event is written, that is, when the request begins to run.
*/
export const serveStream = (socket, {id, events, firstMs, gapMs}, onRun) => {
	const writeChunk = text => {
		socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
	};

	const emit = index => {
		if (socket.destroyed || socket.readableEnded) {
			return;
		}

		if (index === 1) {
			onRun();
			socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nResponse-Seal: seal-${id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`);
		}

		writeChunk(`id: ${index}\ndata: ${id}:${index}\n\n`);
		if (index < events) {
			setTimeout(emit, gapMs, index + 1);
		} else {
			socket.write('0\r\n\r\n');
		}
	};

	setTimeout(emit, firstMs, 1);
};
