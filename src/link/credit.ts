/** Bytes that an agent may send for an attempt before the router asks for more. */
export const initialCredit = 256 * 1024;

/** An account of how much may be sent; whoever has nothing left waits. */
export type Credit = Readonly<{
	/** Takes bytes, after waiting until the account is above zero. */
	take: (bytes: number) => Promise<void>;
	add: (bytes: number) => void;
	/** Lets everybody through: the attempt is over. */
	close: () => void;
}>;

/**
Creates an account.

@returns The account, with the initial credit.
*/
export const createCredit = (): Credit => {
	let left = initialCredit;
	let isClosed = false;
	let wake: () => void = () => undefined;

	const waitForCredit = async () => new Promise<void>(resolve => {
		wake = resolve;
	});

	return {
		async take(bytes) {
			if (left <= 0 && !isClosed) {
				await waitForCredit();
			}

			left -= bytes;
		},
		add(bytes) {
			left += bytes;
			if (left > 0) {
				wake();
			}
		},
		close() {
			isClosed = true;
			wake();
		},
	};
};
