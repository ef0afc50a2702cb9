import {Map} from 'immutable';
import {
	addBill, countFree, createPot, handlePot, noteDemand, releaseTokens, reserveTokens,
} from '../budget/index.js';
import type {
	BudgetBody, GrantPolicy, Pot, PotContext, PotEffect, PotEvent,
} from '../budget/index.js';
import {createRandom} from '../random/index.js';
import type {Random} from '../random/index.js';
import {applyCall, formatKey} from '../table/index.js';
import type {Row, Rows} from '../table/index.js';

/**
Compares grant policies under virtual time: the project's own pots of several
routers draw on one fake table, and requests that one router refuses are forwarded
to the others, as the fleet does.
*/

/** What an organisation asks for. */
type Mix = Readonly<{
	name: string;
	/** Requests a second at each router. */
	rate: number;
	/** Tokens reserved for a request. */
	cap: number;
	/** Part of the reservation that a request really costs, at the least and at the most. */
	use: readonly [number, number];
	/** Seconds that a request runs. */
	runs: number;
	/** Tokens in the budget. */
	limit: number;
}>;

/** Who can reach the store, and whom a router can reach. */
type Condition = Readonly<{
	name: string;
	reachesStore: (router: number, second: number) => boolean;
	reachesPeer: (from: number, to: number, second: number) => boolean;
	/** Seconds that are simulated. */
	length: number;
	/** Part of the mix's budget that is paid in. */
	funds: number;
}>;

type Running = Readonly<{router: number; ends: number; tokens: number}>;

type Sim = Readonly<{
	rows: Rows;
	pots: readonly Pot[];
	running: readonly Running[];
	asked: number;
	refused: number;
	/** Refused although the budget's unspent tokens would have covered the request. */
	falselyRefused: number;
	spent: number;
	/** Tokens that sat unused in grants when the fault ended, or at the end. */
	stranded: number;
	writes: number;
	reads: number;
}>;

const budget = 'b';
const routerCount = 4;
const faultStart = 600; // Seconds
const faultEnd = faultStart + 3600; // Seconds

const isFault = (second: number): boolean => second >= faultStart && second < faultEnd;

const conditions: readonly Condition[] = [
	{
		name: 'calm', reachesStore: () => true, reachesPeer: () => true, length: 1800, funds: 1,
	},
	{
		name: 'half cut off for an hour',
		reachesStore: (router, second) => !isFault(second) || router < routerCount / 2,
		reachesPeer: (from, to, second) => !isFault(second) || (from < routerCount / 2) === (to < routerCount / 2),
		length: faultEnd + 300,
		funds: 1,
	},
	{
		name: 'store down for an hour', reachesStore: (_router, second) => !isFault(second), reachesPeer: () => true, length: faultEnd + 300, funds: 1,
	},
	{
		name: 'budget runs out', reachesStore: () => true, reachesPeer: () => true, length: 1800, funds: 0.02,
	},
];

const mixes: readonly Mix[] = [
	{
		name: 'Studio, large', rate: 0.5, cap: 700, use: [0.3, 0.8], runs: 3, limit: 10_000_000,
	},
	{
		name: 'Studio, small', rate: 0.01, cap: 700, use: [0.3, 0.8], runs: 3, limit: 400_000,
	},
	{
		name: 'Association, large', rate: 0.1, cap: 9000, use: [0.4, 0.95], runs: 40, limit: 30_000_000,
	},
	{
		name: 'Association, small', rate: 0.002, cap: 9000, use: [0.4, 0.95], runs: 40, limit: 1_000_000,
	},
];

const describePolicy = (kind: GrantPolicy['kind'], fields: Partial<GrantPolicy>): GrantPolicy => ({
	kind, size: 20_000, horizon: 600, share: 0.5, refusalCost: 10, ...fields,
});

