import {describe, expect, it} from 'vitest';
import {createUpstreamProgress} from './upstream-progress';
import {FailoverReason, planFailover} from './failover';
import type {FailoverInput} from './failover';

const INPUT: FailoverInput = {
  canRepeat: true,
  isStream: true,
  hasReceivedEvents: false,
  silentMs: 0,
  upstreamSilentMs: 0,
  isUpstreamStalled: false,
  targetLatencyMs: 800,
};

describe('failover from unresponsive upstreams', () => {
  it('never fails over a request that may run only once', () => {
    const input = {
      ...INPUT,
      canRepeat: false,
      silentMs: 9_000,
      upstreamSilentMs: 9_000,
      isUpstreamStalled: true,
    };
    expect(planFailover(input)).toBeUndefined();
  });

  // An upstream stops responding during running streams. Callers abandon a
  // stream after 2 to 3 s without an event.
  it('fails over a stream when all streams of its upstream stall', () => {
    const input = {...INPUT, hasReceivedEvents: true, silentMs: 1_200};
    expect(planFailover(input)).toBeUndefined();
    expect(planFailover({...input, isUpstreamStalled: true})).toBe(
      FailoverReason.Stalled,
    );
  });

  it('keeps waiting for an upstream that responds to other requests', () => {
    const input = {...INPUT, silentMs: 1_800, upstreamSilentMs: 20};
    expect(planFailover(input)).toBeUndefined();
    expect(planFailover({...input, upstreamSilentMs: 1_800})).toBe(
      FailoverReason.Unanswered,
    );
  });

  it('fails over a plain request after a multiple of its target', () => {
    const input = {...INPUT, isStream: false, targetLatencyMs: 150};
    expect(planFailover({...input, silentMs: 400})).toBeUndefined();
    expect(planFailover({...input, silentMs: 460})).toBe(
      FailoverReason.Unanswered,
    );
  });
});

describe('progress of an upstream', () => {
  it('is stalled when none of several streams receives bytes', () => {
    const progress = createUpstreamProgress();
    progress.addStream(0);
    progress.addStream(0);
    progress.recordBytesReceived(100);
    expect(progress.isStalled(700)).toBe(false);
    expect(progress.isStalled(900)).toBe(true);
    progress.recordBytesReceived(901);
    expect(progress.isStalled(1_000)).toBe(false);
  });

  it('stalls later with a single stream and never without one', () => {
    const progress = createUpstreamProgress();
    progress.addStream(0);
    expect(progress.isStalled(900)).toBe(false);
    expect(progress.isStalled(1_200)).toBe(true);
    progress.removeStream();
    expect(progress.isStalled(9_000)).toBe(false);
  });

  it('measures unanswered time from the oldest unanswered request', () => {
    const progress = createUpstreamProgress();
    expect(progress.getUnansweredMs(500)).toBe(0);
    progress.recordRequestSent(500);
    progress.recordRequestSent(800);
    expect(progress.getUnansweredMs(1_000)).toBe(500);
    progress.recordBytesReceived(1_000);
    expect(progress.getUnansweredMs(5_000)).toBe(0);
  });

  it('expires pauses after some seconds', () => {
    const progress = createUpstreamProgress();
    progress.recordPause('m', 40, 0);
    progress.recordPause('m', 80, 100);
    expect(progress.getPauseMs('m', 200)).toBeGreaterThan(40);
    expect(progress.getPauseMs('m', 4_000)).toBeUndefined();
  });
});
