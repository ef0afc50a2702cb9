export {handleAgent} from './handle.js';
export type {
	AgentEffect, AgentEvent, FenceAnswer, SealAnswer,
} from './messages.js';
export {createAgentState} from './state.js';
export type {
	AgentState, Answer, Attempt, AttemptOutcome, AttemptSpec,
} from './state.js';
