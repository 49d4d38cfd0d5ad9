import {createManualClock} from '@siskinplank/foundation';
import {describe, expect, it} from 'vitest';
import {RefusalCode} from './refusals';
import {createResumeWait, shouldAwaitStart} from './resume-wait';
import type {StartWaitInput} from './resume-wait';

describe('wait for a process that starts', () => {
  const INPUT: StartWaitInput = {
    request: {lastEventId: '3'},
    refusal: {code: RefusalCode.NotReady},
    isLoaded: false,
    arrivedAtMs: 1_000,
    startedAtMs: 0,
    nowMs: 1_500,
  };

  const mayWait = (changes: Partial<StartWaitInput>): boolean =>
    shouldAwaitStart({...INPUT, ...changes});

  it('is for requests that resume a stream', () => {
    expect(mayWait({})).toBe(true);
    expect(mayWait({request: {lastEventId: undefined}})).toBe(false);
  });

  // Callers would wait for a store that does not respond.
  it('ends within the patience of callers', () => {
    expect(mayWait({nowMs: 2_000})).toBe(false);
    expect(mayWait({arrivedAtMs: 2_900, nowMs: 3_000})).toBe(false);
  });

  it('is not for refusals that stay', () => {
    const refusal = {code: RefusalCode.OriginUnknown};
    expect(mayWait({refusal})).toBe(true);
    expect(mayWait({refusal, isLoaded: true})).toBe(false);
    expect(mayWait({refusal: {code: RefusalCode.UnknownKey}})).toBe(false);
  });
});

describe('wait for the store', () => {
  /** Whether the store is read again, and the request is tried after it. */
  const isRefreshed = (code: RefusalCode): boolean => {
    let isRetried = false;
    const awaitRetry = createResumeWait({
      clock: createManualClock(),
      origins: {
        isLoaded: () => true,
        awaitRead: (_sinceMs, _nowMs, onEnd) => {
          onEnd();
          return true;
        },
      },
    });
    const request = {lastEventId: '3'};
    const times = {arrivedAtMs: 0, sinceMs: 0};
    awaitRetry({request, refusal: {code}, ...times}, () => {
      isRetried = true;
    });
    return isRetried;
  };

  it('is for requests whose stream began at an unknown version', () => {
    expect(isRefreshed(RefusalCode.OriginUnknown)).toBe(true);
    expect(isRefreshed(RefusalCode.VersionNotServed)).toBe(false);
  });
});
