/** Describes for the logs how the connection of a request ended. */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** Who ended a connection. */
export enum ClosedBy {
  /** The caller closed or reset it. */
  Caller = 'caller',
  /** This process closed it. */
  Gateway = 'gateway',
}

/** Log fields of a connection that closed before its response was written. */
export interface CallerClose {
  closedBy: ClosedBy;
  /** Error of the connection, such as ECONNRESET. */
  closeError: string | undefined;
  /** Bytes of the response that the kernel has not taken. */
  unsentBytes: number;
}

/**
 * Returns how `socket` ended; undefined if `response` was written before.
 *
 * @param hasCallerEnded whether the caller closed it before this process did.
 */
export function describeClose(
  socket: Socket,
  response: ServerResponse,
  hasCallerEnded: boolean,
): CallerClose | undefined {
  if (response.writableFinished) return undefined;
  const error = socket.errored as NodeJS.ErrnoException | null;
  return {
    closedBy:
      hasCallerEnded || error !== null ? ClosedBy.Caller : ClosedBy.Gateway,
    closeError: error?.code,
    unsentBytes: response.writableLength,
  };
}
