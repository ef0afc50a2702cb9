export {
	decideDispatch, decideIntake, isOverdue, orderWaiting, suggestReturn,
} from './queue.js';
export type {Dispatch, DispatchQuery, Intake} from './queue.js';
