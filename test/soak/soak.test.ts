import {mkdirSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {describe, expect, test} from 'vitest';
import {runSoak} from './soak.js';

/** Seeds that failed once, each with its cause; they stay. */
const regressions: ReadonlyArray<Readonly<{seed: number; cause: string}>> = [
	{seed: 38, cause: 'a process got the port that another seed had just been given; each port is given out once now'},
];

/** Seeds of a run by hand: SOAK_FROM and SOAK_SEEDS. */
const from = Number(process.env.SOAK_FROM ?? 1);
const seeds = Array.from({length: Number(process.env.SOAK_SEEDS ?? 2)}, (_, index) => from + index);

const play = async (seed: number) => {
	const result = await runSoak(seed);
	if (result.violations.length > 0) {
		mkdirSync('dist/soak', {recursive: true});
		writeFileSync(`dist/soak/${seed}.log`, [...result.violations, ...result.faults, ...result.logs].join('\n'));
	}

	process.stdout.write(`seed=${seed} asked=${result.asked} served=${result.served} faults="${result.faults.join('; ')}"\n`);
	expect(result.violations).toEqual([]);
};

describe('routers and a relay as processes, with faults from outside', () => {
	test.concurrent.each(seeds)('seed %i', play);
	test.each(regressions)('seed $seed, which failed once: $cause', async ({seed}) => play(seed));
});
