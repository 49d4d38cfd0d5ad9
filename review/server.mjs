/** Stand-in for a server of a plain service, as the platform's pages say. */
import {createServer} from 'node:http';
import {Buffer} from 'node:buffer';
import {clearInterval, setInterval, setTimeout} from 'node:timers';

/** Starts a server and registers it; `onRun` gets each request that runs. */
export async function startServer(options) {
  const {store, id, service, zone, ip = '127.0.0.1', slots = 64} = options;
  const {onRun, workMs = 20, heartbeatMs = 1_200} = options;
  const born = Date.now();
  let sequence = 0;
  let state = 'ready';
  const server = createServer(
    {keepAliveTimeout: 10_000},
    (request, response) => {
      const attemptId = request.headers['x-attempt-id'];
      const send = (status, headers, text = '') => {
        if (response.destroyed) return;
        response.writeHead(status, {
          ...(attemptId === undefined ? {} : {'X-Attempt-Id': attemptId}),
          ...headers,
          'Content-Length': Buffer.byteLength(text),
        });
        response.end(text);
      };
      const expected = request.headers['x-expect-instance'];
      if (expected !== undefined && expected !== id) {
        request.resume();
        send(421, {'X-Not-Executed': '1'});
        return;
      }
      if (request.url === '/healthz') {
        send(200, {'X-Instance-Id': id});
        return;
      }
      let bytes = 0;
      request.on('data', chunk => {
        bytes += chunk.length;
      });
      request.on('end', () => {
        onRun({attemptId, serverId: id, headers: request.headers, bytes});
        const duration = typeof workMs === 'function' ? workMs() : workMs;
        setTimeout(
          () => send(200, {'X-Server-Seal': `${attemptId}.200`}, attemptId),
          duration,
        );
      });
      request.on('error', () => undefined);
    },
  );
  await new Promise(resolve => server.listen(0, ip, resolve));
  const describe = () => ({
    service,
    address: `${ip}:${server.address().port}`,
    zone,
    version: '1',
    slots,
    state,
    cold_remaining_ms: 0,
    sequence,
    born,
  });
  store.put('servers', id, describe());
  // An entry changes when more than its sequence does.
  const timer = setInterval(() => {
    const former = store.get('servers', id);
    const isSame = former?.spec.state === state;
    sequence += 1;
    if (!isSame) store.put('servers', id, describe());
  }, heartbeatMs);
  const close = () => {
    clearInterval(timer);
    server.closeAllConnections();
    server.close();
  };
  return {
    id,
    /** Reports that it leaves; it serves on until it exits. */
    drain: () => {
      state = 'draining';
      store.put('servers', id, describe());
    },
    /** Ends with its connections, and its entry is removed. */
    exit: () => {
      close();
      store.remove('servers', id);
    },
    close,
  };
}
