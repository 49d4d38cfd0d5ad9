/** Start of a listener. */
import type {Server} from 'node:http';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';

/** Address that a listener is bound to. */
export interface ListenAddress {
  host: string;
  port: number;
}

const DEFAULT_BACKLOG = 511;

/**
 * Binds `server`; resolves when it listens or could not be bound.
 *
 * @param backlog connections that may wait to be accepted.
 */
export function startListening(
  server: Server,
  address: ListenAddress,
  backlog = DEFAULT_BACKLOG,
): Promise<Either<{message: string}, void>> {
  return new Promise(resolve => {
    server.once('error', error => resolve(Left({message: error.message})));
    server.listen(address.port, address.host, backlog, () =>
      resolve(Right(undefined)),
    );
  });
}
