export {encodeTransfer, isTransfer, parseTransfer} from './messages.js';
export type {TransferMessage} from './messages.js';
export {
	askForDelayed, askForTokens, canExpectTokens, continueTransfers, createTokenTransfers, receiveTransfer,
} from './transfer.js';
export type {
	QuotaTransfers, TokenTransfers, TransferEffect, TransferStep,
} from './transfer.js';
