import type {Socket} from 'node:net';

/**
Tells how the peer ends a connection. libuv reports a reset that arrives right after data as an ordinary end. An empty write fails on
a connection that was reset, and sends nothing on any other connection.

@param socket - An open connection.
@returns Resolves to true once the peer has ended it in the ordinary way, and to false once it was reset or failed.
*/
export const awaitPeerEnd = async (socket: Socket): Promise<boolean> => new Promise(resolve => {
	socket.prependOnceListener('end', () => {
		socket.write('', error => {
			resolve(error === undefined || error === null);
		});
	});
	socket.once('error', () => {
		resolve(false);
	});
});
