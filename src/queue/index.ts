export {
	decideDispatch, isOverdue, orderWaiting, suggestReturn,
} from './queue.js';
export type {Dispatch, DispatchQuery} from './queue.js';
