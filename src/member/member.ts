import {Map} from 'immutable';

/** What an agent last said of its endpoint. */
export type LoadReport = Readonly<{
	running: number;
	waiting: number;
	/** Attempts that may run at once. */
	capacity: number;
	/** When the report came, in ms. */
	at: number;
}>;

/** An agent incarnation as this router sees it. */
export type Member = Readonly<{
	agent: string;
	address: string;
	pool: string;
	dataCentre: string;
	/** Models that the endpoint serves; empty for a plain service. */
	models: readonly string[];
	link: 'open' | 'closed' | 'gone';
	/** Numbers the sessions opened with it. */
	session: number;
	isLeaving: boolean;
	load: LoadReport;
	/** This router's attempts that run there. */
	open: number;
	/** Attempts sent since the last report. */
	sentSince: number;
	/** Smoothed milliseconds to the first token, or the first byte. */
	firstToken: number;
	/** Failures in a row. */
	failures: number;
	/** Until when it is passed over, in ms. */
	ejectedUntil: number;
	/** When its session was opened, in ms. */
	openedAt: number;
	/** The configuration revision that the agent has in force. */
	revision: number;
}>;

/** All agents that a router knows, by incarnation. */
export type Members = Map<string, Member>;

/** What an agent says of itself when a session opens. */
export type Introduction = Readonly<{
	agent: string;
	address: string;
	pool: string;
	dataCentre: string;
	models: readonly string[];
	capacity: number;
	/** The session's number. */
	session: number;
}>;

const smoothing = 0.2;
const failuresToEject = 3;
const firstEjection = 2000; // Milliseconds
const maxEjection = 60_000; // Milliseconds

/** No agents. */
export const noMembers: Members = Map();

/**
Takes up an agent whose session has opened.

@param members - The agents known.
@param introduction - What the agent says of itself.
@param now - The time in ms.
@returns The agents with this one, and the incarnations it stands in for at its address.
*/
export const openMember = (members: Members, introduction: Introduction, now: number): Readonly<{members: Members; replaced: readonly string[]}> => {
	const replaced = members.valueSeq().toArray()
		.filter(member => member.address === introduction.address && member.agent !== introduction.agent && member.link !== 'gone')
		.map(member => member.agent);
	const known = members.get(introduction.agent);
	const member: Member = {
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
	const without = replaced.reduce((current, agent) => updateMember(current, agent, old => ({...old, link: 'gone'})), members);
	return {members: without.set(introduction.agent, member), replaced};
};

/**
Changes one agent if it is known.

@param members - The agents.
@param agent - The agent's incarnation.
@param change - From the old view to the new one.
@returns The agents.
*/
export const updateMember = (members: Members, agent: string, change: (member: Member) => Member): Members => {
	const member = members.get(agent);
	return member === undefined ? members : members.set(agent, change(member));
};

/**
Notes an attempt sent to an agent.

@param members - The agents.
@param agent - The agent's incarnation.
@returns The agents.
*/
export const noteSent = (members: Members, agent: string): Members =>
	updateMember(members, agent, member => ({...member, open: member.open + 1, sentSince: member.sentSince + 1}));

/**
Notes that an attempt has ended.

@param members - The agents.
@param agent - The agent's incarnation.
@param isGood - Whether the endpoint did what it should.
@param now - The time in ms.
@returns The agents; one that failed several times in a row is passed over for a while.
*/
export const noteEnded = (members: Members, agent: string, isGood: boolean, now: number): Members =>
	updateMember(members, agent, member => {
		const failures = isGood ? 0 : member.failures + 1;
		const pause = Math.min(maxEjection, firstEjection * (2 ** Math.min(10, failures - failuresToEject)));
		return {
			...member,
			open: Math.max(0, member.open - 1),
			failures,
			ejectedUntil: failures >= failuresToEject ? now + pause : 0,
		};
	});

/**
Notes how long an attempt took to its first token.

@param members - The agents.
@param agent - The agent's incarnation.
@param elapsed - Milliseconds.
@returns The agents.
*/
export const noteFirstToken = (members: Members, agent: string, elapsed: number): Members =>
	updateMember(members, agent, member => ({
		...member,
		firstToken: member.firstToken === 0 ? elapsed : (member.firstToken * (1 - smoothing)) + (elapsed * smoothing),
	}));
