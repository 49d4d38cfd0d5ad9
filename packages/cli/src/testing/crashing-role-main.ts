/** A role with the gateway's logs that fails or is killed. */
import {
  LogLevel,
  createLineWriter,
  createLogger,
  createSystemClock,
  defineEvent,
  failInvariant,
} from '@siskinplank/foundation';
import {Right} from 'purify-ts';
import {runRole} from '../roles/lifecycle';

const STANDARD_OUTPUT = 1;
const FLUSH_TIMEOUT_MS = 200;
/** Longer than the test waits, so that only a flush writes lines. */
const FLUSH_DELAY_MS = 60_000;
const MAX_BUFFERED_BYTES = 100_000;
/** Time for lines that are written at once. */
const KILL_DELAY_MS = 200;
const DRAINED = defineEvent(1, LogLevel.Info, 'drained');

const [, , failure] = process.argv;
const clock = createSystemClock();
const writer = createLineWriter({
  fileDescriptor: STANDARD_OUTPUT,
  clock,
  maxBufferedBytes: MAX_BUFFERED_BYTES,
  flushDelayMs: FLUSH_DELAY_MS,
  onDropped: () => undefined,
});

function failLater(): void {
  if (failure === 'rejection')
    void Promise.resolve().then(() => failInvariant('rejected'));
  if (failure === 'exception')
    setTimeout(() => failInvariant('state is inconsistent'), 0);
}

const logger = createLogger({
  level: LogLevel.Info,
  write: writer.writeLine,
  getWallMs: clock.getWallMs,
});

/** Hangs until it is killed, if that is the failure asked for. */
async function waitForKill(killedIn: string): Promise<void> {
  if (failure !== killedIn) return;
  setTimeout(() => process.kill(process.pid, 'SIGKILL'), KILL_DELAY_MS);
  await new Promise(() => undefined);
}

void runRole({
  hooks: {
    start: () => {
      failLater();
      return Promise.resolve(Right(undefined));
    },
    drain: async () => {
      await waitForKill('kill-in-drain');
      logger.log(DRAINED);
    },
    stop: () => waitForKill('kill-in-stop'),
    reload: () => Right(undefined),
    flushLogs: () => writer.flush(FLUSH_TIMEOUT_MS),
  },
  logger,
  clock,
}).then(status => process.exit(status));
// Stops unless it fails first.
setTimeout(() => process.kill(process.pid, 'SIGTERM'), 500);
