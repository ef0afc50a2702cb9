import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {expect, onTestFinished, test} from 'vitest';
import {silentLog} from '../../test/silent-log.js';
import {openServiceRegistry} from './service-registry.js';

/** Formats an entry; the port and the checks are JSON. */
const formatEntry = (host: string, port: string, checks = '[{"Status":"passing"}]') => `{"Service":{"Address":"${host}","Port":${port}},"Checks":${checks}}`;

test.each([
	['null', 'null'],
	['without a service', '{}'],
	['without checks', formatEntry('10.0.0.9', '1').replace('Checks', 'Other')],
	['with a check that is null', formatEntry('10.0.0.9', '1', '[null]')],
	['with a port out of range', formatEntry('10.0.0.9', '99999999')],
	['with a negative port', formatEntry('10.0.0.9', '-1')],
	['with a fraction as its port', formatEntry('10.0.0.9', '80.5')],
	['with a number that is too large', formatEntry('10.0.0.9', '1e400')],
	['with a host name', formatEntry('odd host', '80')],
	['nested deeply', `${'['.repeat(100_000)}${']'.repeat(100_000)}`],
])('an odd entry of the service registry hides no other one: %s', async (_, odd) => {
	const server = createServer((_incoming, response) => {
		response.end(`[${formatEntry('10.0.0.1', '80')},${odd},${formatEntry('10.0.0.2', '81', '[{"Status":"critical"}]')}]`);
	});
	onTestFinished(() => {
		server.close();
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const logged: unknown[] = [];
	const registry = openServiceRegistry(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, {
		...silentLog, warn(name, fields) {
			logged.push({name, ...fields});
		},
	});
	expect(await registry.list('galena-agent')).toEqual([{address: '10.0.0.1:80', isLeaving: false}, {address: '10.0.0.2:81', isLeaving: true}]);
	expect(logged).toMatchObject([{name: 'registry-entry-unreadable', service: 'galena-agent', index: 1}]);
});
