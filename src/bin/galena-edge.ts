#!/usr/bin/env node
import {edgeSettings} from '../edge/settings.js';
import {startEdge} from '../edge/edge.js';
import {openStdoutLog} from '../log/stdout.js';
import {getSettingsPath} from '../platform/settings-path.js';
import {warmUp} from '../warm-up/index.js';
import {runDaemon} from './program.js';

await runDaemon({
	name: 'galena-edge',
	description: 'Accepts client requests on an ingress host and forwards them directly to endpoints.',
	schema: edgeSettings,
	defaultSettings: getSettingsPath(),
	start: async settings => startEdge(settings, openStdoutLog({program: 'galena-edge', host: settings.host.name}), {
		...(settings.start.initial && {
			prepare: async (signal: AbortSignal) => warmUp(settings, {maxRequests: settings.start['warm-up-requests'], maxMs: settings.start['warm-up'], signal}),
		}),
	}),
});
