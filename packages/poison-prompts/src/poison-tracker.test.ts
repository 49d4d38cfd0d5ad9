import {describe, expect, it} from 'vitest';
import type {BlameEnd} from './blame-table';
import {createPoisonTracker} from './poison-tracker';
import type {PoisonTracker} from './poison-tracker';

interface TestTracker extends Omit<PoisonTracker, 'recordEnding'> {
  /** Records an end with requests that waited, and those that had begun. */
  recordEnding(
    upstream: string,
    waiting: readonly string[][],
    nowMs: number,
    begun?: readonly string[][],
  ): void;
  blamed: string[];
  lifted: Array<[string, BlameEnd]>;
  countNews(): number;
}

function createTestTracker(isTrialOwner = true): TestTracker {
  const blamed: string[] = [];
  const lifted: Array<[string, BlameEnd]> = [];
  let news = 0;
  const tracker = createPoisonTracker({
    isTrialOwner: () => isTrialOwner,
    onBlame: parts => blamed.push(parts.join(' ')),
    onLift: (parts, end) => lifted.push([parts.join(' '), end]),
    onNews: () => {
      news += 1;
    },
  });
  return {
    ...tracker,
    recordEnding: (upstream, waiting, nowMs, begunRequests = []) =>
      tracker.recordEnding(
        upstream,
        [
          ...waiting.map(parts => ({parts, hasBegun: false})),
          ...begunRequests.map(parts => ({parts, hasBegun: true})),
        ],
        nowMs,
      ),
    blamed,
    lifted,
    countNews: () => news,
  };
}

/** Passes the reports of all trackers to each other. */
function sendReports(trackers: readonly TestTracker[], nowMs: number): void {
  const reports = trackers.map(tracker => tracker.describe(nowMs));
  trackers.forEach((tracker, index) =>
    reports.forEach((report, from) => {
      if (from !== index) tracker.updatePeer(report, nowMs);
    }),
  );
}

