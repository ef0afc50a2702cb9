import process from 'node:process';

/**
Returns the path of the settings file that the platform wrote for this process.

@returns The path, or undefined if the platform did not start the process.
*/
export const getSettingsPath = (): string | undefined => process.env.GALENAGAUGE_BOOT;
