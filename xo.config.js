/** @type {import('xo').FlatXoConfig} */
const config = [
	{
		ignores: ['dist/**', 'src/gen/**'],
	},
	{
		files: ['**/*.{js,ts}'],
		rules: {
			// House style: type imports are kept apart from value imports.
			'import-x/no-duplicates': 'off',
			// House style: control flow is by array methods.
			'unicorn/no-array-for-each': 'off',
			'unicorn/no-array-reduce': 'off',
			// The constructors of immutable's collections are called without `new`.
			'new-cap': ['error', {capIsNewExceptions: ['List', 'Map', 'OrderedMap', 'Set', 'Seq']}],
			// JSON, which the table service keeps, has null.
			'@typescript-eslint/no-restricted-types': 'off',
			// Parts of a stream are read and written in their order.
			'no-await-in-loop': 'off',
			// Decisions take the state, what happened, when, and for the model check a rule to break.
			'max-params': ['error', {max: 5}],
		},
	},
	{
		// Programs end with exit codes.
		files: ['src/bin/**/*.ts'],
		rules: {
			'unicorn/no-process-exit': 'off',
		},
	},
	{
		// Names of published protocols, which are not ours to choose.
		files: [
			'src/platform/*.ts',
			'src/edge/{http-proxy,edge}.ts',
			'src/table/{protocol,client}.ts',
			'src/standin/**/*.ts',
			'src/agent/{chat,chat.test}.ts',
			'src/router/{validate-request,validate-request.test,response-forwarder.test,service-registry,pending-request,operator}.ts',
			'src/settings/settings.ts',
			'src/local/demo.ts',
			'src/bench/{processes,capacity,overhead,record}.ts',
			'test/**/*.ts',
		],
		rules: {
			'@typescript-eslint/naming-convention': 'off',
		},
	},
];

export default config;
