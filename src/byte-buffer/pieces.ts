/** Small pieces that a message may bring; refilled with time, as a stream may last for long. */
export type PieceAllowance = Readonly<{
	pieces: number;
	/** When the last piece came, in ms. */
	at: number;
}>;

/** Pieces that may come at once: more than the fastest engines produce while a process stands still for seconds. */
const maxPieces = 4096;

/** Size from which a piece is not small, in bytes: limits of bytes bound the number of such pieces. */
const minLargeBytes = 1024;

/** Pieces that are left when a message begins to take turns with others. */
const lowPieces = maxPieces - 64;

/** Pieces per millisecond that may come on and on. */
const piecesPerMs = 1;

/**
Creates the allowance of a message.

@param now - The current time in ms.
@returns The allowance, not used yet.
*/
export const createAllowance = (now: number): PieceAllowance => ({pieces: maxPieces, at: now});

/**
Takes a piece from an allowance. Each piece of a message takes time however small it is, so a limit of bytes does not bound that time.

@param allowance - The allowance.
@param bytes - Size of the piece.
@param now - The current time in ms.
@returns What is left of it.
*/
export const takePiece = (allowance: PieceAllowance, bytes: number, now: number): PieceAllowance => bytes >= minLargeBytes
	? allowance
	: {pieces: Math.min(maxPieces, allowance.pieces + ((now - allowance.at) * piecesPerMs)) - 1, at: now};

/**
Tells whether a message brings more pieces than most do, so that it should not delay others.

@param allowance - What is left of its allowance.
@returns True if a part of it is used up.
*/
export const isAllowanceLow = ({pieces}: PieceAllowance): boolean => pieces < lowPieces;

/**
Explains why a message may bring no further piece.

@param allowance - What is left of its allowance.
@returns The reason; undefined if it may go on.
*/
export const findPieceExcess = ({pieces}: PieceAllowance): string | undefined => pieces < 0 ? `more than ${maxPieces} small pieces at a time` : undefined;
