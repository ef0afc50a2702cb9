#!/usr/bin/env node
import {openStdoutLog} from '../log/stdout.js';
import {getSettingsPath} from '../platform/settings-path.js';
import {relaySettings, startRelay} from '../relay/index.js';
import {runDaemon} from './program.js';

await runDaemon({
	name: 'galena-relay',
	description: 'Forwards store requests of routers that cannot reach the store directly.',
	schema: relaySettings,
	defaultSettings: getSettingsPath(),
	start: async settings => startRelay(settings, openStdoutLog({program: 'galena-relay', host: settings.host.name})),
});
