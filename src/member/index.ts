export {
	noMembers, noteEnded, noteFirstToken, noteSent, openMember, updateMember,
} from './member.js';
export type {AgentDescription, Member, Members} from './member.js';
