import {expect, test} from 'vitest';
import {studio} from '../src/local/deployments.js';
import {startFleet} from '../src/local/fleet.js';
import {silentLog} from './silent-log.js';

test('a path with a malformed escape is answered with the field, not as a failure of the router', async () => {
	const fleet = await startFleet({deployment: studio, log: silentLog});
	const response = await fetch(`http://${fleet.routers[0]!.address}/operator/v1/claims/studio/%E0%A4%A/resolve`, {
		method: 'POST', headers: {authorization: `Bearer ${fleet.operatorKey}`}, body: JSON.stringify({outcome: 'not-run', why: 'test'}),
	});
	const problem = await response.text();
	await fleet.stop();
	expect(response.status).toBe(400);
	expect(problem).toContain('key: ');
});
