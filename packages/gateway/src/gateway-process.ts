/** The gateway: listeners, replicas and the life cycle of the process. */
import {createServer} from 'node:http';
import type {Server} from 'node:http';
import {
  createLeastOutstandingPolicy,
  createUpstreamTable,
} from '@siskinplank/dispatch';
import type {Clock, Logger, Metrics, Random} from '@siskinplank/foundation';
import {createConnectionPool} from '@siskinplank/http-exchange';
import type {PlatformPorts, RouteTable} from '@siskinplank/serving';
import type {GatewaySettings} from '@siskinplank/settings';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {createConfigurationReplica} from './configuration-replica';
import {
  GATEWAY_DRAIN_STARTED,
  GATEWAY_STARTED,
  GATEWAY_STOPPED,
} from './events';
import {createRequestHandler} from './request-handler';
import {createUpstreamView} from './upstream-view';

/** What `createGatewayProcess` needs. */
export interface GatewayOptions {
  settings: GatewaySettings;
  ports: PlatformPorts;
  clock: Clock;
  random: Random;
  logger: Logger;
  metrics: Metrics;
}

/** The life cycle of a gateway. */
export interface GatewayProcess {
  start(): Promise<Either<{message: string}, void>>;
  /** Stops taking callers and waits for open requests. */
  drain(): Promise<void>;
  stop(): Promise<void>;
}

interface ListenAddress {
  host: string;
  port: number;
}

const DRAIN_POLL_MS = 50;

function startListening(
  server: Server,
  address: ListenAddress,
): Promise<Either<{message: string}, void>> {
  return new Promise(resolve => {
    server.once('error', error => resolve(Left({message: error.message})));
    server.listen(address.port, address.host, () => resolve(Right(undefined)));
  });
}

/** Creates a gateway that does nothing before `start`. */
export function createGatewayProcess(options: GatewayOptions): GatewayProcess {
  const {settings, ports, clock, random, logger, metrics} = options;
  let isLeaving = false;
  const upstreams = createUpstreamTable();
  const pool = createConnectionPool({
    clock,
    connectTimeoutMs: settings.upstreams.connectTimeoutMs,
    defaultIdleMs: settings.upstreams.idleMs,
  });

  const applyLimits = ({configuration}: RouteTable): void => {
    const {limits} = configuration;
    callerServer.keepAliveTimeout = limits.idleTimeoutMs;
    callerServer.headersTimeout = limits.headerTimeoutMs;
  };

  const watchOptions = {
    watchWaitMs: settings.store.watchWaitMs,
    retryDelayMs: settings.store.retryDelayMs,
    clock,
    logger,
  };
  const configuration = createConfigurationReplica({
    ...watchOptions,
    directory: ports.configurations,
    onApply: applyLimits,
  });
  const view = createUpstreamView({
    ...watchOptions,
    directory: ports.upstreams,
    onChange: usable => upstreams.setUpstreams(usable),
  });
  const handler = createRequestHandler({
    configuration,
    upstreams,
    policy: createLeastOutstandingPolicy(random),
    pool,
    format: ports.exchangeFormat,
    retryBudget: settings.retries,
    maxConfigurationAgeMs: settings.store.maxAgeMs,
    clock,
    random,
    logger,
    isLeaving: () => isLeaving,
  });

  const isReady = (): boolean =>
    !isLeaving &&
    view.isLoaded() &&
    configuration.getAgeMs(clock.getNowMs()) < settings.store.maxAgeMs;

  const callerServer = createServer(
    {maxHeaderSize: settings.caller.maxHeaderBytes, requestTimeout: 0},
    handler.handle,
  );
  const readinessServer = createServer((request, response) => {
    const isKnown = request.url === ports.readinessPath;
    const status = isReady() ? 200 : 503;
    response.writeHead(isKnown ? status : 404, {'content-length': 0});
    response.end();
  });
  const metricsServer = createServer((_request, response) => {
    void metrics.renderText().then(text => {
      response.writeHead(200, {'content-type': 'text/plain; version=0.0.4'});
      response.end(text);
    });
  });

  const closeServer = (server: Server): Promise<void> =>
    new Promise(resolve => {
      server.close(() => resolve());
      server.closeIdleConnections();
    });

  return {
    start: async () => {
      configuration.start();
      view.start();
      const listeners: Array<[Server, ListenAddress]> = [
        [callerServer, settings.caller.address],
        [readinessServer, settings.readiness.address],
        [metricsServer, settings.metrics.address],
      ];
      for (const [server, address] of listeners) {
        const listening = await startListening(server, address);
        if (listening.isLeft()) return listening;
      }
      logger.log(GATEWAY_STARTED, {
        ...settings.caller.address,
      });
      return Right(undefined);
    },
    drain: async () => {
      isLeaving = true;
      logger.log(GATEWAY_DRAIN_STARTED, {open: handler.countOpen()});
      const startedAtMs = clock.getNowMs();
      await clock.waitMs(settings.drain.noticeMs);
      const closed = closeServer(callerServer);
      const endsAtMs = startedAtMs + settings.drain.graceMs;
      while (handler.countOpen() > 0 && clock.getNowMs() < endsAtMs) {
        await clock.waitMs(DRAIN_POLL_MS);
      }
      callerServer.closeAllConnections();
      await closed;
    },
    stop: async () => {
      configuration.stop();
      view.stop();
      pool.close();
      for (const server of [readinessServer, metricsServer]) {
        server.closeAllConnections();
        server.close();
      }
      logger.log(GATEWAY_STOPPED, {open: handler.countOpen()});
      await Promise.resolve();
    },
  };
}
