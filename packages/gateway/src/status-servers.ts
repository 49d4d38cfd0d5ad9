/** Listeners for the readiness checks of the load balancer and for metrics. */
import {createServer} from 'node:http';
import type {Server} from 'node:http';
import type {Metrics} from '@siskinplank/foundation';
import type {GatewaySettings} from '@siskinplank/settings';
import {Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {startListening} from './listening';
import type {ListenAddress} from './listening';

/** What `createStatusServers` needs. */
export interface StatusServersOptions {
  settings: Pick<GatewaySettings, 'readiness' | 'metrics'>;
  readinessPath: string;
  isReady(): boolean;
  metrics: Metrics;
}

/** The listeners of one gateway. */
export interface StatusServers {
  start(): Promise<Either<{message: string}, void>>;
  stop(): void;
}

/** Creates the listener that answers whether the gateway is ready. */
function createReadinessServer(path: string, isReady: () => boolean): Server {
  return createServer((request, response) => {
    const status = isReady() ? 200 : 503;
    response.writeHead(request.url === path ? status : 404, {
      'content-length': 0,
    });
    response.end();
  });
}

/** Creates the listener that renders the metrics. */
function createMetricsServer(metrics: Metrics): Server {
  return createServer((_request, response) => {
    void metrics.renderText().then(text => {
      response.writeHead(200, {'content-type': 'text/plain; version=0.0.4'});
      response.end(text);
    });
  });
}

/** Creates listeners that do not listen yet. */
export function createStatusServers(
  options: StatusServersOptions,
): StatusServers {
  const {settings, readinessPath, isReady, metrics} = options;
  const listeners: Array<[Server, ListenAddress]> = [
    [createReadinessServer(readinessPath, isReady), settings.readiness.address],
    [createMetricsServer(metrics), settings.metrics.address],
  ];
  return {
    start: async () => {
      for (const [server, address] of listeners) {
        const started = await startListening(server, address);
        if (started.isLeft()) return started;
      }
      return Right(undefined);
    },
    stop: () => {
      for (const [server] of listeners) {
        server.closeAllConnections();
        server.close();
      }
    },
  };
}
