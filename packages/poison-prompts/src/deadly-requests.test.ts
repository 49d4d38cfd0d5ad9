import {describe, expect, it} from 'vitest';
import {createDeadlyRequests} from './deadly-requests';
import type {DeadlyRequests, UnansweredEnd} from './deadly-requests';

const NOW_MS = 1_000;
const SECOND_MS = 1_000;
const MINUTE_MS = 60_000;
const HOUR_MS = 3_600_000;
/** Processor time of one turn of the event loop. */
const MAX_TURN_MS = 120;
/** Two ends at a time further apart have separate causes. */
const APART_MS = 200;

const create = (isOwner = true): DeadlyRequests =>
  createDeadlyRequests({isTrialOwner: () => isOwner});

const waiting = (upstream: string): UnansweredEnd => ({
  upstream,
  hasBegun: false,
  isRepeated: false,
});

const recordTwoEnds = (requests: DeadlyRequests, key: string): void => {
  requests.recordEnd(key, waiting('u1'), NOW_MS);
  requests.recordEnd(key, waiting('u2'), NOW_MS + APART_MS);
};

const exchange = (
  from: DeadlyRequests,
  to: DeadlyRequests,
  nowMs: number,
): string[] => to.merge(from.list(nowMs), nowMs);

/** Returns the time of the next test, from `nowMs` on. */
const findTrialMs = (
  requests: DeadlyRequests,
  key: string,
  nowMs: number,
): number => {
  for (let atMs = nowMs; atMs < nowMs + 5 * HOUR_MS; atMs += SECOND_MS) {
    if (requests.checkRequest(key, atMs).isTrial) return atMs;
  }
  return Infinity;
};

describe('requests under which upstreams ended', () => {
  // Guards against a request that ends one upstream after the other.
  it('are refused after two ends, not after one end that is reported twice', () => {
    const requests = create();
    requests.recordEnd('k', waiting('u1'), NOW_MS);
    requests.recordEnd('k', waiting('u1'), NOW_MS + APART_MS);
    expect(requests.checkRequest('k', NOW_MS + APART_MS).isRefused).toBe(false);
    requests.recordEnd('k', waiting('u2'), NOW_MS + APART_MS);
    const verdict = requests.checkRequest('k', NOW_MS + APART_MS);
    expect(verdict.isRefused).toBe(true);
    expect(verdict.retryAfterMs).toBeGreaterThan(0);
  });

  it('are refused after one end that the upstream had just begun to answer', () => {
    const requests = create();
    requests.recordEnd('k', {...waiting('u1'), hasBegun: true}, NOW_MS);
    requests.recordEnd('beside', waiting('u1'), NOW_MS);
    expect(requests.isRefused('k')).toBe(true);
    expect(requests.isRefused('beside')).toBe(false);
  });

  // Guards against refusals of all that was open when a machine failed.
  it('are not refused after ends that may have a common cause', () => {
    const requests = create();
    requests.recordEnd('k', waiting('u1'), NOW_MS);
    requests.recordEnd('k', waiting('u2'), NOW_MS + 20);
    expect(requests.isRefused('k')).toBe(false);
  });

  // Guards against a third end: a retry ends the next upstream at once.
  it('are refused if the second end follows a retry at once', () => {
    const requests = create();
    requests.recordEnd('k', waiting('u1'), NOW_MS);
    const repeated = {...waiting('u2'), isRepeated: true};
    requests.recordEnd('k', repeated, NOW_MS + 5);
    expect(requests.isRefused('k')).toBe(true);
  });
});

