import {CallKind} from '@siskinplank/platform-stand-ins';
import type {CallRecord, RunRecord} from '@siskinplank/platform-stand-ins';
import {describe, expect, it} from 'vitest';
import type {GatewayProcess} from '../gateways';
import {FaultKind} from '../history';
import type {History} from '../history';
import {checkHistory} from './index';

function makeCall(
  attemptId: string,
  changes: Partial<CallRecord> = {},
): CallRecord {
  return {
    attemptId,
    kind: CallKind.Order,
    account: 'small',
    key: 'k1',
    tokens: 200,
    body: `b-${attemptId}`,
    gateway: 'gateway-1',
    sentAtMs: 1_000,
    endedAtMs: 1_100,
    leavingSaidAtMs: undefined,
    deadlineMs: 1_500,
    status: 200,
    isComplete: true,
    retryAfterMs: undefined,
    faults: [],
    ...changes,
  };
}

function makeRun(
  attemptId: string,
  changes: Partial<RunRecord> = {},
): RunRecord {
  return {
    attemptId,
    service: 'desk',
    serverId: 'desk-1',
    atMs: 1_020,
    account: 'small',
    hadKey: false,
    body: `b-${attemptId}`,
    deadlineMs: 1_480,
    lastEventId: 0,
    endedAtMs: 1_090,
    isBrokenOff: false,
    ...changes,
  };
}

function makeProcess(
  requests: readonly string[],
  changes: Partial<GatewayProcess> = {},
): GatewayProcess {
  const events = requests.map(request => ({event: 6030, request}));
  const lines = [...events, {event: 5002}].map(line => JSON.stringify(line));
  return {
    gateway: 'gateway-1',
    startedAtMs: 0,
    endedAtMs: 60_000,
    endSignal: null,
    listLines: () => lines,
    ...changes,
  };
}

function makeHistory(changes: Partial<History> = {}): History {
  return {
    calls: [makeCall('c1')],
    runs: [makeRun('c1')],
    orders: [],
    arrivals: [],
    faults: [],
    withdrawnKeys: new Map(),
    limits: [
      {account: 'small', ratePerSecond: 2_000, burst: 4_000, fromMs: 0},
      {account: 'other', ratePerSecond: 2_000, burst: 4_000, fromMs: 0},
    ],
    leaving: [],
    restores: [],
    poisonedEnds: [],
    poisonedAttempts: new Map(),
    namedLimits: [],
    turnedAway: [],
    stops: [],
    processes: [makeProcess(['c1'])],
    memoryMb: 100,
    ...changes,
  };
}

function listViolatedChecks(changes: Partial<History>): string[] {
  return checkHistory(makeHistory(changes)).map(({check}) => check);
}

const ORDER = {
  serverId: 'engines-1',
  atMs: 1_000,
  holder: 'gateway-1',
  token: 1,
  status: 202,
  usedMb: 80,
};
const PAUSED = {
  kind: FaultKind.GatewayPause,
  target: '0',
  fromMs: 900,
  toMs: 1_500,
};

/** Three requests of the same gateway reach an upstream that wants none. */
const TURNED_AWAY: Partial<History> = {
  calls: ['c1', 'c2', 'c3', 'c4'].map(id => makeCall(id, {status: 503})),
  runs: [],
  turnedAway: [
    {
      attemptId: 'c1',
      serverId: 'desk-1',
      upstreamIndex: 4,
      atMs: 1_000,
      retryAfterMs: 2_000,
    },
  ],
  arrivals: ['c2', 'c3', 'c4'].map(attemptId => ({
    attemptId,
    upstreamId: 'desk-1',
    atMs: 1_600,
  })),
};

