/**
The closed list of error kinds, and the HTTP error response of each.

Every error response to a client carries one of these kinds.
*/

/** Whether the request was executed, as far as is known when the error response is sent. */
export type Outcome = 'complete' | 'not-run' | 'unknown';

type ErrorResponse = Readonly<{
	status: number;
	title: string;
	outcome: Outcome;
	/** Seconds after which a retry may succeed; undefined if a retry does not help. */
	retryAfter?: number;
}>;

/** The HTTP error response by error kind. */
export const errorResponses = {
	'bad-request': {status: 400, title: 'The request is malformed', outcome: 'not-run'},
	unauthorised: {status: 401, title: 'The API key is missing or unknown', outcome: 'not-run'},
	'budget-exhausted': {status: 402, title: 'The budget cannot cover the request', outcome: 'not-run'},
	forbidden: {status: 403, title: 'The key does not allow this', outcome: 'not-run'},
	'unknown-class': {status: 404, title: 'The class of work is unknown', outcome: 'not-run'},
	'not-found': {status: 404, title: 'There is nothing at this path', outcome: 'not-run'},
	'method-not-allowed': {status: 405, title: 'The path does not take this method', outcome: 'not-run'},
	'key-required': {status: 400, title: 'Work that may not be repeated needs an Idempotency-Key', outcome: 'not-run'},
	'body-late': {
		status: 408, title: 'The request did not arrive whole in time', outcome: 'not-run', retryAfter: 1,
	},
	'outcome-unknown': {status: 409, title: 'The work may have run; it will not be run again', outcome: 'unknown'},
	'in-progress': {
		status: 409, title: 'The work under this key is still running', outcome: 'unknown', retryAfter: 2,
	},
	'revision-conflict': {status: 412, title: 'The configuration was changed by somebody else', outcome: 'not-run'},
	'too-large': {status: 413, title: 'The request is larger than the limit', outcome: 'not-run'},
	'key-conflict': {status: 422, title: 'The Idempotency-Key was used with another request', outcome: 'not-run'},
	'revision-required': {status: 428, title: 'The change needs an If-Match revision', outcome: 'not-run'},
	'headers-too-large': {status: 431, title: 'The headers are larger than the limit', outcome: 'not-run'},
	overloaded: {
		status: 503, title: 'The target cannot be met at present', outcome: 'not-run', retryAfter: 2,
	},
	'not-ready': {
		status: 503, title: 'The fleet cannot serve this at present', outcome: 'not-run', retryAfter: 5,
	},
	'store-unavailable': {
		status: 503, title: 'The platform\'s store does not answer', outcome: 'not-run', retryAfter: 5,
	},
	'budget-held': {
		status: 503, title: 'Other routers hold what is left of the budget', outcome: 'not-run', retryAfter: 1,
	},
	'claim-unread': {
		status: 503, title: 'Whether the work has run cannot be told at present', outcome: 'unknown', retryAfter: 5,
	},
	'stream-not-resumable': {
		status: 503, title: 'The stream cannot go on where it was begun', outcome: 'not-run', retryAfter: 1,
	},
	'request-condemned': {
		status: 503, title: 'Endpoints have crashed on this request', outcome: 'not-run', retryAfter: 20,
	},
	'prompt-condemned': {
		status: 503, title: 'Endpoints have crashed on a part of the prompt', outcome: 'not-run', retryAfter: 20,
	},
	'endpoint-failed': {
		status: 502, title: 'The endpoint failed before the answer was whole', outcome: 'unknown', retryAfter: 1,
	},
	deadline: {status: 504, title: 'The answer was not whole within the target', outcome: 'unknown'},
	internal: {status: 500, title: 'The fleet failed', outcome: 'unknown'},
} as const satisfies Readonly<Record<string, ErrorResponse>>;

/** One of the closed list of error kinds. */
export type ErrorKind = keyof typeof errorResponses;

/** An error that is returned to a client. */
export type Fault = Readonly<{
	kind: ErrorKind;
	/** The cause, with the name of the invalid field if there is one. */
	detail: string;
	/** Seconds until a retry may succeed; overrides the default of the kind. */
	retryAfter?: number;
}>;

/**
Creates a fault.

@param kind - The error kind.
@param detail - The cause, with the name of the invalid field if there is one.
@param retryAfter - Seconds until a retry may succeed; the default of the kind if undefined.
@returns The fault.
*/
export const createFault = (kind: ErrorKind, detail: string, retryAfter?: number): Fault =>
	retryAfter === undefined ? {kind, detail} : {kind, detail, retryAfter};

/**
Creates the HTTP error response of a fault, with a problem document (RFC 9457).

@param fault - The fault.
@returns The status, headers and problem document.
*/
export const createErrorResponse = (fault: Fault) => {
	const response: ErrorResponse = errorResponses[fault.kind];
	const retryAfter = fault.retryAfter ?? response.retryAfter;
	return {
		status: response.status,
		headers: {
			'content-type': 'application/problem+json',
			'galena-outcome': response.outcome,
			...(retryAfter !== undefined && {'retry-after': String(retryAfter)}),
		},
		problem: {
			type: `urn:galenagauge:${fault.kind}`,
			title: response.title,
			status: response.status,
			kind: fault.kind,
			detail: fault.detail,
			outcome: response.outcome,
		},
	} as const;
};
