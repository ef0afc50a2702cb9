import {readFileSync} from 'node:fs';
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** Resources that a process has used since its start. */
export type Usage = Readonly<{
	/** User and system CPU time. */
	cpuMs: number;
	/** Resident set size. */
	memoryBytes: number;
	/** Bytes read and written through system calls, including sockets. */
	trafficBytes: number;
}>;

const clockTicksPerSecond = 100;

/**
Reads the resource usage of a process from Linux's `/proc`.

@param pid - The id of the process.
@returns Its usage.
@throws Error if the process does not exist.
*/
export const readUsage = (pid: number): Usage => {
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? [];
	const status = readFileSync(`/proc/${pid}/status`, 'utf8');
	const io = readFileSync(`/proc/${pid}/io`, 'utf8');
	const readNumberField = (text: string, name: string) => Number(new RegExp(String.raw`${name}:\s+(\d+)`, 'v').exec(text)?.[1] ?? 0);
	return {
		cpuMs: (Number(fields[11]) + Number(fields[12])) * 1000 / clockTicksPerSecond,
		memoryBytes: readNumberField(status, 'VmRSS') * 1024,
		trafficBytes: readNumberField(io, 'rchar') + readNumberField(io, 'wchar'),
	};
};

setFlagsFromString('--expose_gc');
const collectGarbage = runInNewContext('gc') as () => void;

/**
Measures the heap memory that a value retains.

@param build - Builds the value.
@returns The retained heap in bytes.
*/
export const measureHeapBytes = (build: () => unknown): number => {
	collectGarbage();
	const before = process.memoryUsage().heapUsed;
	const value = build();
	collectGarbage();
	const after = process.memoryUsage().heapUsed;
	return value === undefined ? 0 : after - before;
};

/**
Measures the duration of a call as the minimum over several rounds.

@param call - The call.
@param rounds - The number of rounds.
@returns The shortest duration in microseconds.
*/
export const measureCallUs = (call: () => unknown, rounds = 15): number => Math.min(...Array.from({length: rounds}, () => {
	const start = process.hrtime.bigint();
	call();
	return Number(process.hrtime.bigint() - start) / 1000;
}));

/** A straight line fitted to measured points. */
export type LinearFit = Readonly<{slope: number; intercept: number; /** Largest residual, as a fraction of the measured value. */ error: number}>;

/**
Fits a straight line by least squares.

@param points - Pairs of size and measured value; at least three.
@returns The fitted line.
*/
export const fitLine = (points: ReadonlyArray<readonly [number, number]>): LinearFit => {
	const count = points.length;
	const sum = (pick: (point: readonly [number, number]) => number) => points.reduce((total, point) => total + pick(point), 0);
	const meanX = sum(([x]) => x) / count;
	const meanY = sum(([, y]) => y) / count;
	const slope = sum(([x, y]) => (x - meanX) * (y - meanY)) / sum(([x]) => (x - meanX) ** 2);
	const intercept = meanY - (slope * meanX);
	const error = Math.max(...points.map(([x, y]) => Math.abs(y - intercept - (slope * x)) / Math.max(Math.abs(y), Number.EPSILON)));
	return {slope, intercept, error};
};
