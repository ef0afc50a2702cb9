import {StatsD} from 'hot-shots';
import winston from 'winston';
import {formatLine} from './line.js';
import type {Field} from './line.js';

/** Writes each event as one line of `key=value` pairs, and counts it in StatsD. */
export type Log = Readonly<{
	event: (name: string, fields: Readonly<Record<string, Field>>) => void;
	warn: (name: string, fields: Readonly<Record<string, Field>>) => void;
	/** Records a duration, in ms. */
	time: (metric: string, milliseconds: number, tags?: readonly string[]) => void;
	gauge: (metric: string, value: number) => void;
	close: () => void;
}>;

type LogOptions = Readonly<{
	program: string;
	/** The lowest level that is written; `silent` writes nothing. */
	level: 'debug' | 'info' | 'warn' | 'error' | 'silent';
	/** IP address and port of the StatsD server; no metrics are sent if undefined. */
	metrics: Readonly<{host: string; port: number}> | undefined;
}>;

const lineFormat = winston.format.printf(info => {
	const {level, message, ...fields} = info as Readonly<Record<string, Field>>;
	return formatLine({
		time: new Date().toISOString(), level, event: message, ...fields,
	});
});

/**
Opens the log of a program, on standard error, and its StatsD metrics.

@param options - The program's name, the log level and the StatsD server.
@returns The log.
*/
export const openLog = (options: LogOptions): Log => {
	const logger = winston.createLogger({
		level: options.level === 'silent' ? 'error' : options.level,
		silent: options.level === 'silent',
		format: lineFormat,
		transports: [new winston.transports.Console({stderrLevels: ['debug', 'info', 'warn', 'error']})],
	});
	const metrics = options.metrics === undefined
		? undefined
		: new StatsD({
			host: options.metrics.host, port: options.metrics.port, prefix: 'galena.', globalTags: [`program:${options.program}`], errorHandler: () => undefined,
		});

	const write = (level: 'info' | 'warn') => (name: string, fields: Readonly<Record<string, Field>>) => {
		logger.log(level, name, {program: options.program, ...fields});
		metrics?.increment(`events.${name}`);
	};

	return {
		event: write('info'),
		warn: write('warn'),
		time(metric, milliseconds, tags = []) {
			metrics?.timing(metric, milliseconds, [...tags]);
		},
		gauge(metric, value) {
			metrics?.gauge(metric, value);
		},
		close() {
			metrics?.close(() => undefined);
			logger.close();
		},
	};
};
