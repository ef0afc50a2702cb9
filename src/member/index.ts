export {
	noAgents, recordAttemptEnd, recordFirstToken, recordDispatch, openAgentSession, updateAgent,
} from './member.js';
export type {AgentDescription, AgentView, AgentViews} from './member.js';
