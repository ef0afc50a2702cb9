import process from 'node:process';

/**
Finds the settings file that the platform wrote for this process.

@returns Its path; undefined where the platform did not start the process.
*/
export const findSettings = (): string | undefined => process.env.GALENAGAUGE_BOOT;
