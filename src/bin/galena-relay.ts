#!/usr/bin/env node
import {openOutputLog} from '../log/output.js';
import {findSettings} from '../platform/boot.js';
import {relaySettings, startRelay} from '../relay/index.js';
import {runDaemon} from './program.js';

await runDaemon({
	name: 'galena-relay',
	description: 'Passes routers\' calls on to the store when they cannot reach it themselves.',
	schema: relaySettings,
	defaultSettings: findSettings(),
	start: async settings => startRelay(settings, openOutputLog({program: 'galena-relay', host: settings.host.name})),
});
