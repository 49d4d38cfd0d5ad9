/** Stand-in for a model server: streams, reports and orders. */
import {createServer} from 'node:http';
import {Buffer} from 'node:buffer';
import {clearInterval, setInterval, setTimeout} from 'node:timers';

const ADAPTER_MS = 7;
const RESTART_MS = 1_000;

/** Starts a model server and registers it. */
export async function startEngine(options) {
  const {store, service, zone, models, onOrder, onOverload, onRun} = options;
  const {ip = '127.0.0.1', slots = 64, adapterSlots = 8} = options;
  const {eventCount = 20, eventMs = 25, heartbeatMs = 1_200} = options;
  const born = Date.now();
  const resident = new Map(models.map(name => [name, new Set()]));
  /** Runs in progress by `model/adapter`. */
  const running = new Map();
  /** Adapters that are being loaded, and those that wait for their runs. */
  const arriving = new Set();
  const leaving = new Set();
  const sockets = new Set();
  let life = 1;
  let isUp = true;
  let id = options.id;
  let sequence = 0;
  let highestToken = 0;
  let active = 0;

  const countHeld = () => {
    let count = arriving.size + leaving.size;
    for (const held of resident.values()) count += held.size;
    return count;
  };

  /** Ends with its connections; a new incarnation starts a second later. */
  const crash = () => {
    life += 1;
    isUp = false;
    for (const socket of sockets) socket.destroy();
    setTimeout(() => {
      store.remove('servers', id);
      id = `${options.id}-${life}`;
      for (const adapters of resident.values()) adapters.clear();
      for (const group of [arriving, leaving, running]) group.clear();
      sequence = 0;
      highestToken = 0;
      active = 0;
      isUp = true;
      put();
    }, RESTART_MS);
  };

  const listModels = () =>
    [...resident].map(([name, adapters]) => ({
      name,
      version: 1,
      adapters: [...adapters],
    }));

  const execute = order => {
    const {holder, fencing_token: token, operation, model, adapter} = order;
    if (holder === undefined || token === undefined) return 400;
    if (token < highestToken) return 412;
    if (order.expect !== undefined && order.expect !== sequence) return 409;
    highestToken = token;
    // An unload that waits for its runs is under way.
    if (leaving.size > 0) return 409;
    const adapters = resident.get(model);
    // This server runs only orders for adapters; its models stay.
    if (adapter === undefined || adapters === undefined) return 400;
    const key = `${model}/${adapter}`;
    const isHeld = adapters.has(adapter) || arriving.has(key);
    if (operation === 'load') {
      if (isHeld) return 200;
      if (countHeld() >= adapterSlots) {
        onOverload?.({serverId: id, order, held: countHeld()});
        crash();
        return 0;
      }
      sequence += 1;
      const loadedIn = life;
      arriving.add(key);
      setTimeout(() => {
        if (loadedIn !== life) return;
        arriving.delete(key);
        adapters.add(adapter);
      }, ADAPTER_MS);
      return 202;
    }
    if (!isHeld) return 200;
    sequence += 1;
    adapters.delete(adapter);
    if ((running.get(key) ?? 0) === 0) return 200;
    // It is dropped when its runs have ended.
    leaving.add(key);
    return 202;
  };

  const send = (response, status, headers, text = '') => {
    if (response.destroyed) return;
    response.writeHead(status, {
      ...headers,
      'Content-Length': Buffer.byteLength(text),
    });
    response.end(text);
  };

  const stream = (request, response, attemptId, key) => {
    active += 1;
    running.set(key, (running.get(key) ?? 0) + 1);
    const startedIn = life;
    const end = () => {
      if (startedIn !== life) return;
      active -= 1;
      running.set(key, running.get(key) - 1);
      if (running.get(key) === 0) leaving.delete(key);
    };
    response.once('close', end);
    response.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'X-Attempt-Id': attemptId,
      'X-Server-Seal': `${attemptId}.200`,
    });
    let next = Number(request.headers['last-event-id'] ?? 0);
    const sendNext = () => {
      if (response.destroyed) return;
      next += 1;
      response.write(`id: ${next}\ndata: ${attemptId} ${next}\n\n`);
      if (next >= eventCount) response.end();
      else setTimeout(sendNext, eventMs);
    };
    sendNext();
  };

  const handle = (request, response, text) => {
    const {headers} = request;
    const attemptId = headers['x-attempt-id'];
    const echo = attemptId === undefined ? {} : {'X-Attempt-Id': attemptId};
    const expected = headers['x-expect-instance'];
    if (expected !== undefined && expected !== id) {
      send(response, 421, {...echo, 'X-Not-Executed': '1'});
      return;
    }
    if (request.url === '/-/report') {
      const report = {
        stage: 'both',
        models: listModels(),
        busy: false,
        sequence,
        queued: 0,
        active,
        kv_used: 0,
        kv_total: 140_000,
        handles: 0,
        pending: [...arriving].map(key => `${key}@1`),
      };
      const json = {'Content-Type': 'application/json'};
      send(response, 200, json, JSON.stringify(report));
      return;
    }
    if (request.url === '/-/order') {
      const order = JSON.parse(text);
      const status = execute(order);
      onOrder({serverId: options.id, order, status});
      if (status === 0) return;
      send(response, status, {});
      return;
    }
    const [model, adapter] = (headers['x-model'] ?? '').split('/');
    const adapters = resident.get(model);
    const isMissing =
      adapters === undefined ||
      (adapter !== undefined && !adapters.has(adapter));
    if (isMissing || active >= slots) {
      const status = isMissing ? 421 : 503;
      send(response, status, {...echo, 'X-Not-Executed': '1'});
      return;
    }
    onRun?.({serverId: id, attemptId});
    stream(request, response, attemptId, headers['x-model']);
  };

  const server = createServer(
    {keepAliveTimeout: 10_000},
    (request, response) => {
      if (!isUp) {
        request.socket.destroy();
        return;
      }
      const chunks = [];
      request.on('data', chunk => chunks.push(chunk));
      request.on('end', () =>
        handle(request, response, Buffer.concat(chunks).toString()),
      );
      request.on('error', () => undefined);
    },
  );
  server.on('connection', socket => {
    if (!isUp) {
      socket.destroy();
      return;
    }
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
    socket.on('error', () => undefined);
  });
  await new Promise(resolve => server.listen(0, ip, resolve));
  const put = () =>
    store.put('servers', id, {
      service,
      address: `${ip}:${server.address().port}`,
      zone,
      version: '1',
      slots,
      state: 'ready',
      cold_remaining_ms: 0,
      sequence,
      born,
      models: listModels(),
    });
  put();
  const timer = setInterval(() => isUp && put(), heartbeatMs);
  return {
    id: options.id,
    close: () => {
      clearInterval(timer);
      server.closeAllConnections();
      server.close();
    },
  };
}
