import type {Bill} from '../bill/index.js';
import type {StoreCall, StoreReply} from '../table/index.js';
import type {GrantPolicy} from './policy.js';

/** Events that a budget grant handles. */
export type GrantEvent =
	/** Requests are waiting for tokens: `tokens` is what all of them reserve, `least` what the smallest of them reserves. */
	| Readonly<{kind: 'draw-wanted'; tokens: number; least: number}>
	/** The store replied to the grant's call in flight. `random` is in [0, 1). */
	| Readonly<{kind: 'store-replied'; reply: StoreReply; random: number}>
	/** Agents no longer store the usage of these attempts. */
	| Readonly<{kind: 'attempts-forgotten'; attempts: readonly string[]}>
	/** Periodic timer. */
	| Readonly<{kind: 'tick'}>
	/** All bills must be settled and all free tokens returned. */
	| Readonly<{kind: 'return-wanted'}>;

/** Effects that a budget grant asks for. */
export type GrantEffect =
	| Readonly<{kind: 'store'; budget: string; call: StoreCall}>
	/** Tokens were drawn, or none can be: waiting requests must be checked again. */
	| Readonly<{kind: 'pot-changed'; budget: string; reason: 'drawn' | 'exhausted' | 'unavailable'}>
	/** `bills` are durable; another router had already written the requests of `duplicates`. */
	| Readonly<{kind: 'bills-settled'; budget: string; bills: readonly Bill[]; duplicates: readonly Bill[]}>
	/** Another router has fenced this one. */
	| Readonly<{kind: 'fenced'; budget: string}>;

/** Input to a grant's decisions besides its own state. */
export type GrantContext = Readonly<{
	router: string;
	/** Number of routers known to be alive, including this one. */
	routers: number;
	policy: GrantPolicy;
	/** Interval between settlements of one grant. */
	settleIntervalMs: number;
	/** True while the router may draw tokens: its row is active and it is not draining. */
	canDraw: boolean;
	/** Safety rule that is disabled; only for the model checker. */
	disabledRule?: string;
}>;
