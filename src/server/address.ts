import {isIP} from 'node:net';

/** A socket address: an IP address and a port. */
export type SocketAddress = Readonly<{host: string; port: number}>;

const portPattern = /^\d{1,5}$/v;

const maxPort = 65_535;

/**
Parses an address such as `127.0.0.1:8080`.

@param text - The address.
@returns The IP address and port.
*/
export const parseAddress = (text: string): SocketAddress => {
	const portSeparator = text.lastIndexOf(':');
	return {host: text.slice(0, portSeparator), port: Number(text.slice(portSeparator + 1))};
};

/**
Checks whether a text is an IP address and a port in decimal digits.

@param text - The text.
@returns True also for port 0, at which a server listens on any free port.
*/
export const isAddress = (text: string): boolean => {
	const {host, port} = parseAddress(text);
	return isIP(host) !== 0 && portPattern.test(text.slice(text.lastIndexOf(':') + 1)) && port <= maxPort;
};

/**
Checks whether a text is an address to which a connection can be opened.

@param text - The text.
@returns False for port 0.
*/
export const isRemoteAddress = (text: string): boolean => isAddress(text) && parseAddress(text).port > 0;
