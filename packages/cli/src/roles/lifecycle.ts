/** Start, reload and graceful shutdown of a role. */
import type {Either} from 'purify-ts';
import type {Clock, Logger} from '@siskinplank/foundation';
import {
  ROLE_CRASHED,
  ROLE_DRAINING,
  ROLE_FAILED,
  ROLE_RELOADED,
  ROLE_STARTED,
  ROLE_STOPPED,
} from '../events';
import {ExitStatus} from '../exit-status';

/** What a role does in each phase. */
export interface RoleHooks {
  start(): Promise<Either<{message: string}, void>>;
  /** Finishes open requests and rejects new ones. */
  drain(): Promise<void>;
  /** Stops background work and closes all connections. */
  stop(): Promise<void>;
  /** Reloads the settings that can change without a restart. */
  reload(): Either<{message: string}, void>;
  /** Resolves when the log lines so far are written, within a bounded time. */
  flushLogs(): Promise<void>;
}

/** What `runRole` needs. */
export interface RoleOptions {
  hooks: RoleHooks;
  logger: Logger;
  clock: Clock;
}

/** Resolves at the first signal to stop; later ones have no further effect. */
function waitForStopSignal(): Promise<string> {
  return new Promise(resolve => {
    process.on('SIGTERM', () => resolve('SIGTERM'));
    process.on('SIGINT', () => resolve('SIGINT'));
  });
}

/** Logs what no handler caught, and ends the process once that is written. */
function endAfterUncaughtErrors({hooks, logger}: RoleOptions): void {
  process.on('uncaughtException', (error, origin) => {
    // Anything can be thrown, also by libraries.
    const {message, stack} = error instanceof Error ? error : new Error(error);
    logger.log(ROLE_CRASHED, {origin, reason: message, stack});
    void hooks.flushLogs().then(() => process.exit(ExitStatus.Failed));
  });
}

/** Runs a role until SIGTERM or SIGINT and shuts it down gracefully. */
export async function runRole(options: RoleOptions): Promise<ExitStatus> {
  const {hooks, logger, clock} = options;
  endAfterUncaughtErrors(options);
  const stopSignal = waitForStopSignal();
  process.on('SIGHUP', () => {
    hooks.reload().caseOf({
      Left: error => logger.log(ROLE_FAILED, {reason: error.message}),
      Right: () => logger.log(ROLE_RELOADED),
    });
  });
  const started = await hooks.start();
  if (started.isLeft()) {
    const reason = started
      .swap()
      .map(error => error.message)
      .orDefault('');
    logger.log(ROLE_FAILED, {reason});
    await hooks.stop();
    await hooks.flushLogs();
    return ExitStatus.Failed;
  }
  logger.log(ROLE_STARTED);
  const signal = await stopSignal;
  const signalledAtMs = clock.getNowMs();
  logger.log(ROLE_DRAINING, {signal});
  const drained = hooks.drain();
  // A kill in the drain or in the stop would take buffered lines with it.
  void hooks.flushLogs();
  await drained;
  void hooks.flushLogs();
  const drainMs = Math.round(clock.getNowMs() - signalledAtMs);
  await hooks.stop();
  const stopMs = Math.round(clock.getNowMs() - signalledAtMs);
  logger.log(ROLE_STOPPED, {drainMs, stopMs});
  await hooks.flushLogs();
  return ExitStatus.Done;
}
