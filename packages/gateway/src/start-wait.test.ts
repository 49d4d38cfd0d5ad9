import {describe, expect, it} from 'vitest';
import {RefusalCode} from './refusals';
import {shouldAwaitStart} from './start-wait';
import type {StartWaitInput} from './start-wait';

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