const policies: ReadonlyArray<Readonly<{name: string; policy: GrantPolicy}>> = [
	{name: 'fixed 20k', policy: describePolicy('fixed', {})},
	{name: 'fixed 200k', policy: describePolicy('fixed', {size: 200_000})},
	{name: 'horizon 10 min', policy: describePolicy('horizon', {})},
	{name: 'horizon 70 min', policy: describePolicy('horizon', {horizon: 4200})},
	{name: 'forecast 10 min', policy: describePolicy('forecast', {})},
	{name: 'forecast 70 min', policy: describePolicy('forecast', {horizon: 4200})},
	{name: 'newsvendor 70 min', policy: describePolicy('newsvendor', {horizon: 4200})},
];

type Setting = Readonly<{mix: Mix; condition: Condition; policy: GrantPolicy; random: Random}>;

const postPot = (sim: Sim, router: number, event: PotEvent, second: number, setting: Setting): Sim => {
	const pot = sim.pots[router];
	if (pot === undefined) {
		return sim;
	}

	const context: PotContext = {
		router: `r${router}`, routers: routerCount, policy: setting.policy, settleInterval: 10_000, mayDraw: true,
	};
	const step = handlePot(pot, event, second * 1000, context);
	const next: Sim = {...sim, pots: sim.pots.with(router, step.state)};
	return step.effects.reduce((current, effect) => followPot(current, router, effect, second, setting), next);
};

const followPot = (sim: Sim, router: number, effect: PotEffect, second: number, setting: Setting): Sim => {
	if (effect.kind !== 'store') {
		return sim;
	}

	if (!setting.condition.reachesStore(router, second)) {
		return postPot(sim, router, {kind: 'store-replied', reply: {kind: 'lost'}, random: 0}, second, setting);
	}

	const {rows, reply} = applyCall(sim.rows, effect.call);
	const counted: Sim = {
		...sim, rows, writes: sim.writes + (effect.call.kind === 'write' ? 1 : 0), reads: sim.reads + (effect.call.kind === 'write' ? 0 : 1),
	};
	return postPot(counted, router, {kind: 'store-replied', reply, random: 0}, second, setting);
};

const reserveAt = (sim: Sim, router: number, cap: number): Sim | undefined => {
	const pot = sim.pots[router];
	const reserved = pot === undefined ? undefined : reserveTokens(pot, cap);
	return reserved === undefined ? undefined : {...sim, pots: sim.pots.with(router, reserved)};
};

/** Serves a request at a router, from its grant or from a new draw. */
const serveAt = (sim: Sim, router: number, second: number, setting: Setting): Sim | undefined => {
	const {mix} = setting;
	const direct = reserveAt(sim, router, mix.cap);
	return direct ?? reserveAt(postPot(sim, router, {kind: 'draw-wanted', tokens: mix.cap, least: mix.cap}, second, setting), router, mix.cap);
};

const limitOf = (sim: Sim): number => (sim.rows.get(`budget/${budget}`)?.body as BudgetBody).limit;

const refuse = (sim: Sim, cap: number): Sim => {
	const inFlight = sim.pots.reduce((sum, pot) => sum + pot.reserved, 0);
	const isFalse = limitOf(sim) - sim.spent - inFlight >= cap;
	return {...sim, refused: sim.refused + 1, falselyRefused: sim.falselyRefused + (isFalse ? 1 : 0)};
};

const arrive = (sim: Sim, router: number, second: number, setting: Setting): Sim => {
	const {mix, condition, random} = setting;
	const noted: Sim = {
		...sim, asked: sim.asked + 1, pots: sim.pots.with(router, noteDemand(sim.pots[router]!, mix.cap, second * 1000)),
	};
	const peers = noted.pots.map((_pot, peer) => peer).filter(peer => peer !== router && condition.reachesPeer(router, peer, second));
	const local = serveAt(noted, router, second, setting);
	const place = local === undefined ? peers.find(peer => countFree(noted.pots[peer]!) >= mix.cap) : router;
	const served = local ?? (place === undefined ? undefined : reserveAt(noted, place, mix.cap));
	if (served === undefined || place === undefined) {
		return refuse(noted, mix.cap);
	}

	const [least, most] = mix.use;
	const tokens = Math.round(mix.cap * (least + (random.draw() * (most - least))));
	return {...served, running: [...served.running, {router: place, ends: second + mix.runs, tokens}]};
};