describe('the evidence of several gateways', () => {
  it('adds up: one end at each of two is enough for all', () => {
    const [first, second, third] = [create(), create(), create()];
    first.recordEnd('k', waiting('u1'), NOW_MS);
    second.recordEnd('k', waiting('u2'), NOW_MS + APART_MS);
    const nowMs = NOW_MS + 2 * APART_MS;
    expect(exchange(first, third, nowMs)).toEqual([]);
    expect(exchange(second, third, nowMs)).toEqual(['k']);
    expect(exchange(first, second, nowMs)).toEqual(['k']);
    expect(exchange(second, first, nowMs)).toEqual(['k']);
    for (const requests of [first, second, third]) {
      expect(requests.isRefused('k')).toBe(true);
    }
  });

  it('counts one end once, though two saw it', () => {
    const [first, second] = [create(), create()];
    first.recordEnd('k', waiting('u1'), NOW_MS);
    second.recordEnd('k', waiting('u1'), NOW_MS + APART_MS);
    exchange(first, second, NOW_MS + APART_MS);
    expect(second.isRefused('k')).toBe(false);
  });

  it('reaches a gateway that starts later', () => {
    const [first, late] = [create(), create()];
    recordTwoEnds(first, 'k');
    const nowMs = NOW_MS + MINUTE_MS;
    expect(exchange(first, late, nowMs)).toEqual(['k']);
    expect(late.checkRequest('k', nowMs).isRefused).toBe(false);
    expect(late.isRefused('k')).toBe(true);
  });

  // Guards against refusals of a request that many send, as a status that is
  // polled, since it is open whenever an upstream ends.
  it('is cleared by an answer at any gateway', () => {
    const [first, second, third] = [create(), create(), create()];
    first.recordEnd('k', waiting('u1'), NOW_MS);
    exchange(first, second, NOW_MS + 10);
    expect(second.recordAnswer('k', NOW_MS + 20)).toBe(false);
    exchange(second, first, NOW_MS + 30);
    exchange(first, third, NOW_MS + 40);
    first.recordEnd('k', waiting('u2'), NOW_MS + APART_MS);
    exchange(second, first, NOW_MS + APART_MS);
    expect(first.isRefused('k')).toBe(false);
    exchange(first, third, NOW_MS + APART_MS);
    exchange(second, third, NOW_MS + APART_MS);
    expect(third.isRefused('k')).toBe(false);
  });

  it('lifts a refusal everywhere once one gateway sees an answer', () => {
    const [first, second] = [create(), create()];
    recordTwoEnds(first, 'k');
    exchange(first, second, NOW_MS + APART_MS);
    expect(second.recordAnswer('k', NOW_MS + SECOND_MS)).toBe(true);
    exchange(first, second, NOW_MS + SECOND_MS + 10);
    expect(second.isRefused('k')).toBe(false);
    exchange(second, first, NOW_MS + SECOND_MS + 20);
    expect(first.isRefused('k')).toBe(false);
  });

  // Guards against times that drift as gateways repeat what they were told.
  it('stays the same while gateways repeat it to each other', () => {
    const [first, second] = [create(), create()];
    recordTwoEnds(first, 'k');
    for (let round = 0; round < 200; round += 1) {
      const nowMs = NOW_MS + SECOND_MS + round * 50.7;
      exchange(first, second, nowMs);
      exchange(second, first, nowMs + 0.3);
    }
    const nowMs = NOW_MS + 13 * SECOND_MS;
    const left = first.checkRequest('k', nowMs).retryAfterMs;
    const right = second.checkRequest('k', nowMs).retryAfterMs;
    expect(Math.abs(left - right)).toBeLessThan(2);
    expect(left).toBeCloseTo(APART_MS + 2 * SECOND_MS, 0);
  });

  // Guards against an end that is found out later than an answer that followed.
  it('counts no end before an answer at another gateway', () => {
    const [first, second] = [create(), create()];
    first.recordEnd('k', waiting('u1'), NOW_MS);
    exchange(first, second, NOW_MS + 10);
    second.recordAnswer('k', NOW_MS + 2 * APART_MS);
    exchange(second, first, NOW_MS + 2 * APART_MS);
    const begun = {...waiting('u2'), hasBegun: true};
    first.recordEnd('k', begun, NOW_MS + APART_MS);
    expect(first.isRefused('k')).toBe(false);
    first.recordEnd('k', begun, NOW_MS + 3 * APART_MS);
    expect(first.isRefused('k')).toBe(true);
  });
});

