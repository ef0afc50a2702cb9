import type {Bill} from '../bill/index.js';
import type {StoreCall, StoreReply} from '../table/index.js';
import type {GrantPolicy} from './policy.js';

/** What happens to a pot. */
export type PotEvent =
	/** Requests lack tokens: `tokens` is what all of them reserve, `least` what the smallest does. */
	| Readonly<{kind: 'draw-wanted'; tokens: number; least: number}>
	/** The store answered the pot's outstanding call. `random` is in [0, 1). */
	| Readonly<{kind: 'store-replied'; reply: StoreReply; random: number}>
	/** Agents no longer keep these attempts. */
	| Readonly<{kind: 'attempts-forgotten'; attempts: readonly string[]}>
	/** Time passes. */
	| Readonly<{kind: 'tick'}>
	/** Everything is to be settled and returned. */
	| Readonly<{kind: 'return-wanted'}>;

/** What a pot asks for. */
export type PotEffect =
	| Readonly<{kind: 'store'; budget: string; call: StoreCall}>
	/** Tokens came, or it is known that none will: waiting requests decide anew. */
	| Readonly<{kind: 'pot-changed'; budget: string; reason: 'drawn' | 'exhausted' | 'unavailable'}>
	/** These bills are durable, or were written by another router. */
	| Readonly<{kind: 'bills-settled'; budget: string; bills: readonly Bill[]; duplicates: readonly Bill[]}>
	/** Another router has fenced this one. */
	| Readonly<{kind: 'fenced'; budget: string}>;

/** What a pot's decisions depend on besides its own state. */
export type PotContext = Readonly<{
	router: string;
	/** Routers known to be alive, this one included. */
	routers: number;
	policy: GrantPolicy;
	/** Milliseconds between two settlements of one pot. */
	settleInterval: number;
	/** True while the router may draw: its row is active and it is not draining. */
	mayDraw: boolean;
	/** Names of safety rules switched off, for the model check alone. */
	broken?: string;
}>;
