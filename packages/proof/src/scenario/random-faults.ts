/** Draws faults, each as the steps that start it and those that end it. */
import type {Random} from '@siskinplank/foundation';
import {FaultKind} from './schema';

/** A step as written in a scenario file. */
export type StepItem = Record<string, unknown>;

/** A fault with its start and end. */
export interface DrawnFault {
  kind: FaultKind;
  start: StepItem[];
  end: StepItem[];
}

/** Names of the system's parts that faults are drawn from. */
export interface FaultTargets {
  entries: readonly string[];
  sides: readonly string[];
  engines: readonly string[];
  services: readonly string[];
  /** Account whose key may be withdrawn. */
  spareAccount: string;
  /** Account that operators change. */
  changedAccount: string;
  /** Route that operators move, and where to. */
  movedRoute: string;
  movedTo: readonly string[];
  /** Upstreams that operators mark as leaving; others remain for each. */
  leavingUpstreams: readonly string[];
}

type Pick = <T>(items: readonly T[]) => T;
type FaultMaker = (pick: Pick, targets: FaultTargets) => FaultSteps;
interface FaultSteps {
  start: StepItem[];
  end?: StepItem[];
}

const makeStandInFault = (standIn: string, fault: object): StepItem => ({
  standInFault: {standIn, fault},
});

function makeApply(
  targets: FaultTargets,
  entry: string,
  burstTokens: number,
): StepItem {
  return {
    apply: {
      entry,
      kind: 'ClientAccount',
      name: targets.changedAccount,
      spec: {rateTokensPerSecond: 100_000, burstTokens},
      expect: 'any',
      background: true,
    },
  };
}

/** Makes the specification of the route that operators move. */
export function makeMovedRoute(upstream: string): Record<string, unknown> {
  return {
    methods: ['POST'],
    path: '/plates',
    access: 'keyed',
    upstreams: [upstream],
  };
}

function makeMove(
  {movedRoute}: FaultTargets,
  entry: string,
  upstream: string,
): StepItem {
  return {
    apply: {
      entry,
      kind: 'Route',
      name: movedRoute,
      spec: makeMovedRoute(upstream),
      expect: 'any',
      background: true,
    },
  };
}

const LINK_FAULTS = ['cut', 'hold', 'partition'] as const;

function makeLinkFault(pick: Pick, {entries, sides}: FaultTargets): FaultSteps {
  const entry = pick(entries);
  const other = pick([...sides, 'platform']);
  const end = [{heal: {}}];
  switch (pick(LINK_FAULTS)) {
    case 'cut':
      return {
        start: [{cut: {between: [entry, other], refuse: pick([true, false])}}],
        end,
      };
    case 'hold':
      return {
        start: [
          {
            hold: pick([
              {from: entry, to: other},
              {from: other, to: entry},
            ]),
          },
        ],
        end: [...pick([[], [{cut: {between: [entry, other]}}]]), ...end],
      };
    case 'partition':
      return {start: [{partition: {between: [[entry], [other]]}}], end};
  }
}

