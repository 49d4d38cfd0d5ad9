import {describe, expect, it} from 'vitest';
import {createOutageTracker} from './outage-tracker';
import {MajorityOutageRule} from './outage-rule';

const GRACE_MS = 60_000;

function createTracker(ownName: string, failureDomain: string) {
  const own: {outageMs?: number} = {};
  const tracker = createOutageTracker({
    ownName,
    region: 'r',
    failureDomain,
    reportLifetimeMs: 5_000,
    outageGraceMs: GRACE_MS,
    rule: new MajorityOutageRule(),
    getOwnOutageAtMs: () => own.outageMs,
  });
  return {own, tracker};
}

describe('outage tracker', () => {
  // Guards against an old report that looks new after several relays.
  it('keeps the age of a relayed report until it expires', () => {
    const first = createTracker('p1', 'a');
    const second = createTracker('p2', 'a');
    const third = createTracker('p3', 'a');
    first.own.outageMs = 1_000;
    const sent = first.tracker.makeReports(3_000, 0, 'p2');
    expect(sent?.reports).toEqual([[0, 'p1', 2_000]]);
    second.tracker.recordReports(sent!, 3_000);
    const relayed = second.tracker.makeReports(5_500, 0, 'p3');
    expect(relayed?.reports).toEqual([[0, 'p1', 4_500]]);
    third.tracker.recordReports(relayed!, 5_500);
    expect(third.tracker.isOutage(5_900, 0)).toBe(true);
    expect(third.tracker.isOutage(6_100, 0)).toBe(false);
    expect(second.tracker.makeReports(6_100, 0, 'p3')).toBeUndefined();
  });

  // Guards against reports that two peers relay to each other for ever.
  it('neither returns a report to its reporter nor accepts its own', () => {
    const {tracker, own} = createTracker('p1', 'a');
    const domains: Array<[string, string, number]> = [['r', 'a', 0]];
    tracker.recordReports({domains, reports: [[0, 'p2', 0]]}, 1_000);
    expect(tracker.makeReports(1_000, 0, 'p2')).toBeUndefined();
    const echo = {domains, reports: [[0, 'p1', 0] as [number, string, number]]};
    expect(tracker.recordReports(echo, 1_000)).toBe(false);
    own.outageMs = 1_000;
    expect(tracker.makeReports(1_000, 0, 'p2')?.reports).toEqual([
      [0, 'p1', 0],
    ]);
  });

  it('ignores a report whose domain is not in the message', () => {
    const {tracker} = createTracker('p1', 'a');
    const message = {
      domains: [['r', 'a', 0] as [string, string, number]],
      reports: [[7, 'p2', 0] as [number, string, number]],
    };
    expect(tracker.recordReports(message, 1_000)).toBe(false);
    expect(tracker.isOutage(1_000, 0)).toBe(false);
  });

  it('measures the grace time of a domain from the last confirmation', () => {
    const {tracker} = createTracker('p1', 'a');
    tracker.recordReports({domains: [['r', 'b', 0]], reports: []}, 10_000);
    const listDomains = (nowMs: number, confirmedMs: number): string[] =>
      tracker
        .collectEvidence(nowMs, confirmedMs)
        .domains.map(({failureDomain}) => failureDomain);
    expect(listDomains(10_000 + 5 * GRACE_MS, 20_000)).toContain('b');
    expect(listDomains(10_000 + 5 * GRACE_MS, 10_001 + GRACE_MS)).toEqual([
      'a',
    ]);
  });
});
