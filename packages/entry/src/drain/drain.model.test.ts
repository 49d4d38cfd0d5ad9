/** Property test of the shutdown with random requests and signals. */
import * as fc from 'fast-check';
import {
  LogLevel,
  createLogger,
  createManualClock,
} from '@siskinplank/foundation';
import {expect, it} from 'vitest';
import {ABORT_WAIT_MS, createDrain} from './drain';
import type {Drain} from './drain';
import {createOpenRequests} from './open-requests';

interface ModelRequest {
  /** Time at which the request ends unless it is aborted. */
  endMs: number;
  /** Time from the abort to the end; may exceed `ABORT_WAIT_MS`. */
  abortLagMs: number;
  abortedMs: number | undefined;
  isEnded: boolean;
}

enum CommandType {
  Request = 'request',
  Signal = 'signal',
  Pass = 'pass',
}

type Command =
  | {type: CommandType.Request; durationMs: number; abortLagMs: number}
  | {type: CommandType.Signal}
  | {type: CommandType.Pass; durationMs: number};

const commandArbitrary: fc.Arbitrary<Command> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      type: fc.constant(CommandType.Request as const),
      durationMs: fc.integer({min: 0, max: 6_000}),
      abortLagMs: fc.integer({min: 0, max: 2 * ABORT_WAIT_MS}),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({type: fc.constant(CommandType.Signal as const)}),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      type: fc.constant(CommandType.Pass as const),
      durationMs: fc.integer({min: 1, max: 1_500}),
    }),
  },
);

const STEP_MS = 10;

/** Creates a drain and simulated requests. */
function createTrial(noticeMs: number, graceMs: number) {
  const clock = createManualClock();
  const openRequests = createOpenRequests();
  const requests: ModelRequest[] = [];
  let announced = 0;
  let finished = 0;
  let signalMs: number | undefined;
  let endedMs: number | undefined;
  const drain: Drain = createDrain({
    clock,
    logger: createLogger({
      level: LogLevel.Error,
      getWallMs: clock.getWallMs,
      write: () => undefined,
    }),
    openRequests,
    noticeMs,
    graceMs,
    announce: () => void (announced += 1),
    finish: () => {
      finished += 1;
      return Promise.resolve();
    },
  });
  return {
    drain,
    requests,
    getNowMs: clock.getNowMs,
    getSignalMs: () => signalMs,
    getEndedMs: () => endedMs,
    countCalls: () => ({announced, finished}),
    sendRequest: (durationMs: number, abortLagMs: number): void => {
      if (drain.isDraining()) return;
      const nowMs = clock.getNowMs();
      const request: ModelRequest = {
        endMs: nowMs + durationMs,
        abortLagMs,
        abortedMs: undefined,
        isEnded: false,
      };
      const end = (): void => {
        request.isEnded = true;
        remove();
      };
      const remove = openRequests.add({
        keyId: undefined,
        account: undefined,
        abort: () => {
          expect(request.abortedMs).toBeUndefined();
          request.abortedMs = clock.getNowMs();
          clock.startTimer(abortLagMs, end);
        },
      });
      clock.startTimer(durationMs, () => {
        if (request.abortedMs === undefined) end();
      });
      requests.push(request);
    },
    signal: (): void => {
      signalMs ??= clock.getNowMs();
      void drain.run().then(() => (endedMs ??= clock.getNowMs()));
    },
    pass: async (durationMs: number): Promise<void> => {
      for (let passed = 0; passed < durationMs; passed += STEP_MS) {
        clock.runFor(STEP_MS);
        // Lets the promises of the drain settle before the clock advances.
        for (let turn = 0; turn < 10; turn += 1) await Promise.resolve();
      }
    },
  };
}

// Guards against a drain that aborts a request before the end of the grace
// period, leaves one open, refuses new ones too early or too late, or doesn't
// end.
it('aborts no request before the end of the grace period and always ends', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(commandArbitrary, {maxLength: 30}),
      fc.constantFrom(0, 300, 2_000),
      fc.constantFrom(0, 500, 4_000),
      async (commands, noticeMs, graceMs) => {
        const trial = createTrial(noticeMs, graceMs);
        const {drain, requests} = trial;
        for (const command of [...commands, {type: CommandType.Signal}]) {
          if (command.type === CommandType.Signal) trial.signal();
          else if (command.type === CommandType.Pass) {
            await trial.pass((command as {durationMs: number}).durationMs);
          } else {
            const {durationMs, abortLagMs} = command as Extract<
              Command,
              {type: CommandType.Request}
            >;
            trial.sendRequest(durationMs, abortLagMs);
          }
          const signalMs = trial.getSignalMs();
          expect(drain.isLeaving()).toBe(signalMs !== undefined);
          if (signalMs !== undefined) {
            const sinceMs = trial.getNowMs() - signalMs;
            if (sinceMs < noticeMs) expect(drain.isDraining()).toBe(false);
            if (sinceMs > noticeMs + STEP_MS) {
              expect(drain.isDraining()).toBe(true);
            }
          }
        }
        const maxDurationMs = noticeMs + graceMs + ABORT_WAIT_MS + 5 * STEP_MS;
        await trial.pass(maxDurationMs);
        const signalMs = trial.getSignalMs() ?? 0;
        const endedMs = trial.getEndedMs() ?? Infinity;
        expect(endedMs - signalMs).toBeLessThanOrEqual(maxDurationMs);
        expect(trial.countCalls()).toEqual({announced: 1, finished: 1});
        for (const request of requests) {
          const {abortedMs} = request;
          if (abortedMs === undefined) {
            expect(request.endMs).toBeLessThanOrEqual(endedMs);
            expect(request.isEnded).toBe(true);
          } else {
            expect(abortedMs - signalMs).toBeGreaterThanOrEqual(
              noticeMs + graceMs,
            );
          }
        }
      },
    ),
    {numRuns: 150},
  );
});
