import {Map} from 'immutable';
import {
	addBill, countFreeTokens, createBudgetGrant, handleGrantEvent, recordDemand, releaseTokens, reserveTokens,
} from '../budget/index.js';
import type {
	BudgetBody, GrantPolicy, BudgetGrant, GrantContext, GrantEffect, GrantEvent,
} from '../budget/index.js';
import {createRandom} from '../random/index.js';
import type {Random} from '../random/index.js';
import {applyCall, formatKey} from '../table/index.js';
import type {Row, Rows} from '../table/index.js';

/**
Compares grant policies in virtual time. The budget state machines of several
routers draw on one in-memory table, and a request that its router cannot cover is
forwarded to another router, as in the fleet.
*/

/** The load of an organisation. */
type Workload = Readonly<{
	name: string;
	/** Requests per second at each router. */
	requestsPerSecond: number;
	/** Tokens reserved for each request. */
	reservedTokens: number;
	/** Minimum and maximum fraction of its reservation that a request uses. */
	usedFractionRange: readonly [number, number];
	/** Duration of a request. */
	durationSeconds: number;
	/** Size of the budget. */
	budgetTokens: number;
}>;

/** The reachability of the store and between routers over time, and the funding of the budget. */
type Scenario = Readonly<{
	name: string;
	canReachStore: (router: number, second: number) => boolean;
	canReachPeer: (from: number, to: number, second: number) => boolean;
	/** Simulated time. */
	durationSeconds: number;
	/** Fraction of the workload's budget that is funded. */
	fundedFraction: number;
}>;

type InFlightRequest = Readonly<{router: number; endSecond: number; tokens: number}>;

/** The state of a simulation, with its totals so far. */
type SimulationState = Readonly<{
	rows: Rows;
	pots: readonly BudgetGrant[];
	running: readonly InFlightRequest[];
	requestCount: number;
	refusedCount: number;
	/** Requests refused although the unspent and unreserved tokens of the budget would have covered them. */
	falseRefusalCount: number;
	spentTokens: number;
	/** Granted but unspent tokens when the fault ended, or at the end of a shorter simulation. */
	strandedTokens: number;
	writeCount: number;
	readCount: number;
}>;

const budgetName = 'b';
const routerCount = 4;
const faultStartSecond = 600;
const faultEndSecond = faultStartSecond + 3600;

const isFaultActive = (second: number): boolean => second >= faultStartSecond && second < faultEndSecond;

const scenarios: readonly Scenario[] = [
	{
		name: 'calm', canReachStore: () => true, canReachPeer: () => true, durationSeconds: 1800, fundedFraction: 1,
	},
	{
		name: 'half of the routers partitioned for an hour',
		canReachStore: (router, second) => !isFaultActive(second) || router < routerCount / 2,
		canReachPeer: (from, to, second) => !isFaultActive(second) || (from < routerCount / 2) === (to < routerCount / 2),
		durationSeconds: faultEndSecond + 300,
		fundedFraction: 1,
	},
	{
		name: 'store down for an hour', canReachStore: (_router, second) => !isFaultActive(second), canReachPeer: () => true, durationSeconds: faultEndSecond + 300, fundedFraction: 1,
	},
	{
		name: 'budget exhausted', canReachStore: () => true, canReachPeer: () => true, durationSeconds: 1800, fundedFraction: 0.02,
	},
];

const workloads: readonly Workload[] = [
	{
		name: 'Studio, large', requestsPerSecond: 0.5, reservedTokens: 700, usedFractionRange: [0.3, 0.8], durationSeconds: 3, budgetTokens: 10_000_000,
	},
	{
		name: 'Studio, small', requestsPerSecond: 0.01, reservedTokens: 700, usedFractionRange: [0.3, 0.8], durationSeconds: 3, budgetTokens: 400_000,
	},
	{
		name: 'Association, large', requestsPerSecond: 0.1, reservedTokens: 9000, usedFractionRange: [0.4, 0.95], durationSeconds: 40, budgetTokens: 30_000_000,
	},
	{
		name: 'Association, small', requestsPerSecond: 0.002, reservedTokens: 9000, usedFractionRange: [0.4, 0.95], durationSeconds: 40, budgetTokens: 1_000_000,
	},
];

const buildPolicy = (kind: GrantPolicy['kind'], fields: Partial<GrantPolicy>): GrantPolicy => ({
	kind, size: 20_000, horizon: 600, share: 0.5, refusalCost: 10, ...fields,
});

