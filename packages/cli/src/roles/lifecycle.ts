/** Start, reload and graceful shutdown of a role. */
import type {Either} from 'purify-ts';
import type {Logger} from '@siskinplank/foundation';
import {
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
}

/** Resolves at the first signal to stop; later ones have no further effect. */
function waitForStopSignal(): Promise<string> {
  return new Promise(resolve => {
    process.on('SIGTERM', () => resolve('SIGTERM'));
    process.on('SIGINT', () => resolve('SIGINT'));
  });
}

/** Runs a role until SIGTERM or SIGINT and shuts it down gracefully. */
export async function runRole(
  hooks: RoleHooks,
  logger: Logger,
): Promise<ExitStatus> {
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
    return ExitStatus.Failed;
  }
  logger.log(ROLE_STARTED);
  const signal = await stopSignal;
  logger.log(ROLE_DRAINING, {signal});
  await hooks.drain();
  await hooks.stop();
  logger.log(ROLE_STOPPED);
  return ExitStatus.Done;
}
