import type {Endpoint} from '../server/address.js';
import type {StoreReply} from '../store/index.js';
import type {StoreCalls, StoreClient} from '../platform/index.js';
import {runInBackground} from '../loop/background.js';
import {createPaths, learnPath, orderPaths} from '../path/index.js';

/** Milliseconds without an answer after which a call is made by a second way as well: far above the usual 4 ms, and below the time that waiting callers have. */
const secondTryDelay = 120;

/** What a call came to, seen from the way it went. */
const hasAnswered = (reply: StoreReply): boolean => reply.kind !== 'lost' && reply.kind !== 'refused';

type WaysOptions = Readonly<{
	store: StoreClient;
	own: Endpoint;
	relays: readonly Endpoint[];
	clock: () => number;
	/** Told when calls begin to go another way. */
	onChange: (from: string, to: string, reason: string) => void;
}>;

const formatAddress = ({host, port}: Endpoint): string => `${host}:${port}`;

/**
Opens calls to the store that go by a relay where the store itself is not reached.

A transaction that went two ways is made once at the most: both copies require the
same versions, and the one that comes second finds its own change.

@param options - The client, and the ways.
@returns The calls.
*/
export const openWays = (options: WaysOptions): StoreCalls => {
	const {store, clock, onChange} = options;
	let paths = createPaths(formatAddress(options.own), options.relays.map(relay => formatAddress(relay)));
	let [preferred = ''] = orderPaths(paths, clock());

	const learn = (address: string, reply: StoreReply) => {
		paths = learnPath(paths, address, hasAnswered(reply), clock());
		const [next = ''] = orderPaths(paths, clock());
		if (next !== preferred) {
			onChange(preferred, next, 'reason' in reply ? reply.reason : 'it answers');
			preferred = next;
		}
	};

	/** Calls by the preferred way, and by the next one too if that fails or takes long. */
	const race = async (call: (calls: StoreCalls) => Promise<StoreReply>): Promise<StoreReply> => new Promise(resolve => {
		const [first = '', second] = orderPaths(paths, clock());
		let open = 0;
		let isSecondTried = second === undefined;
		let isOver = false;
		let unanswered: StoreReply | undefined;

		const end = (reply: StoreReply) => {
			isOver = true;
			clearTimeout(timer);
			resolve(reply);
		};

		const start = (address: string) => {
			open += 1;
			runInBackground(async () => {
				const reply = await call(store.at(address));
				open -= 1;
				learn(address, reply);
				if (isOver) {
					return;
				}

				if (hasAnswered(reply)) {
					end(reply);
					if (address === second && open > 0) {
						learn(first, {kind: 'lost', reason: `${second} answered sooner`});
					}

					return;
				}

				// A copy that was lost may still be made, whatever became of the other one.
				unanswered = unanswered?.kind === 'lost' ? unanswered : reply;
				startSecond();
				if (open === 0) {
					end(unanswered);
				}
			});
		};

		const startSecond = () => {
			if (!isSecondTried && second !== undefined) {
				isSecondTried = true;
				start(second);
			}
		};

		const timer = setTimeout(startSecond, secondTryDelay);
		start(first);
	});

	return {
		transact: async writes => race(async calls => calls.transact(writes)),
		read: async table => race(async calls => calls.read(table)),
		// The store holds this call back, so that only its end tells whether the way works.
		async follow(table, after) {
			const [first = ''] = orderPaths(paths, clock());
			const reply = await store.at(first).follow(table, after);
			learn(first, reply);
			return reply;
		},
	};
};