describe('checks of a soak', () => {
  it('report nothing for a history without violations', () => {
    expect(listViolatedChecks({orders: [ORDER]})).toEqual([]);
  });

  it.each<[string, Partial<History>]>([
    ['answer', {calls: [makeCall('c1', {faults: ['event 3 is another one']})]}],
    [
      'once',
      {runs: [makeRun('c1'), makeRun('c1', {serverId: 'desk-2', atMs: 1_050})]},
    ],
    ['refusal', {calls: [makeCall('c1', {status: 503})]}],
    ['run', {runs: [makeRun('c1', {hadKey: true})]}],
    ['run', {runs: [makeRun('c1', {account: 'other'})]}],
    ['run', {runs: [makeRun('c1', {body: 'b-c2'})]}],
    ['deadline', {runs: [makeRun('c1', {deadlineMs: 2_100})]}],
    ['run', {runs: [makeRun('c1'), makeRun('nobody')]}],
    [
      'key',
      {
        calls: [makeCall('c1', {sentAtMs: 6_001, endedAtMs: 6_100})],
        runs: [makeRun('c1', {atMs: 6_050})],
        withdrawnKeys: new Map([['k1', 1_000]]),
      },
    ],
    [
      'poison',
      {
        calls: ['p1', 'p2', 'p3', 'p4', 'p5', 'p6', 'p7', 'p8', 'p9'].map(id =>
          makeCall(id, {status: 502}),
        ),
        runs: [],
        arrivals: ['p6', 'p7', 'p8', 'p9'].map(attemptId => ({
          attemptId,
          upstreamId: 'engines-1',
          atMs: 4_100,
        })),
        poisonedAttempts: new Map(
          [1, 2, 3, 4, 5, 6, 7, 8, 9].map(index => [`p${index}`, 'bad']),
        ),
        poisonedEnds: [1, 2, 3, 4, 5].map(index => ({
          attemptId: `p${index}`,
          upstreamId: `engines-${index}`,
          atMs: 1_000,
        })),
      },
    ],
    [
      'poison-repeat',
      {
        poisonedEnds: ['engines-1', 'engines-2'].map(upstreamId => ({
          attemptId: 'c1',
          upstreamId,
          atMs: 1_000,
        })),
      },
    ],
    [
      'named-limit',
      {
        // A limit of 1 a second allows 11 requests in four seconds.
        arrivals: Array.from({length: 12}, (_, index) => ({
          attemptId: `a${index}`,
          upstreamId: 'engines-1',
          atMs: 5_000,
        })),
        namedLimits: [
          {upstreamId: 'engines-1', perSecond: 1, fromMs: 0, toMs: 9_000},
        ],
      },
    ],
    [
      'limit',
      {
        // The limit is 20,000 x 1.1 + 11,000 tokens in eight seconds.
        calls: [1, 2, 3, 4].map(index =>
          makeCall(`c${index}`, {tokens: 8_300}),
        ),
        runs: [1, 2, 3, 4].map(index => makeRun(`c${index}`)),
      },
    ],
    [
      'budget',
      {
        arrivals: Array.from({length: 57}, () => ({
          attemptId: 'c1',
          upstreamId: 'desk-1',
          atMs: 1_000,
        })),
      },
    ],
    [
      'leaving',
      {
        calls: [makeCall('c1', {sentAtMs: 3_000, endedAtMs: 3_100})],
        runs: [makeRun('c1', {atMs: 3_020})],
        leaving: [{upstreamId: 'desk-1', atMs: 1_000}],
      },
    ],
    [
      'leaving-said',
      {
        calls: [
          makeCall('c1', {leavingSaidAtMs: 1_050}),
          makeCall('c2', {sentAtMs: 3_051, endedAtMs: 3_100, status: 502}),
        ],
        arrivals: [
          {attemptId: 'c2', upstreamId: 'desk-1', atMs: 3_060},
          {attemptId: 'c1', upstreamId: 'desk-1', atMs: 1_020},
        ],
      },
    ],
    ['backoff', TURNED_AWAY],
    ['memory', {orders: [{...ORDER, usedMb: 120}]}],
    ['holder', {orders: [ORDER, {...ORDER, holder: 'gateway-2'}]}],
    [
      'stop',
      {
        calls: [makeCall('c1', {status: 0, isComplete: false})],
        faults: [{...PAUSED, kind: FaultKind.GatewayStop}],
      },
    ],
    [
      'recovery',
      {
        calls: [
          makeCall('c1', {sentAtMs: 20_000, endedAtMs: 20_100, status: 503}),
        ],
        runs: [],
        faults: [PAUSED],
      },
    ],
  ])('report a violation: %s', (check, changes) => {
    expect(listViolatedChecks(changes)).toContain(check);
  });

  it('excuse a late run or a cut close to an unplanned fault', () => {
    const late = {
      calls: [makeCall('c1', {sentAtMs: 3_000, endedAtMs: 3_100})],
      runs: [makeRun('c1', {atMs: 3_020})],
      leaving: [{upstreamId: 'desk-1', atMs: 1_000}],
      faults: [PAUSED],
    };
    expect(listViolatedChecks(late)).not.toContain('leaving');
    const said = {
      calls: [
        makeCall('c1', {leavingSaidAtMs: 1_050}),
        makeCall('c2', {sentAtMs: 3_051, endedAtMs: 3_100, status: 502}),
      ],
      arrivals: [{attemptId: 'c2', upstreamId: 'desk-1', atMs: 3_060}],
      faults: [PAUSED],
    };
    expect(listViolatedChecks(said)).not.toContain('leaving-said');
    const turnedAway = {...TURNED_AWAY, faults: [PAUSED]};
    expect(listViolatedChecks(turnedAway)).not.toContain('backoff');
    const cut = {
      calls: [makeCall('c1', {status: 0, isComplete: false})],
      faults: [{...PAUSED, kind: FaultKind.GatewayStop}, PAUSED],
    };
    expect(listViolatedChecks(cut)).not.toContain('stop');
  });
});

