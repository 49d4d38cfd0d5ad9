/**
 * Stand-in for the platform's metadata store: objects by kind and name, one
 * revision counter, conditional writes, paged lists, and watches.
 */
import {performance} from 'node:perf_hooks';
import {createServer} from 'node:http';
import {clearTimeout, setTimeout} from 'node:timers';
import {URL} from 'node:url';
import {Buffer} from 'node:buffer';

const PATH = /^\/-\/objects\/([^/]+)(?:\/([^/]+))?(\/status)?$/;
const PAGE_ITEMS = 500;
const ANSWER_MS = 4;
const MAX_WAIT_MS = 30_000;

/** Creates an empty store without a listener. */
export function createStore() {
  const objects = new Map();
  const servers = [];
  const history = [];
  let waiting = new Set();
  let revision = 10;
  let isSilent = false;
  /** Connections on which an answer was lost; they return nothing further. */
  const silentSockets = new WeakSet();
  /** Connections with a call that is not answered yet. */
  const busySockets = new Set();

  const record = (kind, object, removed) => {
    history.push({kind, revision, event: {object, removed}});
    const woken = waiting;
    waiting = new Set();
    for (const wake of woken) wake();
  };

  const put = (kind, name, spec) => {
    const key = `${kind}/${name}`;
    const former = objects.get(key);
    if (
      former !== undefined &&
      JSON.stringify(former.spec) === JSON.stringify(spec)
    ) {
      return former;
    }
    revision += 1;
    const created = former?.metadata.created ?? Date.now();
    const metadata = {name, revision, created, finalizers: [], deleting: false};
    const object = {metadata, spec, status: former?.status ?? null};
    objects.set(key, object);
    record(kind, object, false);
    return object;
  };

  const remove = (kind, name) => {
    const object = objects.get(`${kind}/${name}`);
    if (object === undefined) return;
    objects.delete(`${kind}/${name}`);
    revision += 1;
    record(kind, object, true);
  };

  const list = (kind, after) => {
    const found = [...objects]
      .filter(([key]) => key.startsWith(`${kind}/`))
      .map(([, object]) => object)
      .sort((left, right) =>
        left.metadata.name < right.metadata.name ? -1 : 1,
      )
      .filter(({metadata}) => after === null || metadata.name > after);
    return {
      items: found.slice(0, PAGE_ITEMS),
      has_more: found.length > PAGE_ITEMS,
      as_of: revision,
    };
  };

  const watch = (kind, from, waitMs, answer) => {
    const endsAtMs = performance.now() + Math.min(waitMs, MAX_WAIT_MS);
    const check = () => {
      const events = history
        .filter(change => change.kind === kind && change.revision > from)
        .map(({event}) => event);
      const leftMs = endsAtMs - performance.now();
      if (events.length > 0 || leftMs <= 0) {
        answer(200, {events, as_of: revision});
        return;
      }
      const timer = setTimeout(() => {
        waiting.delete(wake);
        check();
      }, leftMs);
      const wake = () => {
        clearTimeout(timer);
        check();
      };
      waiting.add(wake);
    };
    check();
  };

  const write = (method, kind, name, query, body) => {
    const target = name ?? body.metadata?.name ?? '';
    const current = objects.get(`${kind}/${target}`);
    const named = body.metadata?.revision ?? query.get('revision');
    if (method === 'POST') {
      if (current !== undefined) return [409, current];
      return [200, put(kind, target, body.spec)];
    }
    if (current === undefined) return [404, {}];
    if (
      named !== undefined &&
      named !== null &&
      Number(named) !== current.metadata.revision
    ) {
      return [409, current];
    }
    if (method === 'DELETE') {
      remove(kind, target);
      return [200, {}];
    }
    return [200, put(kind, target, body.spec)];
  };

  const handle = (request, response, faults) => {
    const chunks = [];
    request.on('data', chunk => chunks.push(chunk));
    request.on('end', () => {
      const url = new URL(request.url, 'http://store');
      const [, kind, encoded] = PATH.exec(url.pathname) ?? [];
      const name =
        encoded === undefined ? encoded : decodeURIComponent(encoded);
      const call = {
        method: request.method,
        kind,
        name,
        query: url.searchParams,
      };
      const {socket} = request;
      if (isSilent || faults.isSilent?.(call, socket))
        silentSockets.add(socket);
      if (silentSockets.has(socket)) return;
      busySockets.add(socket);
      const answer = (status, body) => {
        setTimeout(() => {
          if (response.destroyed || silentSockets.has(socket)) return;
          busySockets.delete(socket);
          const text = JSON.stringify(faults.translate?.(kind, body) ?? body);
          response.writeHead(status, {
            'Content-Type': 'application/json',
            'Content-Length': Buffer.byteLength(text),
          });
          response.end(text);
        }, ANSWER_MS);
      };
      if (kind === undefined) {
        answer(404, {});
        return;
      }
      if (call.method !== 'GET') {
        const body = JSON.parse(Buffer.concat(chunks).toString() || '{}');
        answer(...write(call.method, kind, name, call.query, body));
        return;
      }
      if (name !== undefined) {
        const object = objects.get(`${kind}/${name}`);
        answer(object === undefined ? 404 : 200, object ?? {});
        return;
      }
      const from = call.query.get('watch');
      if (from === null) answer(200, list(kind, call.query.get('after')));
      else {
        const waitMs = Number(call.query.get('wait_ms') ?? 0);
        watch(kind, Number(from), waitMs, answer);
      }
    });
    request.on('error', () => undefined);
  };

  return {
    put,
    remove,
    /** Starts or ends a silence, in which calls are lost. */
    silence: next => {
      isSilent = next;
      if (!isSilent) return;
      for (const socket of busySockets) silentSockets.add(socket);
      busySockets.clear();
    },
    get: (kind, name) => objects.get(`${kind}/${name}`),
    /** Opens a listener of its own for one machine. */
    listen: async (faults = {}) => {
      const server = createServer({keepAliveTimeout: 0}, (request, response) =>
        handle(request, response, faults),
      );
      servers.push(server);
      await new Promise(resolve => server.listen(0, '127.0.0.1', resolve));
      return server.address().port;
    },
    close: () => {
      for (const server of servers) {
        server.closeAllConnections();
        server.close();
      }
    },
  };
}