const finish = (sim: Sim, second: number, mix: Mix): Sim => {
	const ended = sim.running.filter(running => running.ends <= second);
	return ended.reduce((current, running, index): Sim => {
		const pot = current.pots[running.router]!;
		const billed = releaseTokens(addBill(pot, {
			request: `${second}.${index}`, organisation: 'o', tokens: running.tokens, keyed: false, attempts: [],
		}), mix.cap);
		return {...current, spent: current.spent + running.tokens, pots: current.pots.with(running.router, billed)};
	}, {...sim, running: sim.running.filter(running => running.ends > second)});
};

const countArrivals = (rate: number, random: Random): number => {
	const whole = Math.floor(rate);
	return whole + (random.draw() < rate - whole ? 1 : 0);
};

const playSecond = (sim: Sim, second: number, setting: Setting): Sim => {
	const routers = sim.pots.map((_pot, router) => router);
	const arrived = routers.reduce((current, router) =>
		Array.from({length: countArrivals(setting.mix.rate, setting.random)}).reduce<Sim>(inner => arrive(inner, router, second, setting), current), finish(sim, second, setting.mix));
	return routers.reduce((current, router) => postPot(current, router, {kind: 'tick'}, second, setting), arrived);
};

type Result = Readonly<{sim: Sim; seconds: number}>;

const simulate = (mix: Mix, condition: Condition, policy: GrantPolicy): Result => {
	const limit = Math.round(mix.limit * condition.funds);
	const budgetRow: Row = {
		table: 'budget', id: budget, version: 1, body: {limit, granted: 0},
	};
	const routerRows = Array.from({length: routerCount}, (_, router): Row => ({
		table: 'router', id: `r${router}`, version: 1, state: 'active', body: null,
	}));
	const rows: Rows = Map([budgetRow, ...routerRows].map((row): [string, Row] => [formatKey(row), row]));
	const start: Sim = {
		rows, pots: Array.from({length: routerCount}, () => createPot(budget, 0)), running: [], asked: 0, refused: 0, falselyRefused: 0, spent: 0, stranded: 0, writes: 0, reads: 0,
	};
	const setting: Setting = {
		mix, condition, policy, random: createRandom(1),
	};
	const measured = Math.min(condition.length, faultEnd) - 1;
	const end = Array.from({length: condition.length}, (_, second) => second).reduce((sim, second) => {
		const played = playSecond(sim, second, setting);
		return second === measured ? {...played, stranded: countStranded(played)} : played;
	}, start);
	return {sim: end, seconds: condition.length};
};

const countStranded = (sim: Sim): number => (sim.rows.get(`budget/${budget}`)?.body as BudgetBody).granted - sim.spent;

/**
Prints, for each policy, mix and condition, the false refusals, the tokens that
sat unused in grants when the fault ended (or at the end), and the store's writes.

@param write - Takes each line of the result.
*/
export const benchGrants = async (write: (line: string) => void): Promise<void> => {
	write('condition | mix | policy | asked | refused | falsely | stranded tokens | writes/s | overspent');
	conditions.forEach(condition => {
		mixes.forEach(mix => {
			policies.forEach(({name, policy}) => {
				const {sim, seconds} = simulate(mix, condition, policy);
				const overspent = Math.max(0, sim.spent - limitOf(sim));
				write(`${condition.name} | ${mix.name} | ${name} | ${sim.asked} | ${sim.refused} | ${sim.falselyRefused} | ${sim.stranded} | ${(sim.writes / seconds).toFixed(3)} | ${overspent}`);
			});
		});
	});
};
