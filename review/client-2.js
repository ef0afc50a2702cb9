import {randomBytes} from 'node:crypto';
import {request} from 'node:http';
import {performance} from 'node:perf_hooks';

/** Creates the id of an attempt. */
export const createAttemptId = () => randomBytes(8).toString('hex');

/** Splits the events of a stream that are complete. */
const splitEvents = text => text.split('\n\n').slice(0, -1).map(event => ({
	id: Number(/^id: (?<id>\d+)$/mv.exec(event)?.groups.id),
	data: /^data: (?<data>.*)$/mv.exec(event)?.groups.data,
}));

/**
Sends one request on a new connection, and resolves once it has ended in whatever way.

@param options - Port of the router, path, headers, agent, and a callback for complete events.
@returns Status (0 if there was no response), headers, events, and whether the response is whole.
*/
export const send = async ({
	port, path, method = 'POST', host = 'h.example', body = 'x', headers = {}, agent = false, onEvents = () => undefined,
}) => new Promise(resolve => {
	const sentAt = performance.now();
	const attempt = headers['Attempt-Id'] ?? createAttemptId();
	let text = '';
	let settled = false;
	const settle = outcome => {
		if (!settled) {
			settled = true;
			resolve({
				attempt, sentAt, endedAt: performance.now(), status: 0, headers: {}, events: splitEvents(text), text, isWhole: false, ...outcome,
			});
		}
	};

	const outgoing = request({
		host: '127.0.0.1', port, path, method, agent, headers: {Host: host, 'Attempt-Id': attempt, ...headers},
	}, response => {
		const {statusCode: status} = response;
		response.setEncoding('latin1');
		response.on('data', chunk => {
			text += chunk;
			onEvents(splitEvents(text), outgoing);
		});
		response.on('end', () => {
			settle({status, headers: response.headers, isWhole: response.complete});
		});
		response.on('close', () => {
			settle({status, headers: response.headers});
		});
		response.on('error', () => {
			settle({status, headers: response.headers});
		});
	});
	outgoing.on('error', error => {
		settle({reason: error.code});
	});
	outgoing.end(method === 'GET' ? undefined : body);
});
