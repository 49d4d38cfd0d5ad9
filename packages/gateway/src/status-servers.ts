/** Listeners for the readiness checks of the load balancer and for metrics. */
import {createServer} from 'node:http';
import type {Server} from 'node:http';
import type {Metrics} from '@siskinplank/foundation';

/** Creates the listener that answers whether the gateway is ready. */
export function createReadinessServer(
  path: string,
  isReady: () => boolean,
): Server {
  return createServer((request, response) => {
    const status = isReady() ? 200 : 503;
    response.writeHead(request.url === path ? status : 404, {
      'content-length': 0,
    });
    response.end();
  });
}

/** Creates the listener that renders the metrics. */
export function createMetricsServer(metrics: Metrics): Server {
  return createServer((_request, response) => {
    void metrics.renderText().then(text => {
      response.writeHead(200, {'content-type': 'text/plain; version=0.0.4'});
      response.end(text);
    });
  });
}
