import {FailoverReason} from '@siskinplank/dispatch';
import type {UpstreamEntry} from '@siskinplank/dispatch';
import {
  LogLevel,
  createLogger,
  createManualClock,
  waitForPoll,
} from '@siskinplank/foundation';
import {RequestKind} from '@siskinplank/serving';
import {beforeEach, describe, expect, it} from 'vitest';
import {createFailover} from './request-failover';
import type {Failover} from './request-failover';
import type {AttemptTarget, SessionOptions} from './session-types';
import type {Attempt} from './upstream-attempt';

const SILENT_MS = 5_000;
/** Longer than an upstream that pauses takes to answer. */
const LATE_MS = 3_000;

let idleMs = SILENT_MS;
let isStalled = true;

function makeEntry(id: string): UpstreamEntry {
  return {
    upstream: {id},
    progress: {getUnansweredMs: () => SILENT_MS, isStalled: () => isStalled},
  } as unknown as UpstreamEntry;
}

function makeAttempt(entry: UpstreamEntry, wasSent: () => boolean): Attempt {
  return {
    entry,
    wasSent,
    hasEvents: () => true,
    getIdleMs: () => idleMs,
  } as unknown as Attempt;
}

describe('failover of a request', () => {
  const clock = createManualClock();
  const silent = makeAttempt(makeEntry('silent'), () => true);
  const other = makeEntry('other');
  let isBudgetLeft: boolean;
  let isConnected: boolean;
  let searches: Array<{
    onUpstream(entry: UpstreamEntry): void;
    onRefused(): void;
    isStopped: boolean;
  }>;
  let sentTo: Attempt[];
  let replacedBy: Attempt[];
  let cancelled: Attempt[];
  let reasons: FailoverReason[];
  let failover: Failover;

  beforeEach(() => {
    isBudgetLeft = true;
    idleMs = SILENT_MS;
    isStalled = true;
    isConnected = false;
    searches = [];
    sentTo = [];
    replacedBy = [];
    cancelled = [];
    reasons = [];
    failover = createFailover({
      session: {
        admitted: {
          request: {attemptId: 'a'},
          route: {
            kind: RequestKind.Stream,
            isResumable: true,
            targetLatencyMs: 500,
          },
        },
        clock,
        logger: createLogger({
          level: LogLevel.Error,
          fields: {},
          write: () => undefined,
          getWallMs: clock.getWallMs,
        }),
        acquireUpstream: (
          _target: AttemptTarget,
          onUpstream: (entry: UpstreamEntry) => void,
          onRefused: () => void,
        ) => {
          const search = {onUpstream, onRefused, isStopped: false};
          searches.push(search);
          return () => {
            search.isStopped = true;
          };
        },
        canSpendRetry: () => isBudgetLeft,
        trySpendRetry: () => isBudgetLeft,
        recordFailover: (reason: FailoverReason) => reasons.push(reason),
        recordFault: () => undefined,
      } as unknown as SessionOptions,
      getTarget: () => ({
        triedUpstreamIds: new Set(['silent']),
        softwareVersion: undefined,
      }),
      maySend: () => true,
      send: entry => {
        const attempt = makeAttempt(entry, () => isConnected);
        sentTo.push(attempt);
        return attempt;
      },
      cancel: successor => void cancelled.push(successor),
      onReplaced: successor => replacedBy.push(successor),
    });
  });

  const check = (): void => failover.checkProgress(silent, clock.getNowMs());

  it('searches once, and again after a search without a result', () => {
    check();
    check();
    expect(searches.length).toBe(1);
    searches[0].onRefused();
    check();
    expect(searches.length).toBe(2);
    expect(replacedBy).toEqual([]);
  });

  it('replaces the attempt when the other upstream answers, not before', () => {
    check();
    searches[0].onUpstream(other);
    expect(sentTo.length).toBe(1);
    failover.handleSent(other);
    expect(replacedBy).toEqual([]);
    failover.handleAnswering(silent);
    expect(replacedBy).toEqual([]);
    failover.handleAnswering(sentTo[0]);
    expect(replacedBy).toEqual(sentTo);
    expect(reasons).toEqual([FailoverReason.Stalled]);
  });

  // The other upstream may pause as well, and reject the request after that.
  it.each([true, false])(
    'keeps the attempt until the other upstream answers, open connection: %s',
    async isOpen => {
      isConnected = isOpen;
      check();
      searches[0].onUpstream(other);
      isConnected = true;
      failover.handleSent(other);
      clock.runFor(LATE_MS);
      await waitForPoll();
      expect(replacedBy).toEqual([]);
      failover.handleAnswering(sentTo[0]);
      expect(replacedBy).toEqual(sentTo);
    },
  );

  it('keeps an attempt at another silent upstream until a third one goes on', () => {
    check();
    searches[0].onUpstream(other);
    check();
    expect(searches.length).toBe(1);
    isConnected = true;
    check();
    searches[1].onUpstream(makeEntry('third'));
    expect(cancelled).toEqual([]);
    failover.handleAnswering(sentTo[1]);
    expect(replacedBy).toEqual([sentTo[1]]);
    expect(cancelled).toEqual([sentTo[0]]);
  });

  it.each([true, false])(
    'replaces an attempt that fails by another one, sent: %s',
    wasSent => {
      check();
      expect(failover.replaceFailed()).toBe(false);
      isConnected = wasSent;
      searches[0].onUpstream(other);
      expect(failover.replaceFailed()).toBe(true);
      expect(replacedBy).toEqual(sentTo);
      expect(failover.replaceFailed()).toBe(false);
    },
  );

  it('keeps the attempt when the other upstream rejects the request', async () => {
    check();
    searches[0].onUpstream(other);
    failover.handleSent(other);
    expect(failover.handleFailure(sentTo[0])).toBe(true);
    clock.runFor(LATE_MS);
    await waitForPoll();
    expect(replacedBy).toEqual([]);
  });

  it('keeps the attempt when the other upstream refuses the connection', () => {
    check();
    searches[0].onUpstream(other);
    expect(failover.handleFailure(sentTo[0])).toBe(true);
    expect(failover.handleFailure(silent)).toBe(false);
    expect(replacedBy).toEqual([]);
    check();
    expect(searches.length).toBe(2);
  });

  it('keeps the attempt when its upstream goes on during the search', () => {
    check();
    idleMs = 0;
    isStalled = false;
    searches[0].onUpstream(other);
    expect(sentTo).toEqual([]);
  });

  it('searches no upstream without a retry in the budget', () => {
    isBudgetLeft = false;
    check();
    expect(searches).toEqual([]);
  });

  it('keeps the attempt when the last retry of the budget is spent meanwhile', () => {
    check();
    isBudgetLeft = false;
    searches[0].onUpstream(other);
    expect(sentTo).toEqual([]);
    expect(replacedBy).toEqual([]);
  });

  it('ends the search and gives up what was not sent when it is stopped', () => {
    check();
    failover.stop();
    expect(cancelled).toEqual([]);
    expect(searches[0].isStopped).toBe(true);
    check();
    searches[1].onUpstream(other);
    failover.stop();
    expect(cancelled).toEqual(sentTo);
    failover.handleSent(other);
    expect(replacedBy).toEqual([]);
  });
});
