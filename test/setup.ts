import {afterEach} from 'vitest';

// Long synchronous tests in a row would keep a worker from reading the replies of its parent, which time out after 60 s.
afterEach(async () => {
	await new Promise<void>(resolve => {
		setImmediate(resolve);
	});
});
