/** Health checks and metrics over HTTP. */
import {fastify} from 'fastify';
import {Either, Left, Right} from 'purify-ts';
import type {Metrics} from '@siskinplank/foundation';
import type {NetworkAddress} from '@siskinplank/resources';
import type {StartError} from '../types';

/** Listener for health checks and metrics. */
export interface HealthServer {
  start(): Promise<Either<StartError, void>>;
  stop(): Promise<void>;
}

/** Creates the listener; `isReady` is the result of the readiness check. */
export function createHealthServer(
  address: NetworkAddress,
  metrics: Metrics,
  isReady: () => boolean,
): HealthServer {
  const server = fastify({logger: false, forceCloseConnections: true});
  server.get('/healthz', () => ({status: 'ok'}));
  server.get('/readyz', (_request, reply) => {
    const ready = isReady();
    return reply
      .code(ready ? 200 : 503)
      .send({status: ready ? 'ready' : 'not-ready'});
  });
  server.get('/metrics', async (_request, reply) =>
    reply
      .type('text/plain; version=0.0.4; charset=utf-8')
      .send(await metrics.renderText()),
  );
  return {
    start: async () => {
      try {
        await server.listen({host: address.host, port: address.port});
        return Right(undefined);
      } catch (error) {
        return Left({reason: (error as Error).message});
      }
    },
    stop: () => server.close(),
  };
}
