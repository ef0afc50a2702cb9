import {writeFileSync} from 'node:fs';
import {performance} from 'node:perf_hooks';
import process from 'node:process';

/** Longest time that a play may take, in ms. */
const maxPlayMs = 110_000;

/** Opens the record of a play: lines with the time since its start, in seconds. */
const openRecord = folder => {
	const startedAt = performance.now();
	const lines = [];
	return {
		write(line) {
			lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${line}`);
		},
		save() {
			writeFileSync(new URL('record.txt', folder), `${lines.join('\n')}\n`);
		},
	};
};

/**
Runs the play of a case. Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the play could not run.

@param folder - URL of the case's folder.
@param play - Called with the record, whether there is the disruption, and a function that takes what is to be closed at the end;
resolves to whether the rule was broken.
*/
export const runCase = async (folder, play) => {
	const record = openRecord(folder);
	const closers = [];
	const hasTrouble = process.env.TROUBLE !== '0';
	const end = code => {
		closers.toReversed().forEach(close => {
			close();
		});
		record.save();
		process.exit(code); // eslint-disable-line unicorn/no-process-exit -- Requests that are never answered would keep the process alive.
	};

	setTimeout(() => {
		record.write('the play took too long');
		end(2);
	}, maxPlayMs);
	try {
		const isBroken = await play({
			record, hasTrouble, closeLater(closer) {
				closers.push(closer);
			},
		});
		record.write(`result: the rule ${isBroken ? 'was broken' : 'held'}`);
		process.stdout.write(`the rule ${isBroken ? 'was broken' : 'held'}${hasTrouble ? '' : ' (without the disruption)'}\n`);
		end(isBroken ? 1 : 0);
	} catch (error) {
		record.write(`could not run: ${error.stack}`);
		process.stderr.write(`could not run: ${error.message}\n`);
		end(2);
	}
};
