#!/usr/bin/env node
import process from 'node:process';
import {SonicBoom} from 'sonic-boom';
import {edgeSettings} from '../edge/settings.js';
import {startEdge} from '../edge/edge.js';
import {backlogLimit, openBoundedLog} from '../log/bounded.js';
import type {EdgeSettings} from '../edge/settings.js';
import {findSettings} from '../platform/index.js';
import {runDaemon} from './program.js';

const openLog = (settings: EdgeSettings) => {
	const output = new SonicBoom({fd: process.stdout.fd, sync: false, maxLength: 2 * backlogLimit});
	output.on('error', () => undefined);
	let waiting = 0;
	output.on('write', (bytes: number) => {
		waiting = Math.max(0, waiting - bytes);
	});
	return openBoundedLog({
		write(line: string) {
			waiting += line.length;
			return output.write(line);
		},
		backlog: () => waiting,
	}, {program: 'galena-edge', host: settings.host.name});
};

await runDaemon({
	name: 'galena-edge',
	description: 'Takes callers\' requests on an entry host and sends them to endpoints directly.',
	schema: edgeSettings,
	defaultSettings: findSettings(),
	start: async settings => startEdge(settings, openLog(settings)),
});
