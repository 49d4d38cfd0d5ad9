/** Sends queued attempts to the upstream within its concurrency limit. */
import type {Clock} from '@siskinplank/foundation';
import {AttemptState} from '@siskinplank/messages';
import type {RequestTarget} from '@siskinplank/messages';
import type {AttemptController} from './attempts/controller';
import type {AttemptTable} from './attempts/table';
import type {Attempt} from './attempts/types';
import type {RunOutcome} from './handover/runner';
import type {FairQueue} from './queue/types';

/** Dependencies of the dispatcher. */
export interface DispatcherContext {
  clock: Clock;
  table: AttemptTable;
  queue: FairQueue;
  controller: AttemptController;
  getMaxConcurrency(): number;
  isReady(target: RequestTarget): boolean;
  run(attempt: Attempt): Promise<RunOutcome>;
  onOutcome(attempt: Attempt, outcome: RunOutcome): void;
}

/** Sends queued attempts to the upstream. */
export interface Dispatcher {
  /** Starts as many queued attempts as possible. */
  dispatch(): void;
  listRunning(): readonly Attempt[];
  /** Resolves when the responses of all open attempts were sent in full. */
  waitForIdle(): Promise<void>;
}

/** Creates the dispatcher. */
export function createDispatcher(context: DispatcherContext): Dispatcher {
  const {clock, table, queue, controller} = context;
  const running = new Set<Attempt>();
  let idleWaiters: Array<() => void> = [];

  const isIdle = (): boolean =>
    table.listOpen().every(attempt => attempt.endSentMs !== undefined);

  const notifyIdle = (): void => {
    if (!isIdle()) return;
    const waiting = idleWaiters;
    idleWaiters = [];
    for (const resolve of waiting) resolve();
  };

  const runOne = async (attempt: Attempt): Promise<void> => {
    attempt.state = AttemptState.HandedOver;
    attempt.handedOverMs = clock.getNowMs();
    running.add(attempt);
    const outcome = await context.run(attempt);
    running.delete(attempt);
    attempt.state = AttemptState.Finished;
    if (outcome.refusal !== undefined) {
      controller.refuse(attempt, outcome.refusal);
    } else attempt.span.end();
    if (outcome.usage !== undefined) {
      const {promptTokens, completionTokens} = outcome.usage;
      queue.settle(attempt.item, promptTokens + completionTokens);
    }
    context.onOutcome(attempt, outcome);
    dispatch();
  };

  const dispatch = (): void => {
    while (running.size < context.getMaxConcurrency()) {
      const item = queue.dequeue(clock.getNowMs(), context.isReady);
      if (item === undefined) break;
      const attempt = table.find(item.id);
      if (attempt !== undefined) void runOne(attempt);
    }
    notifyIdle();
  };

  return {
    dispatch,
    listRunning: () => [...running],
    waitForIdle: () =>
      isIdle()
        ? Promise.resolve()
        : new Promise(resolve => idleWaiters.push(resolve)),
  };
}
