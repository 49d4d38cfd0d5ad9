/** Composition of the gateway role. */
import {InjectionMode, asFunction, createContainer} from 'awilix';
import type {AwilixContainer} from 'awilix';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {
  LOG_LINES_DROPPED,
  createLineWriter,
  createLogger,
  createMetrics,
  createRandom,
  createSystemClock,
} from '@siskinplank/foundation';
import type {
  Clock,
  LineWriter,
  Logger,
  Metrics,
  Random,
} from '@siskinplank/foundation';
import {createGatewayProcess} from '@siskinplank/gateway';
import type {GatewayProcess} from '@siskinplank/gateway';
import {createConnectionPool} from '@siskinplank/http-exchange';
import type {ConnectionPool} from '@siskinplank/http-exchange';
import {createPlatformPorts, createStoreClient} from '@siskinplank/platform';
import type {StoreClient} from '@siskinplank/platform';
import {createReceiveBudget} from '@siskinplank/receive-buffers';
import type {ReceiveBudget} from '@siskinplank/receive-buffers';
import {loadSettings} from '@siskinplank/settings';
import type {GatewaySettings, SettingsProblem} from '@siskinplank/settings';
import type {RoleHooks} from './lifecycle';

/** Dependencies of a gateway, by their registered names. */
export interface GatewayCradle {
  clock: Clock;
  random: Random;
  logger: Logger;
  lineWriter: LineWriter;
  metrics: Metrics;
  storeClient: StoreClient;
  receiveBudget: ReceiveBudget;
  pool: ConnectionPool;
  gateway: GatewayProcess;
  hooks: RoleHooks;
}

export type GatewayContainer = AwilixContainer<GatewayCradle>;

const STANDARD_OUTPUT = 1;
/** Bytes of buffered log lines, about 4,000 lines; further lines are dropped. */
const MAX_BUFFERED_LOG_BYTES = 1_048_576;
/** Lines are written together, to save system calls. */
const LOG_FLUSH_DELAY_MS = 100;
/** Time for the last lines to be written before the process ends. */
const LOG_FLUSH_TIMEOUT_MS = 200;
const BYTES_PER_MB = 1_000_000;
/** Memory for incomplete messages; the heap takes up to about two thirds. */
const RECEIVE_MEMORY_FRACTION = 1 / 8;

function createHooks(file: string, cradle: GatewayCradle): RoleHooks {
  const {gateway, storeClient, lineWriter} = cradle;
  return {
    start: gateway.start,
    drain: gateway.drain,
    stop: async () => {
      await gateway.stop();
      await storeClient.close();
    },
    flushLogs: () => lineWriter.flush(LOG_FLUSH_TIMEOUT_MS),
    reload: () =>
      loadSettings(file)
        .mapLeft(([problem]) => ({message: problem.expected}))
        .map(() => undefined),
  };
}

function buildContainer(
  file: string,
  settings: GatewaySettings,
): GatewayContainer {
  const container = createContainer<GatewayCradle>({
    injectionMode: InjectionMode.PROXY,
  });
  return container.register({
    clock: asFunction(createSystemClock).singleton(),
    random: asFunction(() => createRandom()).singleton(),
    metrics: asFunction(() =>
      createMetrics({withProcessMetrics: true}),
    ).singleton(),
    lineWriter: asFunction(({clock}: GatewayCradle) =>
      createLineWriter({
        fileDescriptor: STANDARD_OUTPUT,
        clock,
        maxBufferedBytes: MAX_BUFFERED_LOG_BYTES,
        flushDelayMs: LOG_FLUSH_DELAY_MS,
        onDropped: count =>
          container.cradle.logger.log(LOG_LINES_DROPPED, {count}),
      }),
    ).singleton(),
    logger: asFunction(({clock, lineWriter}: GatewayCradle) =>
      createLogger({
        level: settings.log.level,
        fields: {process: settings.process.name},
        write: lineWriter.writeLine,
        getWallMs: clock.getWallMs,
      }),
    ).singleton(),
    storeClient: asFunction(({clock, receiveBudget}: GatewayCradle) =>
      createStoreClient({
        address: settings.store.address,
        timeoutMs: settings.store.timeoutMs,
        receiveBudget,
        clock,
      }),
    ).singleton(),
    receiveBudget: asFunction(() =>
      createReceiveBudget({
        maxBytes:
          settings.process.memoryMb * BYTES_PER_MB * RECEIVE_MEMORY_FRACTION,
      }),
    ).singleton(),
    pool: asFunction(({clock, receiveBudget}: GatewayCradle) =>
      createConnectionPool({
        clock,
        receiveBudget,
        connectTimeoutMs: settings.upstreams.connectTimeoutMs,
        defaultIdleMs: settings.upstreams.idleMs,
      }),
    ).singleton(),
    gateway: asFunction((cradle: GatewayCradle) =>
      createGatewayProcess({
        settings,
        ports: createPlatformPorts(
          cradle.storeClient,
          cradle.pool,
          cradle.clock,
        ),
        pool: cradle.pool,
        clock: cradle.clock,
        random: cradle.random,
        logger: cradle.logger,
        metrics: cradle.metrics,
      }),
    ).singleton(),
    hooks: asFunction((cradle: GatewayCradle) =>
      createHooks(file, cradle),
    ).singleton(),
  });
}

/** Creates the container of a gateway from its settings file. */
export function createGatewayContainer(
  file: string,
): Either<SettingsProblem[], GatewayContainer> {
  return loadSettings(file).chain(settings =>
    settings.role === 'gateway'
      ? Right(buildContainer(file, settings))
      : Left([{file, line: 1, key: 'role', expected: 'gateway'}]),
  );
}
