export {
	noMembers, noteEnded, noteFirstToken, noteSent, openMember, updateMember,
} from './member.js';
export type {Introduction, Member, Members} from './member.js';
