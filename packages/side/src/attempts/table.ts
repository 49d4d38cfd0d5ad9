/** Table of open attempts and, for a limited time, finished ones. */
import {assertInvariant} from '@siskinplank/foundation';
import {AttemptState} from '@siskinplank/messages';
import {RunState} from '@siskinplank/resources';
import type {Attempt, FinishedAttempt, Refusal} from './types';

/** Limits for finished attempts that are kept. */
export interface AttemptTableLimits {
  retentionMs: number;
  maxFinished: number;
}

/** Attempts by id. */
export interface AttemptTable {
  add(attempt: Attempt): void;
  find(attemptId: string): Attempt | undefined;
  findFinished(attemptId: string): FinishedAttempt | undefined;
  /** Ends an open or unknown attempt; `refusal` says whether it ran. */
  complete(attemptId: string, refusal: Refusal, nowMs: number): void;
  getState(attemptId: string): AttemptState;
  listOpen(): readonly Attempt[];
  /** Removes finished attempts that are older than the retention time. */
  sweep(nowMs: number): void;
}

/** Creates an empty table. */
export function createAttemptTable(limits: AttemptTableLimits): AttemptTable {
  const open = new Map<string, Attempt>();
  /** In order of finishing. */
  const finished = new Map<string, FinishedAttempt>();

  const dropOldest = (
    shouldDrop: (oldest: FinishedAttempt) => boolean,
  ): void => {
    for (const [attemptId, oldest] of finished) {
      if (!shouldDrop(oldest)) return;
      finished.delete(attemptId);
    }
  };

  return {
    add: attempt => {
      const {attemptId} = attempt.open;
      const isKnown = open.has(attemptId) || finished.has(attemptId);
      assertInvariant(!isKnown, 'an attempt id is used once');
      open.set(attemptId, attempt);
    },
    find: attemptId => open.get(attemptId),
    findFinished: attemptId => finished.get(attemptId),
    complete: (attemptId, refusal, nowMs) => {
      open.delete(attemptId);
      if (finished.has(attemptId)) return;
      const hasNotRun = refusal.runState === RunState.NotRun;
      const state = hasNotRun ? AttemptState.Refused : AttemptState.Finished;
      finished.set(attemptId, {state, refusal, finishedMs: nowMs});
      dropOldest(() => finished.size > limits.maxFinished);
    },
    getState: attemptId =>
      open.get(attemptId)?.state ??
      finished.get(attemptId)?.state ??
      AttemptState.NeverSeen,
    listOpen: () => [...open.values()],
    sweep: nowMs =>
      dropOldest(oldest => nowMs - oldest.finishedMs >= limits.retentionMs),
  };
}
