export {
	decideDispatch, decideIntake, hasWaitedTooLong, orderQueue, suggestReturn,
} from './queue.js';
export type {Dispatch, DispatchQuery, Intake} from './queue.js';
