/** An address as settings give it: an IP number and a port. */
export type Endpoint = Readonly<{host: string; port: number}>;

/**
Reads an address such as `127.0.0.1:8080`.

@param text - The address.
@returns Its host and port.
*/
export const parseAddress = (text: string): Endpoint => {
	const index = text.lastIndexOf(':');
	return {host: text.slice(0, index), port: Number(text.slice(index + 1))};
};
