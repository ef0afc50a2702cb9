#!/usr/bin/env node
import {openOutputLog} from '../log/output.js';
import {findSettings} from '../platform/boot.js';
import {relaySettings, startRelay} from '../relay/index.js';
import {runDaemon} from './program.js';

await runDaemon({
	name: 'galena-relay',
	description: 'Forwards store requests of routers that cannot reach the store directly.',
	schema: relaySettings,
	defaultSettings: findSettings(),
	start: async settings => startRelay(settings, openOutputLog({program: 'galena-relay', host: settings.host.name})),
});
