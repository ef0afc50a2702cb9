import {setTimeout as sleep} from 'node:timers/promises';
import {runInBackground} from '../src/loop/background.js';
import type {EdgeProcess} from './edge-process.js';
import {fetchOutcome} from './http-status.js';

/** A router behind the load balancer. */
export type BalancedRouter = Readonly<{dataCentre: string; edge: Pick<EdgeProcess, 'port' | 'readyPort'>}>;

/** The load balancer of the users' platform: it checks readiness, and chooses a router for each new connection. */
export type LoadBalancer = Readonly<{
	/** Returns the port of the router for a new connection of a client; tries after the first one reach other routers. */
	choosePort: (dataCentre: string, client: number, attempt: number) => number;
	stop: () => void;
}>;

/** Interval of health checks in ms, and failed ones after which a router gets no new connections. */
const checkIntervalMs = 1000;
const maxFailures = 2;

/**
Starts a load balancer. It uses the routers of a client's data centre that are in the rotation, all of them if fewer than half are, and
those of other data centres if none is.

@param routers - The routers.
@returns The load balancer.
*/
export const startLoadBalancer = (routers: readonly BalancedRouter[]): LoadBalancer => {
	const failures = new Map(routers.map(router => [router, 0]));
	let isStopped = false;
	const checkAll = async (): Promise<void> => {
		await Promise.all(routers.map(async router => {
			const status = await Promise.race([fetchOutcome({port: router.edge.readyPort, path: '/v1/ready'}), sleep(checkIntervalMs / 2)]);
			failures.set(router, status === 200 ? 0 : failures.get(router)! + 1);
		}));
		await sleep(checkIntervalMs);
		return isStopped ? undefined : checkAll();
	};

	runInBackground(checkAll);
	const isInRotation = (router: BalancedRouter) => failures.get(router)! < maxFailures;
	const listCandidates = (dataCentre: string): readonly BalancedRouter[] => {
		const near = routers.filter(router => router.dataCentre === dataCentre);
		const ready = near.filter(router => isInRotation(router));
		const far = routers.filter(router => router.dataCentre !== dataCentre && isInRotation(router));
		if (ready.length === 0 && far.length > 0) {
			return far;
		}

		return ready.length * 2 < near.length ? near : ready;
	};

	return {
		choosePort(dataCentre, client, attempt) {
			const candidates = listCandidates(dataCentre);
			return candidates[(client + attempt) % candidates.length]!.edge.port;
		},
		stop() {
			isStopped = true;
		},
	};
};
