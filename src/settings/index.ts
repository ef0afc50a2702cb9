export {
	address, checkSettings, count, duration, httpAddress, label, logSection, readSettings, share, size,
} from './settings.js';