const policies: ReadonlyArray<Readonly<{name: string; policy: GrantPolicy}>> = [
	{name: 'fixed 20k', policy: buildPolicy('fixed', {})},
	{name: 'fixed 200k', policy: buildPolicy('fixed', {size: 200_000})},
	{name: 'horizon 10 min', policy: buildPolicy('horizon', {})},
	{name: 'horizon 70 min', policy: buildPolicy('horizon', {horizon: 4200})},
	{name: 'forecast 10 min', policy: buildPolicy('forecast', {})},
	{name: 'forecast 70 min', policy: buildPolicy('forecast', {horizon: 4200})},
	{name: 'newsvendor 70 min', policy: buildPolicy('newsvendor', {horizon: 4200})},
];

type SimulationOptions = Readonly<{workload: Workload; scenario: Scenario; policy: GrantPolicy; random: Random}>;

const applyGrantEvent = (state: SimulationState, router: number, event: GrantEvent, second: number, options: SimulationOptions): SimulationState => {
	const grant = state.pots[router];
	if (grant === undefined) {
		return state;
	}

	const context: GrantContext = {
		router: `r${router}`, routers: routerCount, policy: options.policy, settleIntervalMs: 10_000, canDraw: true,
	};
	const step = handleGrantEvent(grant, event, second * 1000, context);
	const next: SimulationState = {...state, pots: state.pots.with(router, step.state)};
	return step.effects.reduce((current, effect) => applyGrantEffect(current, router, effect, second, options), next);
};

const applyGrantEffect = (state: SimulationState, router: number, effect: GrantEffect, second: number, options: SimulationOptions): SimulationState => {
	if (effect.kind !== 'store') {
		return state;
	}

	if (!options.scenario.canReachStore(router, second)) {
		return applyGrantEvent(state, router, {kind: 'store-replied', reply: {kind: 'lost'}, random: 0}, second, options);
	}

	const {rows, reply} = applyCall(state.rows, effect.call);
	const counted: SimulationState = {
		...state, rows, writeCount: state.writeCount + (effect.call.kind === 'write' ? 1 : 0), readCount: state.readCount + (effect.call.kind === 'write' ? 0 : 1),
	};
	return applyGrantEvent(counted, router, {kind: 'store-replied', reply, random: 0}, second, options);
};

const reserveAt = (state: SimulationState, router: number, tokens: number): SimulationState | undefined => {
	const grant = state.pots[router];
	const reserved = grant === undefined ? undefined : reserveTokens(grant, tokens);
	return reserved === undefined ? undefined : {...state, pots: state.pots.with(router, reserved)};
};

/** Reserves tokens for a request at a router, after drawing a new grant if the present one does not suffice. */
const serveRequest = (state: SimulationState, router: number, second: number, options: SimulationOptions): SimulationState | undefined => {
	const {workload} = options;
	const direct = reserveAt(state, router, workload.reservedTokens);
	return direct ?? reserveAt(applyGrantEvent(state, router, {
		kind: 'draw-wanted', tokens: workload.reservedTokens, least: workload.reservedTokens,
	}, second, options), router, workload.reservedTokens);
};

const readLimit = (state: SimulationState): number => (state.rows.get(`budget/${budgetName}`)?.body as BudgetBody).limit;

const recordRefusal = (state: SimulationState, tokens: number): SimulationState => {
	const inFlight = state.pots.reduce((sum, grant) => sum + grant.reserved, 0);
	const isFalseRefusal = readLimit(state) - state.spentTokens - inFlight >= tokens;
	return {...state, refusedCount: state.refusedCount + 1, falseRefusalCount: state.falseRefusalCount + (isFalseRefusal ? 1 : 0)};
};

const handleArrival = (state: SimulationState, router: number, second: number, options: SimulationOptions): SimulationState => {
	const {workload, scenario, random} = options;
	const withDemand: SimulationState = {
		...state, requestCount: state.requestCount + 1, pots: state.pots.with(router, recordDemand(state.pots[router]!, workload.reservedTokens, second * 1000)),
	};
	const peers = withDemand.pots.map((_grant, peer) => peer).filter(peer => peer !== router && scenario.canReachPeer(router, peer, second));
	const local = serveRequest(withDemand, router, second, options);
	const servingRouter = local === undefined ? peers.find(peer => countFreeTokens(withDemand.pots[peer]!) >= workload.reservedTokens) : router;
	const served = local ?? (servingRouter === undefined ? undefined : reserveAt(withDemand, servingRouter, workload.reservedTokens));
	if (served === undefined || servingRouter === undefined) {
		return recordRefusal(withDemand, workload.reservedTokens);
	}

	const [minFraction, maxFraction] = workload.usedFractionRange;
	const tokens = Math.round(workload.reservedTokens * (minFraction + (random.draw() * (maxFraction - minFraction))));
	return {...served, running: [...served.running, {router: servingRouter, endSecond: second + workload.durationSeconds, tokens}]};
};

