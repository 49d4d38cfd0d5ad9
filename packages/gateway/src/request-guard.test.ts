import {
  LogLevel,
  createLogger,
  createManualClock,
  waitForPoll,
} from '@siskinplank/foundation';
import {LifeSign, ReportFailureCode} from '@siskinplank/serving';
import type {Upstream} from '@siskinplank/serving';
import {Left} from 'purify-ts';
import {beforeEach, describe, expect, it} from 'vitest';
import {createRequestGuard} from './request-guard';
import type {
  BrokenRequest,
  RequestGuard,
  RequestGuardOptions,
} from './request-guard';

/** Longer than a check and the wait after a refusal. */
const APART_MS = 250;
/** Promises are settled after each step of the clock. */
const STEP_MS = 5;
/** Longer than a check, and shorter than that wait. */
const CHECKED_MS = 60;

describe('guard of plain requests', () => {
  let clock: ReturnType<typeof createManualClock>;
  let sign: LifeSign;
  let hasOpen: boolean;
  let checkCount: number;
  let newsCount: number;
  let guard: RequestGuard;

  const createGuard = (): RequestGuard =>
    createRequestGuard({
      upstreams: {recordUnreachable: () => undefined},
      control: {
        readReport: () =>
          Promise.resolve(
            Left({
              code: ReportFailureCode.Unreadable,
              reason: 'plain servers have none',
            }),
          ),
        checkLife: () => {
          checkCount += 1;
          return Promise.resolve({sign, reason: ''});
        },
      },
      pool: {hasOpen: () => hasOpen, closeIdle: () => undefined},
      clock,
      logger: createLogger({
        level: LogLevel.Error,
        fields: {},
        write: () => undefined,
        getWallMs: clock.getWallMs,
      }),
      metrics: {recordBlame: () => undefined},
      getRoutes: () => ({
        configuration: {services: new Map([['desk', {healthPath: '/h'}]])},
      }),
      isTrialOwner: () => true,
      onBlame: () => undefined,
      onNews: () => (newsCount += 1),
    } as unknown as RequestGuardOptions);

  beforeEach(() => {
    clock = createManualClock();
    sign = LifeSign.Ended;
    hasOpen = false;
    checkCount = 0;
    newsCount = 0;
    guard = createGuard();
  });

  const makeRequest = (fingerprint: string): BrokenRequest => ({
    parts: [],
    getFingerprint: () => fingerprint,
    hasBegun: false,
    isRepeated: false,
  });

  const request = makeRequest('k');

  const run = async (durationMs: number): Promise<void> => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
      clock.runFor(STEP_MS);
      await waitForPoll();
    }
  };

  /** Breaks a request off; returns whether it may be sent on. */
  const breakOff = async (
    upstreamId: string,
    broken = request,
    reporter = guard,
  ): Promise<boolean | undefined> => {
    const upstream = {id: upstreamId, startedAtMs: 1, service: 'desk'};
    let decided: boolean | undefined;
    reporter.reportBroken(upstream as Upstream, broken, mayRetry => {
      decided = mayRetry;
    });
    await run(APART_MS);
    return decided;
  };

  const isRefused = (checked = guard): boolean =>
    checked.checkRequest(request).isRefused;

  it('refuses a request under which two upstreams ended', async () => {
    expect(await breakOff('u1')).toBe(true);
    expect(isRefused()).toBe(false);
    expect(await breakOff('u2')).toBe(false);
    expect(isRefused()).toBe(true);
    expect(guard.checkRequest(makeRequest('other')).isRefused).toBe(false);
    expect(newsCount).toBe(1);
  });

  // Guards against a third end: the caller sends the request to another gateway
  // as soon as it fails.
  it('answers the caller of a refused request after the peers could know', async () => {
    await breakOff('u1');
    const decisions: boolean[] = [];
    const upstream = {id: 'u2', startedAtMs: 1, service: 'desk'} as Upstream;
    guard.reportBroken(upstream, request, mayRetry => decisions.push(mayRetry));
    await run(CHECKED_MS);
    expect(newsCount).toBe(1);
    expect(decisions).toEqual([]);
    await run(APART_MS);
    expect(decisions).toEqual([false]);
  });

  it('counts the ends that two gateways saw', async () => {
    const other = createGuard();
    await breakOff('u1');
    await breakOff('u2', request, other);
    other.updatePeer(guard.describe(clock.getNowMs()), clock.getNowMs());
    expect(isRefused(other)).toBe(true);
  });

  // Guards against refusals at all gateways because one lost its path to the
  // upstreams.
  it('believes no end of an upstream to which it has an open connection', async () => {
    const other = createGuard();
    await breakOff('u1');
    await breakOff('u2');
    const report = guard.describe(clock.getNowMs());
    hasOpen = true;
    other.updatePeer(report, clock.getNowMs());
    expect(isRefused(other)).toBe(false);
    hasOpen = false;
    other.updatePeer(report, clock.getNowMs());
    expect(isRefused(other)).toBe(true);
  });

  // Guards against refusals because connections were reset or answers lost.
  it('refuses nothing while the upstreams run', async () => {
    sign = LifeSign.Alive;
    for (const upstream of ['u1', 'u2', 'u3']) {
      expect(await breakOff(upstream)).toBe(true);
    }
    sign = LifeSign.Unclear;
    hasOpen = true;
    for (const upstream of ['u1', 'u2', 'u3']) {
      expect(await breakOff(upstream)).toBe(true);
    }
    expect(isRefused()).toBe(false);
  });

  it('takes an upstream that resets all connections as ended', async () => {
    sign = LifeSign.Unclear;
    await breakOff('u1');
    await breakOff('u2');
    expect(isRefused()).toBe(true);
  });

  // Each health check is priced, and answers may be lost often.
  it('checks an upstream only if it has lost all connections', async () => {
    hasOpen = true;
    await breakOff('u1');
    expect(checkCount).toBe(0);
    hasOpen = false;
    await breakOff('u2');
    expect(checkCount).toBe(1);
    hasOpen = true;
    await breakOff('u3');
    expect(checkCount).toBe(2);
  });

  // Guards against a request that stays suspected although its retry was
  // answered before the check of the first upstream was complete.
  it('does not suspect a request that is answered during the check', async () => {
    for (const upstreamId of ['u1', 'u2', 'u3']) {
      const upstream = {id: upstreamId, startedAtMs: 1, service: 'desk'};
      guard.reportBroken(upstream as Upstream, request, () => undefined);
      guard.recordAnswer(request);
      await run(APART_MS);
    }
    expect(isRefused()).toBe(false);
  });

  it('sends a request again once it was answered', async () => {
    await breakOff('u1');
    await breakOff('u2');
    guard.recordResponse(request);
    expect(isRefused()).toBe(false);
    expect(newsCount).toBe(2);
  });

  // Guards against a second end in the milliseconds of the first check.
  it('holds the retry of a request back while the first end is checked', async () => {
    const decisions: boolean[] = [];
    const send = (id: string, isRepeated: boolean): void => {
      const upstream = {id, startedAtMs: 1, service: 'desk'} as Upstream;
      const broken = {...request, isRepeated};
      guard.reportBroken(upstream, broken, mayRetry =>
        decisions.push(mayRetry),
      );
    };
    send('u1', false);
    await run(5);
    send('u2', true);
    expect(decisions).toEqual([true]);
    await run(APART_MS);
    expect(decisions).toEqual([true, false]);
  });

  it('computes no fingerprint as long as no upstream has ended', () => {
    const sound: BrokenRequest = {
      ...request,
      getFingerprint: () => expect.fail('no fingerprint is needed'),
    };
    expect(guard.checkRequest(sound).isRefused).toBe(false);
    guard.recordAnswer(sound);
    guard.recordResponse(sound);
    expect(guard.isBlamed(sound)).toBe(false);
  });
});
