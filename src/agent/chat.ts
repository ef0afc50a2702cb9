import {Buffer} from 'node:buffer';
/**
Reads and sets the fields of the chat-completions format that the agent depends on: the output cap, the priority and the
token usage. All other fields pass through unchanged.
*/

type JsonObject = Readonly<Record<string, unknown>>;

/** Limits that the router sets for a chat request. */
export type ChatLimits = Readonly<{
	/** Maximum output tokens over all choices. */
	outputCap: number;
	/** From 0 to 100; higher values are served first. */
	priority: number;
	isStream: boolean;
}>;

/** A chat request as sent to the engine. */
export type PreparedChat = Readonly<{
	/** The request as JSON. */
	body: string;
	/** True if the client requested the usage in the stream. */
	needsUsage: boolean;
}>;

const readObject = (value: unknown): JsonObject => typeof value === 'object' && value !== null ? value as JsonObject : {};

/**
Sets the limits in a chat request. The priority is inverted, since engines serve 0 first.

@param body - The client's request as JSON.
@param limits - The limits to set.
@returns The request for the engine, and whether the client requested the usage.
@throws SyntaxError if the body is not valid JSON.
*/
export const prepareChat = (body: Uint8Array, limits: ChatLimits): PreparedChat => {
	const fields = readObject(JSON.parse(Buffer.from(body).toString('utf8')));
	const choiceCount = typeof fields.n === 'number' ? fields.n : 1;
	const choiceCap = Math.floor(limits.outputCap / Math.max(1, choiceCount));
	const streamOptions = readObject(fields.stream_options);
	const capField = 'max_completion_tokens' in fields ? 'max_completion_tokens' : 'max_tokens';
	const prepared = {
		...fields,
		[capField]: choiceCap,
		priority: 100 - limits.priority,
		...(limits.isStream && {stream_options: {...streamOptions, include_usage: true}}),
	};
	return {body: JSON.stringify(prepared), needsUsage: streamOptions.include_usage === true};
};

/** Token counts as reported by the engine. */
export type Usage = Readonly<{prompt: number; output: number}>;

/**
Reads the usage block of a response or of a stream event.

@param value - The parsed JSON.
@returns The usage in tokens, or undefined if there is none.
*/
export const readUsage = (value: unknown): Usage | undefined => {
	const usage = readObject(readObject(value).usage);
	const {prompt_tokens: prompt, completion_tokens: output} = usage;
	return typeof prompt === 'number' && typeof output === 'number' ? {prompt, output} : undefined;
};

/**
Checks whether an event has generated output.

@param value - The parsed JSON.
@returns True if the event has at least one choice.
*/
export const hasChoices = (value: unknown): boolean => {
	const {choices} = readObject(value);
	return Array.isArray(choices) && choices.length > 0;
};

/**
Returns an upper bound of the tokens in a prompt. A token is at least one byte long.

@param body - The request as JSON.
@returns The upper bound, in tokens.
*/
export const boundPromptTokens = (body: Uint8Array): number => body.byteLength;
