import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** Collects the garbage of connections before it takes up as much memory as what is held. */
export type GarbageCollector = Readonly<{
	/** Counts bytes that were read in pieces, which are garbage once they are copied. */
	addRead: (bytes: number) => void;
	/** Counts bytes of a large block that is no longer held. */
	addReleased: (bytes: number) => void;
}>;

/** Bytes of young or old garbage after which it is collected. V8 alone lets buffers outside of its heap grow by 64 MB. */
const maxYoungBytes = 8 * 1024 * 1024;
const maxOldBytes = 16 * 1024 * 1024;

type Collect = (options?: Readonly<{type: 'minor'}>) => void;

const openCollect = (): Collect => {
	setFlagsFromString('--expose-gc');
	return runInNewContext('gc') as Collect;
};

/**
Opens a collector, which does nothing while the process needs little memory.

Load pattern: bytes pass through at hundreds of megabytes a second, in buffers whose size V8 hardly takes into account.

@param collectAboveBytes - Resident memory from which garbage is collected, in bytes.
@returns The collector.
*/
export const openGarbageCollector = (collectAboveBytes: number): GarbageCollector => {
	const collect = openCollect();
	let youngBytes = 0;
	let oldBytes = 0;
	const isNeeded = () => process.memoryUsage.rss() > collectAboveBytes;
	return {
		addRead(bytes) {
			youngBytes += bytes;
			if (youngBytes > maxYoungBytes) {
				youngBytes = 0;
				if (isNeeded()) {
					collect({type: 'minor'});
				}
			}
		},
		addReleased(bytes) {
			oldBytes += bytes;
			if (oldBytes > maxOldBytes) {
				oldBytes = 0;
				youngBytes = 0;
				if (isNeeded()) {
					collect();
				}
			}
		},
	};
};
