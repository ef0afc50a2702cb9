import {Buffer} from 'node:buffer';
/**
What an agent has to know of the published chat-completions format: where the
caps are, and where the usage is. All other fields pass through untouched.
*/

type Fields = Readonly<Record<string, unknown>>;

/** What an order allows an engine to do. */
export type ChatLimits = Readonly<{
	/** Output tokens at the most, over all choices. */
	outputCap: number;
	priority: number;
	isStream: boolean;
}>;

/** A chat request as the engine gets it. */
export type PreparedChat = Readonly<{
	body: string;
	/** True if the caller asked for the usage in the stream. */
	wantsUsage: boolean;
}>;

const readFields = (value: unknown): Fields => typeof value === 'object' && value !== null ? value as Fields : {};

/**
Sets the caps of a chat request. The engine's priority counts down: 0 is served first.

@param body - The caller's JSON.
@param limits - What the order allows.
@returns The engine's JSON.
*/
export const prepareChat = (body: Uint8Array, limits: ChatLimits): PreparedChat => {
	const fields = readFields(JSON.parse(Buffer.from(body).toString('utf8')));
	const choices = typeof fields.n === 'number' ? fields.n : 1;
	const cap = Math.floor(limits.outputCap / Math.max(1, choices));
	const options = readFields(fields.stream_options);
	const capName = 'max_completion_tokens' in fields ? 'max_completion_tokens' : 'max_tokens';
	const prepared = {
		...fields,
		[capName]: cap,
		priority: 100 - limits.priority,
		...(limits.isStream && {stream_options: {...options, include_usage: true}}),
	};
	return {body: JSON.stringify(prepared), wantsUsage: options.include_usage === true};
};

/** Tokens as the engine states them. */
export type Usage = Readonly<{prompt: number; output: number}>;

/**
Reads the usage block of an answer or of a stream's event.

@param value - The parsed JSON.
@returns The usage, if it is there.
*/
export const readUsage = (value: unknown): Usage | undefined => {
	const usage = readFields(readFields(value).usage);
	const {prompt_tokens: prompt, completion_tokens: output} = usage;
	return typeof prompt === 'number' && typeof output === 'number' ? {prompt, output} : undefined;
};

/**
Tells whether an event carries generated tokens.

@param value - The parsed JSON.
@returns True if one of its choices has a delta.
*/
export const hasChoices = (value: unknown): boolean => {
	const {choices} = readFields(value);
	return Array.isArray(choices) && choices.length > 0;
};

/**
Counts the tokens of a prompt from above: no token is shorter than a byte.

@param body - The request's JSON.
@returns Tokens.
*/
export const boundPrompt = (body: Uint8Array): number => body.byteLength;
