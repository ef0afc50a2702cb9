import {request} from 'node:http';
import {expect, test} from 'vitest';
import {studio} from '../src/local/deployments.js';
import {startFleet} from '../src/local/fleet.js';
import {silentLog} from './silent-log.js';

test('a draining router answers a request whose body is still arriving', async () => {
	const fleet = await startFleet({deployment: studio, log: silentLog});
	const [router] = fleet.routers;
	const events: string[] = [];
	const outgoing = request(`http://${router!.address}/v1/services/shop/orders`, {
		method: 'POST', headers: {authorization: `Bearer ${studio.organisations[0]!.key}`, 'idempotency-key': 'ring-1'},
	});
	const ended = new Promise<void>(resolve => {
		outgoing.on('response', incoming => {
			incoming.resume();
			incoming.on('close', () => {
				events.push(incoming.complete ? 'answered' : 'broken off');
				resolve();
			});
		});
		outgoing.on('error', () => {
			events.push('failed');
			resolve();
		});
	});
	outgoing.write('{"ring":');
	await new Promise<void>(resolve => {
		setTimeout(resolve, 100);
	});
	const drained = router!.drain();
	setTimeout(() => {
		outgoing.end('1}');
	}, 300);
	await Promise.all([ended, drained]);
	await fleet.stop();
	expect(events).toEqual(['answered']);
});
