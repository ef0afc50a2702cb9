/**
Stages of the work on requests. `head`: reading and checking heads and bodies of clients; `decision`: handling events; `send`: sending to
endpoints; `stream`: forwarding responses; `log`: writing log lines. Node's own work on sockets is in none of them.
*/
export const workStages = ['head', 'decision', 'send', 'stream', 'log'] as const;

/** A stage of the work on requests. */
export type WorkStage = typeof workStages[number];

/** Whether a process has just begun to take requests: its code is not optimized yet. */
export type Warmth = 'first' | 'later';

/** Number of the first requests of a process whose time is counted apart. */
export const firstRequests = 160;

/** Time since the meter was read last, in ms. */
export type WorkTotals = Readonly<{
	stages: ReadonlyArray<Readonly<{stage: WorkStage; warmth: Warmth; milliseconds: number}>>;
	/** Time spent on requests that have ended, by outcome. */
	outcomes: ReadonlyArray<Readonly<{outcome: string; milliseconds: number; requests: number}>>;
}>;

/** Measures how the event loop spends its time on requests. */
export type WorkMeter = Readonly<{
	/**
	Runs a function, and charges its time to a stage and to a request, if there is one. Time of a stage inside another one counts
	for the inner one alone.
	*/
	measure: <Result>(stage: WorkStage, request: number | undefined, run: () => Result) => Result;
	/** Begins a request, to which the current measurement is charged. */
	begin: (request: number) => void;
	/** Charges what was spent on a request to its outcome. */
	end: (request: number, outcome: string) => void;
	/** Charges the time of the current measurement so far to the outcome of a request that was not begun. */
	endUnnumbered: (outcome: string) => void;
	/** Returns the time since the last call. */
	take: () => WorkTotals;
}>;

type Frame = {readonly stage: WorkStage; request: number | undefined; milliseconds: number; startedAt: number};

/**
Creates a meter of a process that has taken no request.

@param clock - The current time in ms. Time for which the process does not get its processor counts.
@returns The meter.
*/
export const createWorkMeter = (clock: () => number): WorkMeter => {
	let stages = new Map<string, {readonly stage: WorkStage; readonly warmth: Warmth; milliseconds: number}>();
	let outcomes = new Map<string, {readonly outcome: string; milliseconds: number; requests: number}>();
	/** Time spent on requests that have not ended. */
	const open = new Map<number, number>();
	let ended = 0;
	let frame: Frame | undefined;

	const chargeStage = (stage: WorkStage, milliseconds: number) => {
		const warmth: Warmth = ended < firstRequests ? 'first' : 'later';
		const key = `${stage}/${warmth}`;
		const total = stages.get(key);
		if (total === undefined) {
			stages.set(key, {stage, warmth, milliseconds});
		} else {
			total.milliseconds += milliseconds;
		}
	};

	const chargeOutcome = (outcome: string, milliseconds: number) => {
		ended += 1;
		const total = outcomes.get(outcome) ?? {outcome, milliseconds: 0, requests: 0};
		total.milliseconds += milliseconds;
		total.requests += 1;
		outcomes.set(outcome, total);
	};

	/** Adds the time since the frame was entered or left last. */
	const advance = (current: Frame | undefined, now: number) => {
		if (current !== undefined) {
			current.milliseconds += now - current.startedAt;
			current.startedAt = now;
		}
	};

	return {
		measure(stage, request, run) {
			const outer = frame;
			const startedAt = clock();
			advance(outer, startedAt);
			const inner: Frame = {
				stage, request: request ?? outer?.request, milliseconds: 0, startedAt,
			};
			frame = inner;
			try {
				return run();
			} finally {
				const endedAt = clock();
				advance(inner, endedAt);
				chargeStage(stage, inner.milliseconds);
				const spent = inner.request === undefined ? undefined : open.get(inner.request);
				if (spent !== undefined) {
					open.set(inner.request!, spent + inner.milliseconds);
				}

				frame = outer;
				if (outer !== undefined) {
					outer.startedAt = endedAt;
				}
			}
		},
		begin(request) {
			open.set(request, 0);
			if (frame !== undefined) {
				frame.request = request;
			}
		},
		end(request, outcome) {
			const milliseconds = open.get(request) ?? 0;
			open.delete(request);
			chargeOutcome(outcome, milliseconds);
		},
		endUnnumbered(outcome) {
			advance(frame, clock());
			chargeOutcome(outcome, frame?.milliseconds ?? 0);
		},
		take() {
			const totals: WorkTotals = {stages: [...stages.values()], outcomes: [...outcomes.values()]};
			stages = new Map();
			outcomes = new Map();
			return totals;
		},
	};
};
