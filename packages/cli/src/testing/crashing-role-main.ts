/** A role with the gateway's logs, in which something fails unhandled. */
import {
  LogLevel,
  createLineWriter,
  createLogger,
  createSystemClock,
  failInvariant,
} from '@siskinplank/foundation';
import {Right} from 'purify-ts';
import {runRole} from '../roles/lifecycle';

const STANDARD_OUTPUT = 1;
const FLUSH_TIMEOUT_MS = 200;
/** Longer than the test waits, so that only a flush writes lines. */
const FLUSH_DELAY_MS = 60_000;
const MAX_BUFFERED_BYTES = 100_000;

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

void runRole({
  hooks: {
    start: () => {
      failLater();
      return Promise.resolve(Right(undefined));
    },
    drain: () => Promise.resolve(),
    stop: () => Promise.resolve(),
    reload: () => Right(undefined),
    flushLogs: () => writer.flush(FLUSH_TIMEOUT_MS),
  },
  logger: createLogger({
    level: LogLevel.Info,
    write: writer.writeLine,
    getWallMs: clock.getWallMs,
  }),
  clock,
}).then(status => process.exit(status));
// Stops unless it fails first.
setTimeout(() => process.kill(process.pid, 'SIGTERM'), 500);
