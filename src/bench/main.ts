import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {benchCapacity} from './capacity.js';
import {benchDecide} from './decide.js';
import {benchGrants} from './grants.js';
import {benchOverhead} from './overhead.js';
import {recordTraces} from './record.js';
import {benchRequests} from './requests.js';

/** `npm run bench`: benchmarks this build on this host; compared values come from the same run. */

const write = (line: string) => {
	process.stdout.write(`${line}\n`);
};

const benchmarks: Readonly<Record<string, (write: (line: string) => void) => Promise<void>>> = {
	overhead: benchOverhead, capacity: benchCapacity, grants: benchGrants, decide: benchDecide, record: recordTraces, requests: benchRequests,
};

const options = await yargs(hideBin(process.argv))
	.scriptName('bench')
	.command('$0 [name]', 'measure the overhead of the fleet, its capacity slopes, its grant policies, the time of a decision or the processor time of a request, or record traces', builder => builder
		.positional('name', {choices: Object.keys(benchmarks), default: 'overhead'}))
	.strict()
	.parseAsync();
await benchmarks[String(options.name)]?.(write);
process.exit(0); // eslint-disable-line unicorn/no-process-exit -- Open sockets of stopped processes would keep this process alive.
