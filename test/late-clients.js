import {connect} from 'node:net';
import {parentPort, workerData} from 'node:worker_threads';

/**
Clients in a thread of their own, which go on while the event loop of the router stands still. Each sends one request, on
a new connection or on one that it has used before, and tells how many ms later it got the final response or was reset.
*/
const {port, count, isKept} = workerData;

const formatRequest = (id, path) => `GET ${path} HTTP/1.1\r\nHost: h\r\nAttempt-Id: ${id}\r\nRequest-Deadline-Ms: 9000\r\n\r\n`;

const open = index => {
	const socket = connect(port, '127.0.0.1').on('error', () => undefined);
	const awaitEnd = () => new Promise(resolve => {
		socket.once('data', resolve);
		socket.once('close', resolve);
	});
	return {
		async send(path) {
			if (socket.destroyed) {
				return Number.POSITIVE_INFINITY;
			}

			const sentAt = performance.now();
			const ended = awaitEnd();
			socket.write(formatRequest(`c${index}${path.slice(1)}`, path));
			await ended;
			return performance.now() - sentAt;
		},
	};
};

const indexes = Array.from({length: count}, (_, index) => index);
const kept = isKept ? indexes.map(index => open(index)) : [];
await Promise.all(kept.map(client => client.send('/fast')));
parentPort.postMessage('ready');
parentPort.once('message', async () => {
	const clients = isKept ? kept : indexes.map(index => open(index));
	parentPort.postMessage(await Promise.all(clients.map(client => client.send('/never'))));
	parentPort.close();
});
