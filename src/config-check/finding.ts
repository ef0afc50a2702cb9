/** Something that a check of a configuration has found. */
export type Finding = Readonly<{
	/** Routers refuse a configuration with an error. They accept one with warnings. */
	severity: 'error' | 'warning';
	/** Path of the field, such as `routes.r1.timeoutMs`. */
	path: string;
	problem: string;
}>;

/**
Reports a problem under a condition.

@param condition - True if there is a problem.
@param problem - What is wrong.
@returns The problem; undefined if there is none.
*/
export const reportIf = (condition: boolean, problem: string): string | undefined => condition ? problem : undefined;

/**
Formats a finding for an operator.

@param finding - The finding.
@returns One line.
*/
export const formatFinding = ({severity, path, problem}: Finding): string => `${severity}: ${path}: ${problem}`;
