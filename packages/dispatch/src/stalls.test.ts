import {describe, expect, it} from 'vitest';
import {createUpstreamProgress} from './progress';
import {FailoverReason, planFailover} from './stalls';
import type {FailoverInput} from './stalls';

const QUIET: FailoverInput = {
  canRepeat: true,
  isStream: true,
  hasReceivedEvents: false,
  silentMs: 0,
  upstreamSilentMs: 0,
  isUpstreamStalled: false,
  targetLatencyMs: 800,
};

describe('moves away from silent upstreams', () => {
  it('moves no request that may run only once', () => {
    const input = {
      ...QUIET,
      canRepeat: false,
      silentMs: 9_000,
      upstreamSilentMs: 9_000,
      isUpstreamStalled: true,
    };
    expect(planFailover(input)).toBeUndefined();
  });

  // The load: an upstream goes dark under running streams. Callers abandon a
  // stream after 2 to 3 s without an event.
  it('moves a stream when all streams of its upstream are silent', () => {
    const input = {...QUIET, hasReceivedEvents: true, silentMs: 1_200};
    expect(planFailover(input)).toBeUndefined();
    expect(planFailover({...input, isUpstreamStalled: true})).toBe(
      FailoverReason.Stalled,
    );
  });

  it('waits in the queue of an upstream that answers others', () => {
    const input = {...QUIET, silentMs: 1_800, upstreamSilentMs: 20};
    expect(planFailover(input)).toBeUndefined();
    expect(planFailover({...input, upstreamSilentMs: 1_800})).toBe(
      FailoverReason.Unanswered,
    );
  });

  it('repeats a plain request after some multiples of its target', () => {
    const input = {...QUIET, isStream: false, targetLatencyMs: 150};
    expect(planFailover({...input, silentMs: 400})).toBeUndefined();
    expect(planFailover({...input, silentMs: 460})).toBe(
      FailoverReason.Unanswered,
    );
  });
});

describe('progress of an upstream', () => {
  it('is stalled when no stream of several has bytes', () => {
    const progress = createUpstreamProgress();
    progress.addStream(0);
    progress.addStream(0);
    progress.recordBytesReceived(100);
    expect(progress.isStalled(700)).toBe(false);
    expect(progress.isStalled(900)).toBe(true);
    progress.recordBytesReceived(901);
    expect(progress.isStalled(1_000)).toBe(false);
  });

  it('gives a lone stream more time, and none without streams', () => {
    const progress = createUpstreamProgress();
    progress.addStream(0);
    expect(progress.isStalled(900)).toBe(false);
    expect(progress.isStalled(1_200)).toBe(true);
    progress.removeStream();
    expect(progress.isStalled(9_000)).toBe(false);
  });

  it('counts silence from the first request without an answer', () => {
    const progress = createUpstreamProgress();
    expect(progress.getUnansweredMs(500)).toBe(0);
    progress.recordRequestSent(500);
    progress.recordRequestSent(800);
    expect(progress.getUnansweredMs(1_000)).toBe(500);
    progress.recordBytesReceived(1_000);
    expect(progress.getUnansweredMs(5_000)).toBe(0);
  });

  it('forgets pauses that are seconds old', () => {
    const progress = createUpstreamProgress();
    progress.recordPause('m', 40, 0);
    progress.recordPause('m', 80, 100);
    expect(progress.getPauseMs('m', 200)).toBeGreaterThan(40);
    expect(progress.getPauseMs('m', 4_000)).toBeUndefined();
  });
});