describe('a test of a refused request', () => {
  it('is made by one gateway, once at a time', () => {
    const [owner, other] = [create(true), create(false)];
    recordTwoEnds(owner, 'k');
    recordTwoEnds(other, 'k');
    const atMs = findTrialMs(owner, 'k', NOW_MS + APART_MS);
    expect(atMs - NOW_MS).toBeLessThan(20 * SECOND_MS);
    expect(owner.checkRequest('k', atMs + 1).isRefused).toBe(true);
    const verdict = other.checkRequest('k', atMs);
    expect(verdict).toEqual({
      isRefused: true,
      retryAfterMs: expect.any(Number) as number,
      isTrial: false,
    });
    expect(verdict.retryAfterMs).toBeGreaterThan(0);
  });

  // Guards against a caller that keeps its connection to a gateway which never
  // makes the test.
  it('is made by each gateway in turn', () => {
    const asked = new Set<string>();
    const requests = createDeadlyRequests({
      isTrialOwner: key => {
        asked.add(key);
        return false;
      },
    });
    recordTwoEnds(requests, 'k');
    findTrialMs(requests, 'k', NOW_MS + APART_MS);
    expect(asked.size).toBeGreaterThan(2);
  });

  // Guards against tests at several gateways at once, which exceed the retries
  // that a deadly request may have.
  it('is not made beside one of another gateway without a result yet', () => {
    const createOwner = (remainder: number): DeadlyRequests =>
      createDeadlyRequests({
        isTrialOwner: key => Number(key.split('/')[1]) % 2 === remainder,
      });
    const gateways = [createOwner(0), createOwner(1)];
    for (const requests of gateways) recordTwoEnds(requests, 'k');
    for (const callerFromMs of [0, 4_900, 9_900]) {
      const starts: number[] = [];
      const fromMs = NOW_MS + 30 * SECOND_MS + callerFromMs;
      for (let atMs = fromMs; atMs < fromMs + 15 * SECOND_MS; atMs += 100) {
        for (const requests of gateways) {
          if (requests.checkRequest('k', atMs).isTrial) starts.push(atMs);
        }
      }
      expect(starts.length).toBeGreaterThan(0);
      const gaps = starts.slice(1).map((atMs, index) => atMs - starts[index]);
      for (const gapMs of gaps) {
        expect(gapMs).toBeGreaterThanOrEqual(5 * SECOND_MS);
      }
    }
  });

  // Guards against sound requests that stay refused after they were open beside
  // one that ends upstreams.
  it('comes sooner where others may have caused the ends', () => {
    const alone = create();
    recordTwoEnds(alone, 'k');
    const beside = create();
    recordTwoEnds(beside, 'k');
    recordTwoEnds(beside, 'sound');
    const besideMs = findTrialMs(beside, 'sound', NOW_MS) - NOW_MS;
    expect(besideMs).toBeLessThan(7 * SECOND_MS);
    expect(findTrialMs(alone, 'k', NOW_MS) - NOW_MS).toBeGreaterThan(
      2 * besideMs,
    );
  });

  it('is not needed once a third end shows which request caused the others', () => {
    const requests = create();
    recordTwoEnds(requests, 'k');
    recordTwoEnds(requests, 'sound');
    requests.recordEnd('k', waiting('u3'), NOW_MS + 6 * SECOND_MS);
    expect(requests.isRefused('sound')).toBe(false);
    expect(requests.isRefused('k')).toBe(true);
  });

  // The rule allows three more after the third end, however long it lasts.
  it('ends few upstreams in an hour of a request that comes all the time', () => {
    const gateways = [create(true), create(false), create(false)];
    const ends: number[] = [];
    const halfSeconds = (2 * HOUR_MS) / SECOND_MS;
    for (let index = 0; index < halfSeconds; index += 1) {
      const nowMs = NOW_MS + (index * SECOND_MS) / 2;
      const requests = gateways[index % gateways.length];
      if (!requests.checkRequest('k', nowMs).isRefused) {
        ends.push(nowMs);
        requests.recordEnd('k', waiting(`u${ends.length}`), nowMs);
      }
      for (const other of gateways) {
        if (other !== requests) exchange(requests, other, nowMs);
      }
    }
    const third = ends[2];
    expect(ends.length).toBeGreaterThan(3);
    expect(ends.filter(atMs => atMs > third + 3_000).length).toBeLessThan(4);
  });
});

