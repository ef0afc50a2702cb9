import {Map} from 'immutable';
import {createAllowance} from '../allowance/index.js';
import type {Allowance, AllowanceBounds} from '../allowance/index.js';
import type {Catalog} from '../catalog/index.js';
import type {Loads, PeerLoads} from '../gossip/index.js';
import type {Flight} from '../flight/index.js';
import type {Step} from '../loop/loop.js';
import {createPurse} from '../purse/index.js';
import type {Purse} from '../purse/index.js';
import {emptyRegistry} from '../registry/index.js';
import type {Registry} from '../registry/index.js';
import type {EdgeEffect} from './messages.js';

/** What an edge knows and has under way. */
export type EdgeState = Readonly<{
	dataCentre: string;
	repeats: AllowanceBounds;
	catalog: Catalog | undefined;
	registry: Registry;
	/** True once the registry has been read. */
	hasRegistry: boolean;
	purse: Purse;
	allowance: Allowance;
	flights: Map<number, Flight>;
	/** What the peers have under way, by router, and all of it by endpoint. */
	peers: PeerLoads;
	peerSums: Loads;
	/** When the peers were told last, in ms. */
	toldAt: number;
	/** When endpoints that have gone or say nothing were looked for last, in ms. */
	lookedAt: number;
	isStopping: boolean;
}>;

/** A decision of the edge. */
export type EdgeStep = Step<EdgeState, EdgeEffect>;

/** What a process is told at its start. */
export type EdgeOptions = Readonly<{
	dataCentre: string;
	/** Key of its row in the store. */
	router: string;
	incarnation: string;
	/** Where peers reach it. */
	peerAddress: string;
	repeats: AllowanceBounds;
}>;

/** When the process began: the clock of the edge's decisions counts from there. Milliseconds. */
const processStart = 0;

/**
Creates the state of a process that has just started.

@param options - What it is told.
@returns The state: nothing is known, and no call can be served.
*/
export const createEdge = (options: EdgeOptions): EdgeState => ({
	dataCentre: options.dataCentre,
	repeats: options.repeats,
	catalog: undefined,
	registry: emptyRegistry,
	hasRegistry: false,
	purse: createPurse(options.router, options.incarnation, processStart, options.peerAddress),
	allowance: createAllowance(),
	flights: Map(),
	peers: Map(),
	peerSums: Map(),
	toldAt: 0,
	lookedAt: 0,
	isStopping: false,
});

/**
Tells whether new connections are welcome.

@param state - The edge.
@returns True once configuration and registry are known, until the process is told to stop.
*/
export const isReady = (state: EdgeState): boolean =>
	!state.isStopping && state.catalog !== undefined && state.hasRegistry && (state.purse.isOpen || state.catalog.budgets.isEmpty());

/**
Tells whether nothing is held of any budget any more.

@param state - The edge.
@returns True once all of it has gone back.
*/
export const hasReturned = (state: EdgeState): boolean =>
	state.purse.sync.step === 'idle' && state.purse.holds.every(hold => hold.held === 0);
