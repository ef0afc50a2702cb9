export {
	collectOutcomes, formatEntry, formatHeader, formatOutcomes, replayTrace,
} from './trace.js';
export type {ReplayReport, TraceEntry, TraceHeader} from './trace.js';
