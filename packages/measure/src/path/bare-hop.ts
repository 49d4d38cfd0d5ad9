/** A bare proxy hop of undici, which the path is measured against. */
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {pipeline} from 'node:stream/promises';
import {Pool} from 'undici';
import type {Dispatcher} from 'undici';

const CONNECTIONS = 128;
const HTTP_BAD_GATEWAY = 502;

/** Forwards each request to the origins in turn and pipes the answer. */
function startBareHop(origins: readonly string[]): void {
  const pools = origins.map(
    origin => new Pool(origin, {connections: CONNECTIONS}),
  );
  let next = 0;
  const server = createServer((request, response) => {
    const pool = pools[next % pools.length];
    next += 1;
    const forward = async (): Promise<void> => {
      const upstream = await pool.request({
        method: request.method as Dispatcher.HttpMethod,
        path: request.url ?? '/',
        headers: {
          'content-type': request.headers['content-type'] ?? 'application/json',
        },
        body: request,
      });
      response.writeHead(upstream.statusCode, {
        'content-type': String(upstream.headers['content-type'] ?? ''),
      });
      await pipeline(upstream.body, response);
    };
    forward().catch(() => {
      if (!response.headersSent) response.writeHead(HTTP_BAD_GATEWAY);
      response.end();
    });
  });
  server.listen(0, '127.0.0.1', () => {
    const {port} = server.address() as AddressInfo;
    process.stdout.write(`${JSON.stringify({port})}\n`);
  });
  process.once('SIGTERM', () => process.exit(0));
}

startBareHop(process.argv.slice(2));
