/** TCP proxy that injects faults between two processes. */
import {connect, createServer} from 'node:net';
import type {Socket} from 'node:net';
import {z} from 'zod';
import {createControlledServer, createStandInLog} from './control';
import type {StandIn, StandInLog} from './control';
import {createProxyPipe} from './proxy-pipe';
import type {ProxyPipe} from './proxy-pipe';

/** Direction of bytes through the proxy. */
export enum ProxyDirection {
  ToTarget = 'to-target',
  ToClient = 'to-client',
  Both = 'both',
}

/** Schema of a proxy fault; an absent field changes nothing. */
export const proxyFaultSchema = z.strictObject({
  /** Resets all open connections once. */
  cut: z.literal(true).optional(),
  /** Resets each new connection. */
  refuse: z.boolean().optional(),
  /** Delay of every byte in either direction. */
  delayMs: z.number().min(0).optional(),
  /** Buffers all bytes of a direction, as a partition does; null ends it. */
  stall: z.enum(ProxyDirection).nullable().optional(),
  /**
   * Resets the next connections when reply bytes arrive, after the request
   * was forwarded.
   */
  dropReplies: z.int().min(0).optional(),
});

export type ProxyFault = z.input<typeof proxyFaultSchema>;

/** Options of `createFaultProxy`. */
export interface FaultProxyOptions {
  targetHost?: string;
  targetPort: number;
  host?: string;
  port?: number;
  /** Port of `/control`; 0 picks a free port, absent disables `/control`. */
  controlPort?: number;
  /** Identifies the process that opened a connection, for faults by source. */
  identifySource?: (client: Socket) => string | undefined;
}

/** A running proxy. */
export interface FaultProxy extends StandIn {
  controlPort?: number;
  log: StandInLog;
  /** With a source, affects only connections of that process. */
  applyFault(fault: ProxyFault, source?: string): void;
  /** Ends all faults and delivers buffered bytes. */
  clearFaults(): void;
  countConnections(): number;
}

interface ProxiedConnection {
  source: string | undefined;
  client: Socket;
  target: Socket;
  pipes: ProxyPipe[];
}

/** Active faults of all sources or of one. */
interface FaultState {
  isRefusing: boolean;
  delayMs: number;
  stall: ProxyDirection | null;
  dropReplies: number;
}

function createFaultState(): FaultState {
  return {isRefusing: false, delayMs: 0, stall: null, dropReplies: 0};
}

/** Starts a proxy to one host and port. */
export async function createFaultProxy(
  options: FaultProxyOptions,
): Promise<FaultProxy> {
  const {targetHost = '127.0.0.1', targetPort, host = '127.0.0.1'} = options;
  const connections = new Set<ProxiedConnection>();
  const log = createStandInLog();
  const sharedState = createFaultState();
  const sourceStates = new Map<string, FaultState>();

  const listStates = (source: string | undefined): FaultState[] => {
    const sourceState =
      source === undefined ? undefined : sourceStates.get(source);
    return sourceState === undefined
      ? [sharedState]
      : [sharedState, sourceState];
  };
  const isStalled = (
    source: string | undefined,
    direction: ProxyDirection,
  ): boolean =>
    listStates(source).some(
      ({stall}) => stall === ProxyDirection.Both || stall === direction,
    );
  const getDelayMs = (source: string | undefined): number =>
    listStates(source).reduce((sum, {delayMs}) => sum + delayMs, 0);
  const cutConnection = (connection: ProxiedConnection): void => {
    connections.delete(connection);
    for (const pipe of connection.pipes) pipe.stop();
    connection.client.resetAndDestroy();
    connection.target.resetAndDestroy();
  };
  const applyFault = (input: ProxyFault, source?: string): void => {
    const fault = proxyFaultSchema.parse(input);
    log.record('fault', {fault, source});
    const state =
      source === undefined
        ? sharedState
        : (sourceStates.get(source) ?? createFaultState());
    if (source !== undefined) sourceStates.set(source, state);
    state.isRefusing = fault.refuse ?? state.isRefusing;
    state.delayMs = fault.delayMs ?? state.delayMs;
    state.dropReplies = fault.dropReplies ?? state.dropReplies;
    if (fault.stall !== undefined) state.stall = fault.stall;
    for (const connection of [...connections]) {
      const isAffected = source === undefined || connection.source === source;
      if (fault.cut && isAffected) cutConnection(connection);
      else for (const pipe of connection.pipes) pipe.flushChunks();
    }
  };
  const admitReply = (connection: ProxiedConnection): boolean => {
    const state = listStates(connection.source).find(
      ({dropReplies}) => dropReplies > 0,
    );
    if (state === undefined) return true;
    state.dropReplies -= 1;
    log.record('reply-dropped', {source: connection.source});
    cutConnection(connection);
    return false;
  };
  const handleClient = (client: Socket): void => {
    client.on('error', () => undefined);
    const source = options.identifySource?.(client);
    if (listStates(source).some(state => state.isRefusing)) {
      log.record('refused', {source});
      client.resetAndDestroy();
      return;
    }
    const target = connect({
      host: targetHost,
      port: targetPort,
      allowHalfOpen: true,
    });
    client.setNoDelay(true);
    target.setNoDelay(true);
    const connection: ProxiedConnection = {source, client, target, pipes: []};
    connections.add(connection);
    log.record('connected', {source});
    connection.pipes.push(
      createProxyPipe({
        source: client,
        sink: target,
        getDelayMs: () => getDelayMs(source),
        isStalled: () => isStalled(source, ProxyDirection.ToTarget),
        admitChunk: () => true,
      }),
      createProxyPipe({
        source: target,
        sink: client,
        getDelayMs: () => getDelayMs(source),
        isStalled: () => isStalled(source, ProxyDirection.ToClient),
        admitChunk: () => admitReply(connection),
      }),
    );
    // A reset of one side resets the other too.
    target.on('error', () => cutConnection(connection));
    client.on('error', () => cutConnection(connection));
    const checkClosed = (): void => {
      if (client.destroyed && target.destroyed) connections.delete(connection);
    };
    client.on('close', checkClosed);
    target.on('close', checkClosed);
  };
  const server = createServer({allowHalfOpen: true}, handleClient);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port ?? 0, host, resolve);
  });
  const address = server.address();
  const port = typeof address === 'object' && address ? address.port : 0;

  let control: StandIn | undefined;
  if (options.controlPort !== undefined) {
    const controlled = createControlledServer(proxyFaultSchema, fault =>
      applyFault(fault),
    );
    controlled.app.get('/control/connections', () => ({
      open: connections.size,
      entries: log.getEntries(),
    }));
    const controlPort = await controlled.startListening(
      options.controlPort,
      host,
    );
    control = {port: controlPort, close: controlled.close};
  }
  return {
    port,
    controlPort: control?.port,
    log,
    applyFault,
    clearFaults: () => {
      sourceStates.clear();
      applyFault({refuse: false, delayMs: 0, stall: null, dropReplies: 0});
    },
    countConnections: () => connections.size,
    close: async () => {
      for (const open of [...connections]) cutConnection(open);
      await new Promise<void>(resolve => server.close(() => resolve()));
      await control?.close();
    },
  };
}