describe('checks of a soak whose store was restored', () => {
  const RESTORED = {
    kind: FaultKind.StoreRestored,
    target: '0',
    fromMs: 2_000,
    toMs: 5_000,
  };
  const RESTORE = {
    copiedAtMs: 500,
    awayAtMs: 2_000,
    restoredAtMs: 2_500,
    configurationAgainAtMs: 4_000,
    upstreamsAgainAtMs: 5_000,
  };
  const makeKeyUse = (
    sentAtMs: number,
    changes: Partial<History> = {},
  ): Partial<History> => ({
    calls: [makeCall('c1', {sentAtMs, endedAtMs: sentAtMs + 100})],
    runs: [makeRun('c1', {atMs: sentAtMs + 50})],
    withdrawnKeys: new Map([['k1', 1_000]]),
    restores: [RESTORE],
    faults: [RESTORED],
    ...changes,
  });

  it('count the bound of a lost withdrawal from when it is written again', () => {
    expect(listViolatedChecks(makeKeyUse(8_900))).not.toContain('key');
    expect(listViolatedChecks(makeKeyUse(9_100))).toContain('key');
    const kept = {...RESTORE, copiedAtMs: 1_500};
    expect(listViolatedChecks(makeKeyUse(6_100, {restores: [kept]}))).toContain(
      'key',
    );
  });

  it('report a run with a key that a running gateway had refused', () => {
    const use = makeKeyUse(8_900);
    const calls = [
      ...(use.calls ?? []),
      makeCall('c2', {
        gateway: 'gateway-2',
        status: 401,
        sentAtMs: 1_500,
        endedAtMs: 1_600,
      }),
    ];
    expect(listViolatedChecks({...use, calls})).toContain('key');
    const stopped = {...PAUSED, kind: FaultKind.GatewayKill, target: '1'};
    stopped.toMs = 2_000;
    const faults = [RESTORED, stopped];
    expect(listViolatedChecks({...use, calls, faults})).not.toContain('key');
  });

  it('report a run at an upstream whose drain was known before the restore', () => {
    const makeDrain = (drainedAtMs: number, runAtMs: number) => ({
      calls: [makeCall('c1', {sentAtMs: runAtMs, endedAtMs: runAtMs + 100})],
      runs: [makeRun('c1', {atMs: runAtMs + 20})],
      leaving: [{upstreamId: 'desk-1', atMs: drainedAtMs}],
      restores: [{...RESTORE, awayAtMs: 3_200, restoredAtMs: 3_300}],
      faults: [{...RESTORED, fromMs: 3_200}],
    });
    expect(listViolatedChecks(makeDrain(1_000, 3_400))).toContain('leaving');
    const lost = makeDrain(1_500, 6_500);
    expect(listViolatedChecks(lost)).not.toContain('leaving');
    const again = makeDrain(1_500, 7_100);
    expect(listViolatedChecks(again)).toContain('leaving');
  });

  it('count a lost limit from when it is written again', () => {
    const calls = [1, 2, 3, 4].map(index =>
      makeCall(`c${index}`, {
        tokens: 8_300,
        sentAtMs: 11_000,
        endedAtMs: 11_100,
      }),
    );
    const changes = {
      calls,
      runs: calls.map(({attemptId}) => makeRun(attemptId, {atMs: 11_050})),
      limits: [
        {account: 'small', ratePerSecond: 4_000, burst: 4_000, fromMs: 0},
        {account: 'small', ratePerSecond: 2_000, burst: 4_000, fromMs: 1_000},
      ],
    };
    expect(listViolatedChecks(changes)).toContain('limit');
    const restored = {...changes, restores: [RESTORE], faults: [RESTORED]};
    expect(listViolatedChecks(restored)).not.toContain('limit');
  });
});
