import {describe, expect, it} from 'vitest';
import {shouldRefuseLateStart} from './late-start';

describe('late starts', () => {
  const TARGET_MS = 600;
  const SERVE_MS = 18;
  const REFUSE_MS = 6;
  const UPSTREAM_MS = 200;
  const LENGTH_MS = 10_000;

  /** Serves arrivals in order; returns how many were answered on time. */
  const runLoad = (periodMs: number, mayRefuse: boolean): number => {
    let nowMs = 0;
    let onTime = 0;
    for (let atMs = 0; atMs < LENGTH_MS; atMs += periodMs) {
      nowMs = Math.max(nowMs, atMs);
      const unreadMs = nowMs - atMs;
      const isRefused =
        mayRefuse &&
        shouldRefuseLateStart({
          unreadMs,
          targetLatencyMs: TARGET_MS,
          targetPauseMs: undefined,
          isResuming: false,
        });
      nowMs += isRefused ? REFUSE_MS : SERVE_MS;
      const isOnTime = nowMs + UPSTREAM_MS - atMs <= TARGET_MS;
      if (!isRefused && isOnTime) onTime += 1;
    }
    return onTime;
  };

  it('serves more callers on time than a queue without refusals', () => {
    const arrivals = LENGTH_MS / 12;
    expect(runLoad(12, false)).toBeLessThan(arrivals * 0.1);
    expect(runLoad(12, true)).toBeGreaterThan(arrivals * 0.4);
  });

  it('refuses nothing while there is enough processor time', () => {
    expect(runLoad(20, true)).toBe(LENGTH_MS / 20);
  });

  it('serves requests whose target latency leaves time', () => {
    const isRefused = (unreadMs: number, targetLatencyMs: number): boolean =>
      shouldRefuseLateStart({
        unreadMs,
        targetLatencyMs,
        targetPauseMs: undefined,
        isResuming: false,
      });
    expect(isRefused(1_500, 5_000)).toBe(false);
    expect(isRefused(100, 100)).toBe(false);
    expect(isRefused(400, 300)).toBe(true);
  });

  // After a restart of all gateways, resumed streams waited unread for a second.
  it('does not refuse a resumed stream whose caller still waits', () => {
    const isRefused = (
      unreadMs: number,
      targetLatencyMs: number,
      targetPauseMs?: number,
    ): boolean =>
      shouldRefuseLateStart({
        unreadMs,
        targetLatencyMs,
        targetPauseMs,
        isResuming: true,
      });
    expect(isRefused(1_600, 500)).toBe(false);
    expect(isRefused(1_800, 500)).toBe(true);
    expect(isRefused(1_800, 500, 300)).toBe(false);
    expect(isRefused(5_000, 1_500)).toBe(false);
    expect(isRefused(5_200, 1_500)).toBe(true);
  });
});
