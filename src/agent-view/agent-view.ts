import {Map} from 'immutable';

/** The load of an endpoint as its agent last reported it. */
export type EndpointLoad = Readonly<{
	running: number;
	waiting: number;
	/** Maximum number of concurrent attempts. */
	capacity: number;
	/** When the report was received, in ms. */
	at: number;
}>;

/** An agent incarnation as this router sees it. */
export type AgentView = Readonly<{
	agent: string;
	address: string;
	pool: string;
	dataCentre: string;
	/** Models that the endpoint serves; empty for a plain service. */
	models: readonly string[];
	/** State of the session with the agent; `gone`: this incarnation has ended for good. */
	link: 'open' | 'closed' | 'gone';
	/** Sequence number of the last session opened with it. */
	session: number;
	/** True if the agent is shutting down and accepts no new attempts. */
	isLeaving: boolean;
	load: EndpointLoad;
	/** Attempts of this router in flight at the agent. */
	open: number;
	/** Attempts dispatched since the last load report. */
	sentSince: number;
	/** Exponentially smoothed time to the first token, or the first byte, in ms; 0 before the first sample. */
	firstToken: number;
	/** Consecutive failures. */
	failures: number;
	/** The time until which routing skips the agent, in ms; 0 if it is not ejected. */
	ejectedUntil: number;
	/** When the current session was opened, in ms. */
	openedAt: number;
	/** The configuration revision that the agent has in force. */
	revision: number;
}>;

/** All agents known to a router, by incarnation. */
export type AgentViews = Map<string, AgentView>;

/** What an agent reports about itself when a session opens. */
export type AgentDescription = Readonly<{
	agent: string;
	address: string;
	pool: string;
	dataCentre: string;
	models: readonly string[];
	capacity: number;
	/** The session's sequence number. */
	session: number;
}>;

const smoothingFactor = 0.2;
const consecutiveFailuresToEject = 3;
const firstEjectionMs = 2000;
const maxEjectionMs = 60_000;

export const noAgents: AgentViews = Map();

/**
Adds or updates an agent whose session has opened.

@param agents - The known agents.
@param introduction - The agent's description of itself.
@param now - The time in ms.
@returns The agents including this one, and the earlier incarnations at the same address that it replaces.
*/
export const openAgentSession = (agents: AgentViews, introduction: AgentDescription, now: number): Readonly<{agents: AgentViews; replaced: readonly string[]}> => {
	const replaced = agents.valueSeq().toArray()
		.filter(view => view.address === introduction.address && view.agent !== introduction.agent && view.link !== 'gone')
		.map(view => view.agent);
	const known = agents.get(introduction.agent);
	const view: AgentView = {
		...introduction,
		link: 'open',
		isLeaving: false,
		load: {
			running: 0, waiting: 0, capacity: introduction.capacity, at: now,
		},
		open: known?.open ?? 0,
		sentSince: 0,
		firstToken: known?.firstToken ?? 0,
		failures: 0,
		ejectedUntil: 0,
		openedAt: now,
		revision: known?.revision ?? 0,
	};
	const updated = replaced.reduce((current, agent) => updateAgent(current, agent, old => ({...old, link: 'gone'})), agents);
	return {agents: updated.set(introduction.agent, view), replaced};
};

/**
Updates one agent if it is known.

@param agents - The agents.
@param agent - The agent's incarnation.
@param change - Computes the agent's new state from the old one.
@returns The agents.
*/
export const updateAgent = (agents: AgentViews, agent: string, change: (view: AgentView) => AgentView): AgentViews => {
	const view = agents.get(agent);
	return view === undefined ? agents : agents.set(agent, change(view));
};

/**
Records an attempt dispatched to an agent.

@param agents - The agents.
@param agent - The agent's incarnation.
@returns The agents.
*/
export const recordDispatch = (agents: AgentViews, agent: string): AgentViews =>
	updateAgent(agents, agent, view => ({...view, open: view.open + 1, sentSince: view.sentSince + 1}));

/**
Records that an attempt has ended. An agent with several consecutive failures is
ejected for a time that doubles with each further failure, up to a maximum.

@param agents - The agents.
@param agent - The agent's incarnation.
@param isSuccess - Whether the endpoint handled the attempt correctly.
@param now - The time in ms.
@returns The agents.
*/
export const recordAttemptEnd = (agents: AgentViews, agent: string, isSuccess: boolean, now: number): AgentViews =>
	updateAgent(agents, agent, view => {
		const failures = isSuccess ? 0 : view.failures + 1;
		const ejectionMs = Math.min(maxEjectionMs, firstEjectionMs * (2 ** Math.min(10, failures - consecutiveFailuresToEject)));
		return {
			...view,
			open: Math.max(0, view.open - 1),
			failures,
			ejectedUntil: failures >= consecutiveFailuresToEject ? now + ejectionMs : 0,
		};
	});

/**
Records the time to the first token of an attempt.

@param agents - The agents.
@param agent - The agent's incarnation.
@param elapsedMs - The time to the first token, in ms.
@returns The agents.
*/
export const recordFirstToken = (agents: AgentViews, agent: string, elapsedMs: number): AgentViews =>
	updateAgent(agents, agent, view => ({
		...view,
		firstToken: view.firstToken === 0 ? elapsedMs : (view.firstToken * (1 - smoothingFactor)) + (elapsedMs * smoothingFactor),
	}));
