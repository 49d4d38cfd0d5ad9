import {describe, expect, it} from 'vitest';
import {computeTokenWaitMs} from './caller-patience';

describe('wait for tokens of an account', () => {
  const INPUT = {
    isResuming: true,
    targetLatencyMs: 500,
    targetPauseMs: 250,
    arrivedAtMs: 0,
    deadlineAtMs: 15_000,
    nowMs: 0,
  };

  it('is longer for a resumed stream', () => {
    expect(computeTokenWaitMs(INPUT)).toBe(1_000);
    expect(computeTokenWaitMs({...INPUT, isResuming: false})).toBe(150);
  });

  // A caller that leaves while its request waits has kept tokens from others.
  it('ends before the caller of a resumed stream leaves', () => {
    expect(computeTokenWaitMs({...INPUT, nowMs: 1_300})).toBe(400);
    expect(computeTokenWaitMs({...INPUT, nowMs: 1_690})).toBe(150);
    expect(computeTokenWaitMs({...INPUT, deadlineAtMs: 600})).toBe(600);
  });
});