describe('poison tracker', () => {
  it('blames the part that two ends have in common', () => {
    const tracker = createTestTracker();
    tracker.recordAnswer(['shared'], 0);
    tracker.recordEnding('u1', [['shared', 'x', 'bad'], ['y']], 1_000);
    expect(tracker.blamed).toEqual([]);
    tracker.recordEnding('u2', [['shared', 'z', 'bad']], 2_000);
    expect(tracker.blamed).toEqual(['bad']);
    expect(tracker.checkPrompt(['shared', 'bad'], 2_100).isRefused).toBe(true);
    expect(tracker.checkPrompt(['shared', 'z'], 2_100).isRefused).toBe(false);
  });

  it('refuses only prompts with all suspects, and narrows them by answers', () => {
    const tracker = createTestTracker();
    tracker.recordEnding('u1', [['shared', 'bad']], 1_000);
    tracker.recordEnding('u2', [['shared', 'bad']], 2_000);
    expect(tracker.checkPrompt(['shared'], 2_100).isRefused).toBe(false);
    expect(tracker.checkPrompt(['shared', 'bad'], 2_100).isRefused).toBe(true);
    tracker.recordAnswer(['shared', 'other'], 2_200);
    expect(tracker.checkPrompt(['bad', 'other'], 2_300).isRefused).toBe(true);
  });

  it('does not blame sound parts that were open at two ends', () => {
    const tracker = createTestTracker();
    const peer = createTestTracker();
    peer.recordAnswer(['sound'], 0);
    tracker.recordEnding('u1', [['sound'], ['bad']], 1_000);
    sendReports([tracker, peer], 1_100);
    sendReports([tracker, peer], 1_300);
    tracker.recordEnding('u2', [['sound'], ['bad']], 2_000);
    expect(tracker.blamed).toEqual(['bad']);
  });

  it('finds two poisoned parts at once', () => {
    const tracker = createTestTracker();
    tracker.recordEnding('u1', [['p', 'first']], 1_000);
    tracker.recordEnding('u2', [['q', 'second']], 1_200);
    tracker.recordEnding('u3', [['r', 'first']], 1_400);
    tracker.recordEnding('u4', [['s', 'second']], 1_600);
    expect(tracker.blamed).toEqual(['first', 'second']);
  });

  it('blames nothing when upstreams end for other reasons', () => {
    const tracker = createTestTracker();
    for (let end = 0; end < 20; end += 1) {
      const open = [0, 1, 2, 3].map(index => ['shared', `s${end}-${index}`]);
      tracker.recordEnding(`u${end}`, open, 1_000 * end);
      tracker.recordAnswer(['shared', `t${end}`], 1_000 * end + 500);
    }
    expect(tracker.countBlames()).toBe(0);
  });

  it('counts ends at the same moment as one', () => {
    const tracker = createTestTracker();
    tracker.recordEnding('u1', [['x']], 1_000);
    tracker.recordEnding('u2', [['x']], 1_020);
    expect(tracker.blamed).toEqual([]);
    tracker.recordEnding('u3', [['x']], 1_500);
    expect(tracker.blamed).toEqual(['x']);
  });

  it('needs more ends to blame a part of many requests', () => {
    const tracker = createTestTracker();
    const open = ['a', 'b', 'c'].map(own => ['popular', own]);
    for (let end = 0; end < 3; end += 1) {
      const requests = open.map(([popular, own]) => [popular, `${own}${end}`]);
      tracker.recordEnding(`u${end}`, requests, 1_000 * end);
    }
    expect(tracker.blamed).toEqual([]);
    tracker.recordEnding('u3', [['popular', 'd']], 4_000);
    expect(tracker.blamed).toEqual(['popular']);
  });

  it('lifts an alternative once a further end tells them apart', () => {
    const tracker = createTestTracker();
    tracker.recordEnding('u1', [['bad'], ['sound']], 1_000);
    tracker.recordEnding('u2', [['bad'], ['sound']], 2_000);
    expect(tracker.blamed).toEqual(['bad', 'sound']);
    tracker.recordEnding('u3', [['bad']], 2_300);
    expect(tracker.lifted).toEqual([['sound', 'explained-by-other']]);
    expect(tracker.isBlamed(['bad'])).toBe(true);
  });

  it('finds a cause that only peers saw behind an end already explained', () => {
    const tracker = createTestTracker();
    const peer = createTestTracker();
    tracker.recordEnding('u1', [['sound']], 1_000);
    tracker.recordEnding('u2', [['sound']], 2_000);
    peer.recordEnding('u1', [['bad']], 1_000);
    peer.recordEnding('u2', [['bad']], 2_000);
    sendReports([tracker, peer], 2_100);
    expect(tracker.isBlamed(['bad'])).toBe(true);
    expect(peer.isBlamed(['bad'])).toBe(true);
  });

  it('suspects requests whose responses had begun before those that waited', () => {
    const tracker = createTestTracker();
    tracker.recordEnding('u1', [['retried']], 1_000, [['bad', 'x']]);
    tracker.recordEnding('u2', [['retried']], 2_000, [['bad', 'y']]);
    expect(tracker.blamed).toEqual(['bad']);
  });

  it('lifts a blame when a peer reports a request whose response had begun', () => {
    const tracker = createTestTracker();
    const peer = createTestTracker();
    tracker.recordEnding('u1', [['retried']], 1_000);
    tracker.recordEnding('u2', [['retried']], 2_000);
    expect(tracker.isBlamed(['retried'])).toBe(true);
    peer.recordEnding('u1', [], 1_000, [['bad', 'x']]);
    peer.recordEnding('u2', [], 2_000, [['bad', 'y']]);
    sendReports([tracker, peer], 2_100);
    sendReports([tracker, peer], 2_300);
    for (const gateway of [tracker, peer]) {
      expect(gateway.isBlamed(['retried'])).toBe(false);
      expect(gateway.isBlamed(['bad'])).toBe(true);
    }
  });

  it('suspects the waiting requests once those that had begun are sound', () => {
    const tracker = createTestTracker();
    tracker.recordEnding('u1', [['bad']], 1_000, [['begun']]);
    tracker.recordEnding('u2', [['bad']], 2_000);
    expect(tracker.blamed).toEqual([]);
    tracker.recordAnswer(['begun'], 2_500);
    expect(tracker.blamed).toEqual(['bad']);
  });

  it('tests a blame with one request after its delay, at the owner only', () => {
    const owner = createTestTracker();
    const other = createTestTracker(false);
    owner.recordEnding('u1', [['bad']], 1_000);
    owner.recordEnding('u2', [['bad']], 2_000);
    sendReports([owner, other], 2_100);
    expect(owner.checkPrompt(['bad'], 20_000).isRefused).toBe(true);
    const verdict = owner.checkPrompt(['bad'], 40_000);
    expect(verdict).toMatchObject({isRefused: false, isTrial: true});
    expect(owner.checkPrompt(['bad'], 40_100).isRefused).toBe(true);
    expect(other.checkPrompt(['bad'], 40_100).isRefused).toBe(true);
  });

  it('waits longer after each test that ends an upstream', () => {
    const owner = createTestTracker();
    const other = createTestTracker(false);
    owner.recordEnding('u1', [['bad']], 1_000);
    owner.recordEnding('u2', [['bad']], 2_000);
    sendReports([owner, other], 2_100);
    expect(owner.checkPrompt(['bad'], 40_000).isTrial).toBe(true);
    owner.recordEnding('u3', [['bad']], 40_300);
    sendReports([owner, other], 40_400);
    expect(owner.checkPrompt(['bad'], 90_000).isRefused).toBe(true);
    expect(owner.checkPrompt(['bad'], 101_000).isTrial).toBe(true);
    expect(other.isBlamed(['bad'])).toBe(true);
  });

  it('lifts a false blame everywhere when its test is answered', () => {
    const trackers = [createTestTracker(), createTestTracker(false)];
    const [owner, other] = trackers;
    owner.recordEnding('u1', [['sound']], 1_000);
    owner.recordEnding('u2', [['sound']], 2_000);
    sendReports(trackers, 2_100);
    expect(other.isBlamed(['sound'])).toBe(true);
    expect(owner.checkPrompt(['sound'], 40_000).isTrial).toBe(true);
    owner.recordAnswer(['sound'], 40_500);
    sendReports(trackers, 40_600);
    sendReports(trackers, 40_800);
    expect(owner.lifted).toEqual([['sound', 'found-sound']]);
    for (const tracker of trackers) {
      expect(tracker.isBlamed(['sound'])).toBe(false);
    }
  });

  it('passes a blame on to a gateway that is new or was cut off', () => {
    const first = createTestTracker();
    const second = createTestTracker();
    first.recordEnding('u1', [['bad']], 1_000);
    second.recordEnding('u2', [['bad']], 2_000);
    expect(first.isBlamed(['bad'])).toBe(false);
    sendReports([first, second], 2_100);
    const joined = createTestTracker();
    // The evidence has expired, the blame has not.
    sendReports([first, joined], 100_000);
    expect(joined.isBlamed(['bad'])).toBe(true);
  });

  it('blames on its own evidence when it is cut off', () => {
    const cutOff = createTestTracker();
    cutOff.recordEnding('u1', [['bad']], 1_000);
    cutOff.recordEnding('u2', [['bad']], 2_000);
    expect(cutOff.isBlamed(['bad'])).toBe(true);
  });

  it('keeps its report bounded and silent without evidence', () => {
    const tracker = createTestTracker();
    for (let index = 0; index < 20_000; index += 1) {
      tracker.recordAnswer([`p${index}`], index);
    }
    expect(tracker.countNews()).toBe(0);
    for (let end = 0; end < 200; end += 1) {
      const open = Array.from({length: 100}, (_, own) => [`q${end}-${own}`]);
      tracker.recordEnding(`u${end}`, open, 20_000 + end * 60);
    }
    const report = tracker.describe(33_000);
    expect(report.endings.length).toBeLessThanOrEqual(8);
    for (const [, , begun, waiting] of report.endings) {
      expect(begun.length + waiting.length).toBeLessThanOrEqual(32);
    }
    expect(report.sound).toEqual([]);
  });

  it('reports an answer once to a peer that repeats its suspicion', () => {
    const tracker = createTestTracker();
    const peer = createTestTracker();
    tracker.recordAnswer(['sound'], 0);
    peer.recordEnding('u1', [['sound', 'x']], 1_000);
    const report = peer.describe(1_100);
    for (let period = 0; period < 10; period += 1) {
      tracker.updatePeer(report, 1_200 + period * 200);
    }
    expect(tracker.countNews()).toBe(1);
  });
});
