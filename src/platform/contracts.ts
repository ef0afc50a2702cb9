/** Contract of deployments whose clients compete for too little capacity at times. */
const contention = 'pressure';

/**
Tells whether clients of a deployment compete for too little capacity at times.

@param contracts - Names of the contracts in force, as the settings state them.
@returns True if urgent requests take precedence over others.
*/
export const hasContention = (contracts: readonly string[]): boolean => contracts.includes(contention);
