export {orderWaiting, suggestReturn} from './queue.js';
