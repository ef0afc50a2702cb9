export {
	noAgents, recordAttemptEnd, recordFirstToken, recordDispatch, openAgentSession, updateAgent,
} from './agent-view.js';
export type {AgentDescription, AgentView, AgentViews} from './agent-view.js';
