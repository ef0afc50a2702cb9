export {sendSample} from './sample-client.js';
export {createSampleEndpoint} from './sample-endpoint.js';
export {warmUp} from './warm-up.js';
export type {WarmUp} from './warm-up.js';