const finishRequests = (state: SimulationState, second: number, workload: Workload): SimulationState => {
	const ended = state.running.filter(running => running.endSecond <= second);
	return ended.reduce((current, running, index): SimulationState => {
		const grant = current.pots[running.router]!;
		const billed = releaseTokens(addBill(grant, {
			request: `${second}.${index}`, organisation: 'o', tokens: running.tokens, keyed: false, attempts: [],
		}), workload.reservedTokens);
		return {...current, spentTokens: current.spentTokens + running.tokens, pots: current.pots.with(running.router, billed)};
	}, {...state, running: state.running.filter(running => running.endSecond > second)});
};

const countArrivals = (requestsPerSecond: number, random: Random): number => {
	const minCount = Math.floor(requestsPerSecond);
	return minCount + (random.draw() < requestsPerSecond - minCount ? 1 : 0);
};

const simulateSecond = (state: SimulationState, second: number, options: SimulationOptions): SimulationState => {
	const routers = state.pots.map((_grant, router) => router);
	const arrived = routers.reduce((current, router) =>
		Array.from({length: countArrivals(options.workload.requestsPerSecond, options.random)})
			.reduce<SimulationState>(inner => handleArrival(inner, router, second, options), current), finishRequests(state, second, options.workload));
	return routers.reduce((current, router) => applyGrantEvent(current, router, {kind: 'tick'}, second, options), arrived);
};

type Result = Readonly<{state: SimulationState; seconds: number}>;

const simulate = (workload: Workload, scenario: Scenario, policy: GrantPolicy): Result => {
	const limit = Math.round(workload.budgetTokens * scenario.fundedFraction);
	const budgetRow: Row = {
		table: 'budget', id: budgetName, version: 1, body: {limit, granted: 0},
	};
	const routerRows = Array.from({length: routerCount}, (_, router): Row => ({
		table: 'router', id: `r${router}`, version: 1, state: 'active', body: null,
	}));
	const rows: Rows = Map([budgetRow, ...routerRows].map((row): [string, Row] => [formatKey(row), row]));
	const start: SimulationState = {
		rows,
		pots: Array.from({length: routerCount}, () => createBudgetGrant(budgetName, 0)),
		running: [],
		requestCount: 0,
		refusedCount: 0,
		falseRefusalCount: 0,
		spentTokens: 0,
		strandedTokens: 0,
		writeCount: 0,
		readCount: 0,
	};
	const options: SimulationOptions = {
		workload, scenario, policy, random: createRandom(1),
	};
	const measurementSecond = Math.min(scenario.durationSeconds, faultEndSecond) - 1;
	const end = Array.from({length: scenario.durationSeconds}, (_, second) => second).reduce((state, second) => {
		const advanced = simulateSecond(state, second, options);
		return second === measurementSecond ? {...advanced, strandedTokens: countStranded(advanced)} : advanced;
	}, start);
	return {state: end, seconds: scenario.durationSeconds};
};

const countStranded = (state: SimulationState): number => (state.rows.get(`budget/${budgetName}`)?.body as BudgetBody).granted - state.spentTokens;

/**
Prints, for each policy, workload and scenario, the false refusals, the granted but
unspent tokens when the fault ended (or at the end), and the rate of store writes.

@param write - Receives each line of the result.
*/
export const benchGrants = async (write: (line: string) => void): Promise<void> => {
	write('scenario | workload | policy | requests | refused | falsely refused | stranded tokens | writes/s | overspent');
	scenarios.forEach(scenario => {
		workloads.forEach(workload => {
			policies.forEach(({name, policy}) => {
				const {state, seconds} = simulate(workload, scenario, policy);
				const overspent = Math.max(0, state.spentTokens - readLimit(state));
				write(`${scenario.name} | ${workload.name} | ${name} | ${state.requestCount} | ${state.refusedCount} | ${state.falseRefusalCount} | ${state.strandedTokens} | ${
					(state.writeCount / seconds).toFixed(3)} | ${overspent}`);
			});
		});
	});
};
