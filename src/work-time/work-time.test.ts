import {expect, test} from 'vitest';
import {createWorkMeter} from './index.js';

/** Starts a meter on a fake clock. */
const startMeter = () => {
	let now = 0;
	const meter = createWorkMeter(() => now);
	const spend = (milliseconds: number) => {
		now += milliseconds;
	};

	const sumStage = (stages: ReturnType<typeof meter.take>['stages'], stage: string) => stages.filter(each => each.stage === stage).reduce((sum, {milliseconds}) => sum + milliseconds, 0);
	return {meter, spend, sumStage};
};

test('time of a stage inside another one counts for the inner one alone', () => {
	const {meter, spend, sumStage} = startMeter();
	meter.measure('decision', undefined, () => {
		spend(3);
		meter.measure('log', undefined, () => {
			spend(2);
		});
		spend(1);
	});
	const {stages} = meter.take();
	expect([sumStage(stages, 'decision'), sumStage(stages, 'log')]).toEqual([4, 2]);
	expect(meter.take().stages).toEqual([]);
});

test('the work on a request is charged to its outcome, also that in stages that name no request', () => {
	const {meter, spend} = startMeter();
	meter.measure('head', undefined, () => {
		meter.begin(1);
		spend(1);
	});
	meter.measure('send', 1, () => {
		spend(2);
		meter.measure('log', undefined, () => {
			spend(4);
		});
	});
	meter.end(1, 'caller-left');
	meter.measure('stream', 1, () => {
		spend(8);
	});
	meter.measure('head', undefined, () => {
		spend(16);
		meter.endUnnumbered('shed');
	});
	expect(meter.take().outcomes).toEqual([{outcome: 'caller-left', milliseconds: 7, requests: 1}, {outcome: 'shed', milliseconds: 16, requests: 1}]);
});

test('work on the first requests of a process is told from later work', () => {
	const {meter, spend} = startMeter();
	Array.from({length: 200}, (_, index) => index).forEach(request => {
		meter.begin(request);
		meter.measure('decision', request, () => {
			spend(1);
		});
		meter.end(request, 'answered');
	});
	expect(meter.take().stages).toEqual([{stage: 'decision', warmth: 'first', milliseconds: 160}, {stage: 'decision', warmth: 'later', milliseconds: 40}]);
});

test('a stage that throws is measured', () => {
	const {meter, spend, sumStage} = startMeter();
	expect(() => meter.measure('head', undefined, () => {
		spend(5);
		throw new Error('failed');
	})).toThrow('failed');
	expect(sumStage(meter.take().stages, 'head')).toBe(5);
});
