#!/usr/bin/env node
import {edgeSettings} from '../edge/settings.js';
import {startEdge} from '../edge/edge.js';
import {openOutputLog} from '../log/output.js';
import {findSettings} from '../platform/boot.js';
import {runDaemon} from './program.js';

await runDaemon({
	name: 'galena-edge',
	description: 'Takes callers\' requests on an entry host and sends them to endpoints directly.',
	schema: edgeSettings,
	defaultSettings: findSettings(),
	start: async settings => startEdge(settings, openOutputLog({program: 'galena-edge', host: settings.host.name})),
});
