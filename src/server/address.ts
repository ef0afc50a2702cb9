/** A socket address: an IP address and a port. */
export type SocketAddress = Readonly<{host: string; port: number}>;

/**
Parses an address such as `127.0.0.1:8080`.

@param text - The address.
@returns The IP address and port.
*/
export const parseAddress = (text: string): SocketAddress => {
	const portSeparator = text.lastIndexOf(':');
	return {host: text.slice(0, portSeparator), port: Number(text.slice(portSeparator + 1))};
};
