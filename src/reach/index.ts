export {canDispatch, createReach, handleReach} from './reach.js';
export type {
	Reach, ReachEffect, ReachEvent, RouterBody,
} from './reach.js';
