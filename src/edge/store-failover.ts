import type {SocketAddress} from '../server/address.js';
import type {StoreReply} from '../store/index.js';
import type {StoreClient, StoreOperations, StoreRequestOptions} from '../platform/index.js';
import {runInBackground} from '../loop/background.js';
import {createStorePaths, recordPathResult, orderPaths} from '../store-path/index.js';

/** Time without the beginning of a reply after which a hedged request is sent over a second path, in ms. Well above the usual latency of 4 ms, and below the time that waiting clients have left. */
const hedgeDelayMs = 120;

/** Returns true if the reply shows that the path to the store works. */
const hasAnswered = (reply: StoreReply): boolean => reply.kind !== 'lost' && reply.kind !== 'refused';

type FailoverOptions = Readonly<{
	client: StoreClient;
	directAddress: SocketAddress;
	relayAddresses: readonly SocketAddress[];
	clock: () => number;
	/** Called when the preferred path changes. */
	onChange: (from: string, to: string, reason: string) => void;
}>;

const formatAddress = ({host, port}: SocketAddress): string => `${host}:${port}`;

/**
Opens store access that fails over to a relay when the store cannot be reached directly.

A transaction that was sent by two paths is applied at most once if it states row versions: both copies
require the same ones, and the second copy finds them changed by the first.

@param options - The store client, the addresses of the store and its relays, and a clock in ms.
@returns The store operations.
*/
export const openFailoverStore = (options: FailoverOptions): StoreOperations => {
	const {client, clock, onChange} = options;
	let paths = createStorePaths(formatAddress(options.directAddress), options.relayAddresses.map(relay => formatAddress(relay)));
	let [preferred = ''] = orderPaths(paths, clock());

	const recordReply = (address: string, reply: StoreReply) => {
		paths = recordPathResult(paths, address, hasAnswered(reply), clock());
		const [next = ''] = orderPaths(paths, clock());
		if (next !== preferred) {
			onChange(preferred, next, 'reason' in reply ? reply.reason : 'path answers again');
			preferred = next;
		}
	};

	/**
	Sends a request over the preferred path, and also over the next path if the first one fails or no reply begins in time.
	Of two replies to a read, only the one that begins first is received: both would share this host's link.
	*/
	const hedgeRequest = async (sendRequest: (operations: StoreOperations, options: StoreRequestOptions) => Promise<StoreReply>, isRead: boolean): Promise<StoreReply> => new Promise(resolve => {
		const [primary = '', secondary] = orderPaths(paths, clock());
		const inFlight = new Map<string, AbortController>();
		let hasSentHedge = secondary === undefined;
		let hasBegun = false;
		let isSettled = false;
		let failedReply: StoreReply | undefined;

		const settle = (reply: StoreReply) => {
			isSettled = true;
			clearTimeout(timer);
			resolve(reply);
		};

		const beginReply = (address: string) => {
			if (hasBegun) {
				return;
			}

			hasBegun = true;
			clearTimeout(timer);
			if (address === secondary && inFlight.has(primary)) {
				recordReply(primary, {kind: 'lost', reason: `${secondary} answered first`});
			}

			if (isRead) {
				[...inFlight].filter(([other]) => other !== address).forEach(([other, controller]) => {
					inFlight.delete(other);
					controller.abort();
				});
			}
		};

		const sendVia = (address: string) => {
			const controller = new AbortController();
			inFlight.set(address, controller);
			runInBackground(async () => {
				const reply = await sendRequest(client.forAddress(address), {
					signal: controller.signal,
					onBegin() {
						beginReply(address);
					},
				});
				if (controller.signal.aborted) {
					return;
				}

				inFlight.delete(address);
				recordReply(address, reply);
				if (isSettled) {
					return;
				}

				if (hasAnswered(reply)) {
					beginReply(address);
					settle(reply);
					return;
				}

				// A copy without a reply may still be applied, whatever the reply to the other copy.
				failedReply = failedReply?.kind === 'lost' ? failedReply : reply;
				sendHedge();
				if (inFlight.size === 0) {
					settle(failedReply);
				}
			});
		};

		const sendHedge = () => {
			if (!hasSentHedge && secondary !== undefined) {
				hasSentHedge = true;
				sendVia(secondary);
			}
		};

		const timer = setTimeout(sendHedge, hedgeDelayMs);
		sendVia(primary);
	});

	return {
		transact: async writes => hedgeRequest(async (operations, options) => operations.transact(writes, options), false),
		read: async table => hedgeRequest(async (operations, options) => operations.read(table, options), true),
		readRow: async key => hedgeRequest(async (operations, options) => operations.readRow(key, options), true),
		// The store delays its reply until rows change, so a slow reply does not indicate a broken path, and no hedged request is sent.
		async follow(table, after, maxBytes) {
			const [primary = ''] = orderPaths(paths, clock());
			const reply = await client.forAddress(primary).follow(table, after, maxBytes);
			recordReply(primary, reply);
			return reply;
		},
	};
};