const MAKERS: Readonly<Partial<Record<FaultKind, FaultMaker>>> = {
  [FaultKind.Kill]: (pick, {entries, sides, engines}) => {
    const engine = pick(engines);
    if (pick([true, false, false])) {
      const fault = {crash: {downMs: pick([50, 500, 1_500])}};
      return {start: [makeStandInFault(engine, fault)]};
    }
    const process = pick([...entries, ...sides]);
    return {
      start: [{kill: {process}}],
      end: [{restart: {process, waitsForReady: false}}],
    };
  },
  [FaultKind.Cut]: makeLinkFault,
  [FaultKind.Freeze]: (pick, {entries, sides}) => {
    const process = pick([...entries, ...sides]);
    return {start: [{freeze: {process}}], end: [{thaw: {process}}]};
  },
  [FaultKind.PlatformDown]: pick => ({
    start: [
      makeStandInFault('platform', {
        down: pick(['reset', 'unavailable', 'hang']),
      }),
    ],
    end: [makeStandInFault('platform', {down: null})],
  }),
  [FaultKind.PlatformSlow]: pick => ({
    start: [makeStandInFault('platform', {slowMs: pick([50, 400, 2_500])})],
    end: [makeStandInFault('platform', {slowMs: 0})],
  }),
  [FaultKind.ReplyLost]: (pick, {services, engines}) => {
    const count = pick([1, 2, 4]);
    return {
      start: [
        pick([
          makeStandInFault('platform', {dropReplies: {count}}),
          makeStandInFault('platform', {
            dropReplies: {count, kinds: ['Claim']},
          }),
          makeStandInFault(pick(services), {dropReplies: count}),
          makeStandInFault(pick(services), {hangs: count}),
          makeStandInFault(pick(engines), {dropOrderReplies: count}),
          makeStandInFault(pick(engines), {
            cutStreams: {count, afterChunks: pick([0, 1, 5])},
          }),
        ]),
      ],
    };
  },
  [FaultKind.OrderLost]: (pick, {engines}) => ({
    start: [makeStandInFault(pick(engines), {loseOrders: pick([1, 2])})],
  }),
  [FaultKind.OrderLate]: (pick, {engines}) => ({
    start: [
      makeStandInFault(pick(engines), {
        delayOrders: {count: 2, delayMs: pick([300, 1_500, 4_000])},
      }),
    ],
  }),
  [FaultKind.OldOrder]: (pick, {engines}) => ({
    start: [
      makeStandInFault(pick(engines), {
        duplicateOrders: {count: 2, delayMs: pick([300, 1_500, 4_000])},
      }),
    ],
  }),
  [FaultKind.LoadReportLag]: (pick, {engines}) => {
    const engine = pick(engines);
    return {
      start: [makeStandInFault(engine, {statusLagMs: pick([300, 2_000])})],
      end: [makeStandInFault(engine, {statusLagMs: 0})],
    };
  },
  [FaultKind.OperatorsRace]: (pick, targets) => ({
    start: pick([
      targets.entries.map((entry, index) =>
        makeApply(targets, entry, 1_000_000 + index),
      ),
      targets.entries.map((entry, index) =>
        makeMove(targets, entry, targets.movedTo[index]),
      ),
      [makeMove(targets, pick(targets.entries), pick(targets.movedTo))],
    ]),
  }),
  [FaultKind.KeyWithdrawn]: (pick, {spareAccount, entries}) => ({
    start: [
      {
        withdraw: {
          account: spareAccount,
          entry: pick(entries),
          expect: 'any',
          background: true,
        },
      },
    ],
  }),
  [FaultKind.PlannedStop]: (pick, targets) => {
    if (pick([true, false])) {
      const upstream = pick(targets.leavingUpstreams);
      const entry = pick(targets.entries);
      // The upstream stays marked to the end of the script.
      const mark = {upstream, entry, state: 'leaving', background: true};
      return {start: [{upstreamState: mark}]};
    }
    const process = pick([...targets.entries, ...targets.sides]);
    return {
      start: [{term: {process, background: true}}],
      end: [{restart: {process, waitsForReady: false}}],
    };
  },
  [FaultKind.WeightStoreDown]: () => ({
    start: [makeStandInFault('weight-store', {down: true})],
    end: [makeStandInFault('weight-store', {down: false})],
  }),
  [FaultKind.WeightStoreSlow]: pick => ({
    start: [makeStandInFault('weight-store', {slowMs: pick([500, 3_000])})],
    end: [makeStandInFault('weight-store', {slowMs: 0})],
  }),
};

/** Kinds that can be drawn; the rest are options of the system's start. */
export const DRAWN_KINDS = Object.keys(MAKERS) as FaultKind[];

/** Kinds that a check needs in most scripts count twice. */
const WEIGHTED_KINDS = [
  ...DRAWN_KINDS,
  FaultKind.KeyWithdrawn,
  FaultKind.OperatorsRace,
  FaultKind.PlannedStop,
  FaultKind.PlannedStop,
];

/** Draws one fault. */
export function makeRandomFault(
  random: Random,
  targets: FaultTargets,
): DrawnFault {
  const pick: Pick = items => items[random.getInteger(items.length)];
  const kind = pick(WEIGHTED_KINDS);
  const fault = MAKERS[kind]?.(pick, targets);
  return {kind, start: fault?.start ?? [], end: fault?.end ?? []};
}
