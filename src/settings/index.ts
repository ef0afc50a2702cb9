export {
	address, parseSettings, wholeNumber, duration, httpAddress, label, logSection, readSettings, fraction, byteSize,
} from './settings.js';
