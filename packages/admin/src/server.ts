/** HTTP listener of the admin API. */
import {fastifyConnectPlugin} from '@connectrpc/connect-fastify';
import {fastify} from 'fastify';
import {EitherAsync} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {NetworkAddress} from '@siskinplank/resources';
import {ADMIN_LISTENING} from './events';
import {createOperatorInterceptor, registerAdminService} from './service';
import type {AdminDependencies} from './types';

/** The admin API of one process. */
export interface AdminServer {
  start(): Promise<Either<Error, void>>;
  /** Finishes open calls and closes the listener. */
  stop(): Promise<void>;
}

const MAX_MESSAGE_BYTES = 1_048_576;

/** Creates the listener of the admin API. */
export function createAdminServer(
  address: NetworkAddress,
  dependencies: AdminDependencies,
): AdminServer {
  const server = fastify({bodyLimit: MAX_MESSAGE_BYTES});
  return {
    start: () =>
      EitherAsync<Error, void>(async () => {
        await server.register(fastifyConnectPlugin, {
          routes: router => registerAdminService(router, dependencies),
          interceptors: [createOperatorInterceptor(dependencies)],
          readMaxBytes: MAX_MESSAGE_BYTES,
        });
        await server.listen(address);
        dependencies.logger.log(ADMIN_LISTENING, {...address});
      }).run(),
    stop: () => server.close(),
  };
}
