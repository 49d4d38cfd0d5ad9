/** Tests of refused requests, and which ends count. */
import {LogLevel, createLogger} from '@siskinplank/foundation';
import {
  MemberState,
  MessageType,
  ProcessRole,
  TargetType,
  computeRequestKey,
} from '@siskinplank/messages';
import type {Member} from '@siskinplank/messages';
import {PriorityClass, RefusalCode, RunState} from '@siskinplank/resources';
import {describe, expect, it} from 'vitest';
import {makeAccountTag} from '../requests/account-tag';
import type {CallerRequest} from '../requests/types';
import {HASH_KEY} from '../testing/harness';
import {createPoisonGuard} from './poison-guard';
import type {PoisonGuard} from './poison-guard';

function makeRequest(path: string): CallerRequest {
  return {
    requestId: 'r',
    identity: undefined,
    target: {type: TargetType.Route, route: 'catalogue'},
    method: 'GET',
    path,
    headers: {},
    body: new Uint8Array(),
    priority: PriorityClass.Awaited,
    deadlineAtMs: 0,
    estimatedTokens: 1,
    idempotent: true,
    idempotencyKey: undefined,
    prefixHashes: [],
    traceparent: '',
  };
}

const REQUEST = makeRequest('/catalogue/1');
const ENTRY_NAMES = ['entry-1', 'entry-2', 'entry-3'];

function makeKey({method, path, body}: CallerRequest): string {
  const accountTag = makeAccountTag(HASH_KEY, undefined);
  return computeRequestKey({accountTag, method, path, body});
}

function makeEntry(name: string): Member {
  return {
    name,
    incarnation: '1',
    role: ProcessRole.Entry,
    host: '127.0.0.1',
    port: 1,
    failureDomain: 'a',
    region: 'r',
    state: MemberState.Live,
    sequence: 1,
  };
}

function createGuard(name: string, members: readonly string[]): PoisonGuard {
  return createPoisonGuard({
    processName: name,
    logger: createLogger({
      level: LogLevel.Error,
      getWallMs: () => 0,
      write: () => undefined,
    }),
    listMembers: () => members.map(makeEntry),
    hashKey: HASH_KEY,
  });
}

let endCount = 0;

/** Records one end at all entry processes. */
function recordEnd(
  guards: readonly PoisonGuard[],
  nowMs: number,
  ranMs = 1,
  request = REQUEST,
): void {
  endCount += 1;
  for (const guard of guards) {
    guard.recordEnd(
      {
        type: MessageType.UpstreamEnded,
        upstream: 'u1',
        endId: `end-${endCount}`,
        requests: [[makeKey(request), ranMs]],
      },
      nowMs,
    );
  }
}

/** Counts how many entry processes let the request through at `nowMs`. */
function countSent(guards: readonly PoisonGuard[], nowMs: number): number {
  return guards.filter(
    guard => guard.guardRequest(REQUEST).check(nowMs) === undefined,
  ).length;
}

describe('guard against requests that end upstreams', () => {
  // Guards against a refusal that is not true, or says no time.
  it('refuses as not run, with the time until a test', () => {
    const guard = createGuard('entry-1', []);
    recordEnd([guard], 1_000);
    expect(guard.guardRequest(REQUEST).check(1_010)).toBeUndefined();
    recordEnd([guard], 1_020);
    const refusal = guard.guardRequest(REQUEST).check(1_030);
    expect(refusal).toMatchObject({
      code: RefusalCode.PoisonedRequest,
      runState: RunState.NotRun,
    });
    expect(refusal?.retryAfterMs).toBeGreaterThan(1_000);
    const other = makeRequest('/catalogue/2');
    expect(guard.guardRequest(other).check(1_030)).toBeUndefined();
  });

  // Guards against a refusal after one cause ended two upstreams at once.
  it('counts ends at the same moment as one', () => {
    const guard = createGuard('entry-1', []);
    recordEnd([guard], 1_000, 500);
    recordEnd([guard], 1_020, 500);
    expect(guard.guardRequest(REQUEST).check(1_030)).toBeUndefined();
  });

  // Guards against each entry process ending an upstream by a test of its own,
  // and against tests at a constant rate.
  it('lets one test through over all entry processes, ever later', () => {
    const guards = ENTRY_NAMES.map(name => createGuard(name, ENTRY_NAMES));
    recordEnd(guards, 0);
    recordEnd(guards, 1_000);
    const tests: number[] = [];
    for (let nowMs = 1_100; nowMs < 3_600_000; nowMs += 100) {
      const count = countSent(guards, nowMs);
      expect(count).toBeLessThanOrEqual(1);
      if (count === 0) continue;
      tests.push(nowMs);
      recordEnd(guards, nowMs + 50);
    }
    const waits = tests.map((atMs, index) => atMs - (tests[index - 1] ?? 0));
    expect(tests.length).toBeGreaterThanOrEqual(3);
    expect(tests.length).toBeLessThan(7);
    expect([...waits].sort((a, b) => a - b)).toEqual(waits);
  });

  // Guards against a sound request that stays refused after its test.
  it('serves the request again once its test was answered', () => {
    const guard = createGuard('entry-1', []);
    recordEnd([guard], 0);
    recordEnd([guard], 1_000);
    const test = guard.guardRequest(REQUEST);
    expect(test.check(60_000)).toBeUndefined();
    expect(countSent([guard], 60_010)).toBe(0);
    // A link that is lost in the meantime does not end the test.
    expect(test.check(60_020)).toBeUndefined();
    expect(test.recordAnswer(60_030)).toBe(makeKey(REQUEST));
    expect(countSent([guard], 60_040)).toBe(1);
    expect(guard.guardRequest(REQUEST).recordAnswer(60_050)).toBeUndefined();
  });

  // Guards against a test that goes on to the next upstream after it ended one.
  it('ends a test with the first upstream that ends', () => {
    const guard = createGuard('entry-1', []);
    recordEnd([guard], 0);
    recordEnd([guard], 1_000);
    const test = guard.guardRequest(REQUEST);
    expect(test.check(60_000)).toBeUndefined();
    recordEnd([guard], 60_100);
    expect(test.check(60_110)).toBeDefined();
  });

  // Guards against memory that grows with each request that ends an upstream.
  it('forgets the least recent requests beyond its bound', () => {
    const guard = createGuard('entry-1', []);
    for (let index = 0; index < 3_000; index += 1) {
      recordEnd([guard], index * 100, 1, makeRequest(`/catalogue/${index}`));
    }
    const first = guard.guardRequest(makeRequest('/catalogue/0'));
    expect(first.recordAnswer(400_000)).toBeUndefined();
    const last = guard.guardRequest(makeRequest('/catalogue/2999'));
    expect(last.recordAnswer(400_000)).toBeDefined();
  });
});
