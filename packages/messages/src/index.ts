/** Typed, versioned messages between the system's own processes. */
export * from './enums';
export * from './types';
export {decodeFrame, decodeMessage, encodeMessage} from './codec';
export type {DecodeError} from './codec';
export {computeRequestKey} from './request-key';
export type {RepeatedRequest} from './request-key';
