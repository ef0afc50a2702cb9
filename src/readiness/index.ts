export {
	createReadiness, createReadinessLimits, describeRouter, getShedLag, refusesConnections, sampleIntervalMs, shouldMoveClient, updateReadiness,
} from './readiness.js';
export type {
	Fleet, Neighbour, Readiness, ReadinessLimits, ReadinessSample, WithdrawalScope,
} from './readiness.js';
