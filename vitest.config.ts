import {defineConfig} from 'vitest/config';

export default defineConfig({
	test: {
		include: ['src/**/*.test.ts', 'test/**/*.test.ts'],
		setupFiles: ['test/setup.ts'],
		testTimeout: 60_000,
		hookTimeout: 60_000,
		expect: {poll: {timeout: 10_000}},
		pool: 'forks',
	},
});
