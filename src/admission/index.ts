export {
	computeDispatchBound, emptyDemand, findFirstArrival, isSurging, predictRoomAfterMs, recordHeldBack, recordOffered, recordRejected, recordSent,
} from './admission.js';
export type {Candidate, Demand} from './admission.js';
