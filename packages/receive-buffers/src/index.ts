/** Bytes received from outside, bounded for each message and for the process. */
export {BufferFault, createByteAccumulator} from './byte-accumulator';
export type {ByteAccumulator, ByteAccumulatorOptions} from './byte-accumulator';
export {parseJson} from './json';
export {readStream} from './read-stream';
export {createReceiveBudget} from './receive-budget';
export type {
  ReceiveBudget,
  ReceiveBudgetOptions,
  ReceiveReadings,
  Reservation,
} from './receive-budget';