describe('the record', () => {
  it('is bounded in number, in memory and in reports', () => {
    const requests = create();
    recordTwoEnds(requests, 'deadly');
    for (let index = 0; index < 5_000; index += 1) {
      const nowMs = NOW_MS + APART_MS + index;
      requests.recordEnd(`k${index}`, waiting(`u${index}`), nowMs);
    }
    expect(requests.has('k0')).toBe(false);
    expect(requests.has('k4999')).toBe(true);
    expect(requests.isRefused('deadly')).toBe(true);
    const reported = requests.list(NOW_MS + 6_000);
    expect(reported.length).toBeLessThanOrEqual(32);
    expect(reported.map(([key]) => key)).toContain('deadly');
    for (let index = 0; index < 100; index += 1) {
      const nowMs = NOW_MS + index * SECOND_MS;
      requests.recordEnd('deadly', waiting(`v${index}`), nowMs);
    }
    const ends = requests
      .list(NOW_MS + 100 * SECOND_MS)
      .find(([key]) => key === 'deadly')?.[1];
    expect(ends?.length).toBeLessThanOrEqual(8);
  });

  // Guards against late turns of the event loop with each state of a gateway.
  it('is described in little time however many requests it has', () => {
    const requests = create();
    for (let index = 0; index < 1_024; index += 1) {
      recordTwoEnds(requests, `k${index}`);
    }
    const before = process.cpuUsage();
    requests.list(NOW_MS + SECOND_MS);
    expect(requests.countRefused()).toBe(1_024);
    const {user, system} = process.cpuUsage(before);
    expect((user + system) / 1_000).toBeLessThan(MAX_TURN_MS);
  });

  it('forgets requests that were answered or do not come again', () => {
    const requests = create();
    requests.recordEnd('answered', waiting('u1'), NOW_MS);
    requests.recordAnswer('answered', NOW_MS + 10);
    expect(requests.isEmpty()).toBe(true);
    const peer = create();
    recordTwoEnds(requests, 'old');
    for (let minute = 0; minute < 240; minute += 1) {
      exchange(requests, peer, NOW_MS + minute * MINUTE_MS);
      exchange(peer, requests, NOW_MS + minute * MINUTE_MS);
    }
    expect(requests.list(NOW_MS + 4 * HOUR_MS)).toEqual([]);
    expect(peer.list(NOW_MS + 4 * HOUR_MS)).toEqual([]);
    expect(peer.isEmpty()).toBe(true);
  });

  // Guards against peers that tell each other forever what each has forgotten.
  it('forgets requests that peers used last at different times', () => {
    const [first, second] = [create(false), create(false)];
    recordTwoEnds(first, 'old');
    exchange(first, second, NOW_MS + SECOND_MS);
    second.checkRequest('old', NOW_MS + MINUTE_MS);
    for (let seconds = 2; seconds * SECOND_MS < 3 * HOUR_MS; seconds += 1) {
      const nowMs = NOW_MS + seconds * SECOND_MS;
      exchange(first, second, nowMs);
      exchange(second, first, nowMs);
    }
    expect([first.isEmpty(), second.isEmpty()]).toEqual([true, true]);
  });
});
