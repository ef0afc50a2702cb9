import {readFileSync} from 'node:fs';
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** What a process has used so far. */
export type Usage = Readonly<{
	/** Processor time in ms. */
	cpu: number;
	/** Resident memory in bytes. */
	memory: number;
	/** Bytes read and written, sockets included. */
	traffic: number;
}>;

const ticksPerSecond = 100;

/**
Reads what a process has used, from Linux's `/proc`.

@param pid - The process.
@returns Its usage.
*/
export const readUsage = (pid: number): Usage => {
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? [];
	const status = readFileSync(`/proc/${pid}/status`, 'utf8');
	const io = readFileSync(`/proc/${pid}/io`, 'utf8');
	const readField = (text: string, name: string) => Number(new RegExp(String.raw`${name}:\s+(\d+)`, 'v').exec(text)?.[1] ?? 0);
	return {
		cpu: (Number(fields[11]) + Number(fields[12])) * 1000 / ticksPerSecond,
		memory: readField(status, 'VmRSS') * 1024,
		traffic: readField(io, 'rchar') + readField(io, 'wchar'),
	};
};

setFlagsFromString('--expose_gc');
const collect = runInNewContext('gc') as () => void;

/**
Measures the heap that a value keeps alive.

@param build - Builds the value.
@returns Bytes.
*/
export const measureHeap = (build: () => unknown): number => {
	collect();
	const before = process.memoryUsage().heapUsed;
	const value = build();
	collect();
	const after = process.memoryUsage().heapUsed;
	return value === undefined ? 0 : after - before;
};

/**
Measures how long a call takes, as the best of several rounds.

@param call - The call.
@param rounds - How many rounds.
@returns Microseconds.
*/
export const measureCall = (call: () => unknown, rounds = 15): number => Math.min(...Array.from({length: rounds}, () => {
	const start = process.hrtime.bigint();
	call();
	return Number(process.hrtime.bigint() - start) / 1000;
}));

/** A straight line through measured points. */
export type Fit = Readonly<{slope: number; intercept: number; /** Largest relative distance of a point from the line. */ error: number}>;

/**
Fits a straight line by least squares.

@param points - Pairs of size and measured value; three or more.
@returns The line.
*/
export const fitLine = (points: ReadonlyArray<readonly [number, number]>): Fit => {
	const count = points.length;
	const sum = (pick: (point: readonly [number, number]) => number) => points.reduce((total, point) => total + pick(point), 0);
	const meanX = sum(([x]) => x) / count;
	const meanY = sum(([, y]) => y) / count;
	const slope = sum(([x, y]) => (x - meanX) * (y - meanY)) / sum(([x]) => (x - meanX) ** 2);
	const intercept = meanY - (slope * meanX);
	const error = Math.max(...points.map(([x, y]) => Math.abs(y - intercept - (slope * x)) / Math.max(Math.abs(y), Number.EPSILON)));
	return {slope, intercept, error};
};
