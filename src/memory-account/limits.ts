/** Limits of what a process holds for others. */
export type AccountLimits = Readonly<{
	/** Bytes of memory of everything held. */
	bytes: number;
	/** Bytes of memory of large requests and responses. What is left is reserved for ordinary ones. */
	largeBytes: number;
	/** Connections that clients may have open. */
	connections: number;
	/** Connections that the process itself may have open to serve them. */
	outgoingConnections: number;
	/** Resident memory above which garbage is collected early, in bytes. */
	collectAboveBytes: number;
}>;

/** Limits of a machine. */
export type MachineLimits = Readonly<{
	/** Memory, in MB. */
	memoryMb: number;
	/** Descriptors that a process may have open. */
	descriptors: number;
	/** Resident memory of the process before its first client, in MB; 0 if absent. It depends on the machine and on how the program is built. */
	residentMb?: number;
}>;

/** Limits where the settings have none: beyond what clients within their own limits reach. */
export const defaultMachineLimits: MachineLimits = {memoryMb: 1024, descriptors: 16_384};

const mebibyte = 1024 * 1024;

/** Resident memory that an idle process has at least once it has served requests, in MB. */
const minBaselineMb = 90;

/** Fraction of the rest that may be held. As much is garbage that is not collected yet, or lies between blocks of memory. */
const heldFraction = 0.4;

/** Least memory that may be held, in MB, so that the largest request of 4 MB and its response are served on any machine. */
const minHeldMb = 20;

/** Fraction of what may be held that is not reserved for ordinary requests. */
const largeFraction = 0.75;

/** Descriptors that are reserved for files. */
const reservedDescriptors = 200;

/** Descriptors that a process has open without clients: listening sockets, connections to the store, and those of the runtime. */
const ownDescriptors = 60;

/** Least connections of clients. */
const minConnections = 32;

/** Fraction of the machine's memory from which garbage is collected early. */
const collectFraction = 0.5;

/**
Computes what a process may hold on its machine.

@param machine - Limits of the machine.
@returns The limits of the account.
*/
export const computeAccountLimits = ({memoryMb, descriptors, residentMb = 0}: MachineLimits): AccountLimits => {
	const bytes = Math.max(minHeldMb, (memoryMb - Math.max(minBaselineMb, residentMb)) * heldFraction) * mebibyte;
	// Each request has one connection of a client and at most one to an endpoint.
	const connections = Math.max(minConnections, Math.floor((descriptors - reservedDescriptors - ownDescriptors) / 2));
	return {
		bytes, largeBytes: bytes * largeFraction, connections, outgoingConnections: connections, collectAboveBytes: memoryMb * collectFraction * mebibyte,
	};
};
