import {Agent, createServer, request} from 'node:http';
import process from 'node:process';

/** The least that a router on Node's HTTP does: it forwards each request to one endpoint and pipes the response back. Arguments: its port, and that of the endpoint. */

const [port, endpointPort] = process.argv.slice(2).map(Number);
const agent = new Agent({keepAlive: true});

createServer((incoming, response) => {
	const outgoing = request({
		agent, host: '127.0.0.1', port: endpointPort, method: incoming.method, path: incoming.url, headers: incoming.headers,
	}, answer => {
		response.writeHead(answer.statusCode!, answer.headers);
		answer.pipe(response);
	});
	outgoing.on('error', () => {
		response.destroy();
	});
	incoming.pipe(outgoing);
}).listen(port, '127.0.0.1');
