/** Pool of connections to upstreams; idle ones are reused until they expire. */
import type {Clock} from '@siskinplank/foundation';
import type {ReceiveBudget} from '@siskinplank/receive-buffers';
import {createConnection} from './connection';
import type {Connection} from './connection';
import {createReadScheduler} from './read-scheduler';
import type {ResponseHead} from './response-head';
import type {
  Exchange,
  ExchangeObserver,
  ExchangeRequest,
  ExchangeTarget,
} from './types';

/** Options of `createConnectionPool`. */
export interface ConnectionPoolOptions {
  clock: Clock;
  /** Memory for what is received and not complete. */
  receiveBudget: ReceiveBudget;
  /** Longest time to establish a connection, in milliseconds. */
  connectTimeoutMs: number;
  /** Idle timeout if the upstream announces none, in milliseconds. */
  defaultIdleMs: number;
}

/** Sends requests; each has a connection to itself until its response ends. */
export interface ConnectionPool {
  /** Memory for what is received and not complete. */
  readonly receiveBudget: ReceiveBudget;
  send(
    target: ExchangeTarget,
    request: ExchangeRequest,
    observer: ExchangeObserver,
  ): Exchange;
  /** Registers a callback that runs before received bytes are handled. */
  observeReads(callback: () => void): void;
  /**
   * Registers a callback that gets the target's key and the head of each final
   * response, also to an earlier request, before the exchange's observer.
   */
  observeHeads(callback: (key: string, head: ResponseHead) => void): void;
  /** Whether any connection to a target is established and read from. */
  hasOpen(key: string): boolean;
  /** Closes the idle connections to a target. */
  closeIdle(key: string): void;
  /** Closes idle connections whose idle timeout has passed. */
  closeExpired(nowMs: number): void;
  /** Closes all connections, also those in use; their exchanges fail. */
  close(): void;
  countConnections(): number;
  /** Number of connections opened since the pool was created. */
  countOpened(): number;
}

/** Creates an empty pool. */
export function createConnectionPool(
  options: ConnectionPoolOptions,
): ConnectionPool {
  const {clock} = options;
  /** Idle connections by target key, the most recently used one last. */
  const idle = new Map<string, Connection[]>();
  const open = new Set<Connection>();
  const readObservers: Array<() => void> = [];
  const headObservers: Array<(key: string, head: ResponseHead) => void> = [];
  const reads = createReadScheduler(callback => void setImmediate(callback));
  let openedCount = 0;

  const removeIdle = (connection: Connection): void => {
    const {key} = connection.target;
    const connections = idle.get(key);
    const index = connections?.indexOf(connection) ?? -1;
    if (connections === undefined || index < 0) return;
    connections.splice(index, 1);
    if (connections.length === 0) idle.delete(key);
  };

  const addIdle = (connection: Connection): void => {
    const {key} = connection.target;
    const connections = idle.get(key);
    if (connections === undefined) idle.set(key, [connection]);
    else connections.push(connection);
  };

  const takeIdle = (key: string): Connection | undefined => {
    const nowMs = clock.getNowMs();
    for (;;) {
      const connection = idle.get(key)?.at(-1);
      if (connection === undefined) return undefined;
      removeIdle(connection);
      if (connection.isUsable(nowMs)) return connection;
      connection.close();
    }
  };

  const openConnection = (target: ExchangeTarget): Connection => {
    openedCount += 1;
    const connection = createConnection({
      target,
      clock,
      connectTimeoutMs: options.connectTimeoutMs,
      defaultIdleMs: options.defaultIdleMs,
      receiveBudget: options.receiveBudget,
      reads,
      onRead: () => {
        for (const observer of readObservers) observer();
      },
      onHead: head => {
        for (const observer of headObservers) observer(target.key, head);
      },
      onIdle: addIdle,
      onClose: closed => {
        open.delete(closed);
        removeIdle(closed);
      },
    });
    open.add(connection);
    return connection;
  };

  const closeIdle = (key: string): void => {
    for (const connection of [...(idle.get(key) ?? [])]) connection.close();
  };

  return {
    receiveBudget: options.receiveBudget,
    send: (target, request, observer) => {
      const reused = request.needsNewConnection
        ? undefined
        : takeIdle(target.key);
      const connection = reused ?? openConnection(target);
      return connection.send(request, observer);
    },
    observeReads: callback => void readObservers.push(callback),
    observeHeads: callback => void headObservers.push(callback),
    hasOpen: key =>
      [...open].some(
        connection => connection.target.key === key && connection.isOpen(),
      ),
    closeIdle,
    closeExpired: nowMs => {
      for (const connections of [...idle.values()]) {
        for (const connection of [...connections]) {
          if (!connection.isUsable(nowMs)) connection.close();
        }
      }
    },
    close: () => {
      for (const connection of [...open]) connection.close();
    },
    countConnections: () => open.size,
    countOpened: () => openedCount,
  };
}
