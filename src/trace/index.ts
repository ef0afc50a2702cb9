export {
	collectTold, formatEntry, formatHead, formatTold, replayTrace,
} from './trace.js';
export type {ReplayReport, TraceEntry, TraceHeader} from './trace.js';
