/** Bytes that an agent may send for an attempt before the router grants more credit. */
export const initialCreditBytes = 256 * 1024;

/** Credit of a sender in credit-based flow control. */
export type Credit = Readonly<{
	/** Waits until the credit is above zero, then deducts the given number of bytes. The credit may become negative. */
	take: (bytes: number) => Promise<void>;
	/** Grants further bytes. */
	add: (bytes: number) => void;
	/** Releases a waiting sender and ends flow control, because the attempt has ended. */
	close: () => void;
}>;

/**
Creates a flow-control credit.

@returns The credit, with `initialCreditBytes` available.
*/
export const createCredit = (): Credit => {
	let availableBytes = initialCreditBytes;
	let isClosed = false;
	let resume: () => void = () => undefined;

	const waitForCredit = async () => new Promise<void>(resolve => {
		resume = resolve;
	});

	return {
		async take(bytes) {
			if (availableBytes <= 0 && !isClosed) {
				await waitForCredit();
			}

			availableBytes -= bytes;
		},
		add(bytes) {
			availableBytes += bytes;
			if (availableBytes > 0) {
				resume();
			}
		},
		close() {
			isClosed = true;
			resume();
		},
	};
};
