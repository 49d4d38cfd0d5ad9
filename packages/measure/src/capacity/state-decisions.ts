/** Times configuration, limits, queue, ledger and membership rounds. */
import {createRandom} from '@siskinplank/foundation';
import {createMembershipView} from '@siskinplank/membership';
import {
  MessageType,
  ProcessRole,
  TargetType,
  decodeMessage,
  encodeMessage,
} from '@siskinplank/messages';
import {ListedHostState} from '@siskinplank/platform-client';
import {PriorityClass, ResourceKind} from '@siskinplank/resources';
import type {ClientAccount} from '@siskinplank/resources';
// These parts are private to their packages; only their cost is read here.
import {createReplicaState} from '../../../configuration/src/replica-state';
import {createCoordinator} from '../../../limits/src/coordinator';
import {createLender} from '../../../limits/src/lender';
import {hashBucket} from '../../../limits/src/rendezvous';
import {createMemoryLedger} from '../../../side/src/memory/ledger';
import {OrderType} from '../../../side/src/memory/types';
import {createFairQueue} from '../../../side/src/queue/fair-queue';
import {createEventClock} from './event-clock';
import {
  LATER_SIZE,
  createParts,
  makeIdentity,
  makeMembers,
  makeObject,
  makeObjects,
  silentLogger,
} from './fixtures';
import {createModelHub} from './model-network';
import {ModelPlatform, ModelStore} from './model-platform';
import {measureCall, measureProcessorMs} from './timing';
import type {FigureSink} from './types';

const GROUP = 'decision';
const OBJECT_SHARES = [0.1, 0.33, 0.66, 1];
const BUCKETS = 16;
const LENDER_COUNTS = [10, 100, 205, 410];
const ACCOUNT_COUNTS = [5, 50, 100, 200];
const QUEUE_LENGTHS = [32, 128, 256, 512];
const ITEM_COUNTS = [5, 20, 50, 100];
const HEARTBEAT_ROUNDS = 20;

function makeScaledObjects(share: number) {
  return makeObjects({
    ...LATER_SIZE,
    models: Math.round(LATER_SIZE.models * share),
    upstreams: Math.round(LATER_SIZE.upstreams * share),
  });
}

/** A delta of one object, and the answer to a digest that is 3 behind. */
function measureReplicaState(sink: FigureSink): void {
  const deltas: Array<{size: number; value: number}> = [];
  const catchUps: Array<{size: number; value: number}> = [];
  for (const share of OBJECT_SHARES) {
    const objects = makeScaledObjects(share);
    const state = createReplicaState();
    let revision = objects.length;
    state.applyDelta({
      fromRevision: 0,
      revision,
      entries: objects.map(object => ({...object, object})),
    });
    const apply = (): void => {
      revision += 1;
      const object = makeObject(
        ResourceKind.ClientAccount,
        revision % 200,
        LATER_SIZE,
        revision,
      );
      const entry = {...object, object};
      const fromRevision = revision - 1;
      state.applyDelta({fromRevision, revision, entries: [entry]});
    };
    deltas.push({size: objects.length, value: measureCall(apply).medianUs});
    catchUps.push({
      size: objects.length,
      value: measureCall(() => state.collectSince(revision - 3)).medianUs,
    });
  }
  const by = 'objects';
  sink.addSeries(GROUP, 'configuration delta apply', by, deltas, 'us');
  sink.addSeries(GROUP, 'answer to a digest 3 behind', by, catchUps, 'us');
}

/** One lend request to each entry host and their loans, for one bucket. */
function measureLoanRound(sink: FigureSink): void {
  const accounts = new Map(
    Array.from({length: LATER_SIZE.accounts}, (_, index) => {
      const object = makeObject(ResourceKind.ClientAccount, index, LATER_SIZE);
      return [object.name, object.value as ClientAccount];
    }),
  );
  const getBucket = (account: string): number => hashBucket(account, BUCKETS);
  const rounds: Array<{size: number; value: number}> = [];
  const grants: Array<{size: number; value: number}> = [];
  for (const lenders of LENDER_COUNTS) {
    const clock = createEventClock();
    const hosts = Array.from({length: lenders}, (_, index) => `entry-${index}`);
    const account = [...accounts.keys()].find(name => getBucket(name) === 3);
    const sent: Array<{host: string; requestId: string}> = [];
    let nowMs = 1_000;
    let requestCount = 0;
    const coordinator = createCoordinator({
      bucketCount: BUCKETS,
      loanMs: 10_000,
      loanRenewMs: 3_000,
      lendersPerPeriod: 128,
      reserveWaitMs: 2_000,
      clock,
      logger: silentLogger,
      getAccount: name => accounts.get(name),
      getBucket,
      makeRequestId: () => `request-${++requestCount}`,
      listLenders: () => hosts,
      isCoordinator: () => true,
      sendTo: (host, message) => {
        sent.push({host, requestId: message.requestId});
      },
    });
    const requestGrant = (): void =>
      coordinator.handleGrantRequest(
        'entry-1/a',
        {
          type: MessageType.GrantRequest,
          requestId: `grant-${++requestCount}`,
          account: account ?? '',
          neededTokens: 0.01,
          wantedTokens: 0,
          reports: [],
        },
        () => undefined,
        nowMs,
      );
    const runRound = (): void => {
      nowMs += 3_000;
      requestGrant();
      for (const {host, requestId} of sent.splice(0)) {
        coordinator.handleLoan(
          host,
          'a',
          {
            type: MessageType.Loan,
            requestId,
            bucket: 3,
            units: 2,
            unitCount: 1_024,
            lentTokens: {[account ?? '']: 5},
            durationMs: 10_000,
          },
          nowMs,
        );
      }
    };
    rounds.push({size: lenders, value: measureCall(runRound, 20).medianUs});
    grants.push({size: lenders, value: measureCall(requestGrant).medianUs});
  }
  sink.addSeries(GROUP, 'loan round of a bucket', 'entries', rounds, 'us');
  sink.addSeries(GROUP, 'grant decision', 'entries', grants, 'us');
  const answers = ACCOUNT_COUNTS.map(count => {
    const listed = [...accounts.values()].slice(0, count);
    const lender = createLender({
      bucketCount: BUCKETS,
      holder: {
        getLoanMs: () => 10_000,
        getUnits: () => 2,
        getUnitCount: () => 1_024,
        getLeaseEndMs: () => Infinity,
      },
      getAccount: name => accounts.get(name),
      getBucket,
      listAccounts: () => listed,
    });
    let nowMs = 0;
    const {medianUs} = measureCall(() => {
      nowMs += 1;
      return lender.lendUnits(3, 'entry-1/a', `r${nowMs}`, 10_000, nowMs);
    });
    return {size: count, value: medianUs};
  });
  sink.addSeries(GROUP, 'answer to a lend request', 'accounts', answers, 'us');
}

function measureQueue(sink: FigureSink): void {
  const points = QUEUE_LENGTHS.map(length => {
    const queue = createFairQueue({
      maxRequests: 1_024,
      maxBytes: 1e9,
      agingMs: 60_000,
    });
    let count = 0;
    const push = (): void => {
      count += 1;
      queue.enqueue({
        id: `attempt-${count}`,
        account: `account-${count % LATER_SIZE.accounts}`,
        weight: 1,
        tokens: 370,
        bytes: 2_000,
        priority: PriorityClass.Awaited,
        enqueuedMs: 0,
        deadlineAtMs: 1e9,
        target: {type: TargetType.Model, model: `model-${count % 4}`},
      });
    };
    for (let index = 0; index < length; index += 1) push();
    const {medianUs} = measureCall(() => {
      push();
      queue.dequeue(1, () => true);
    });
    return {size: length, value: medianUs};
  });
  sink.addSeries(GROUP, 'fair queue turn', 'waiting', points, 'us');
}

function measureLedger(sink: FigureSink): void {
  const points = ITEM_COUNTS.map(count => {
    const ledger = createMemoryLedger({marginMiB: 0, maxReportLagMs: 15_000});
    let nowMs = 0;
    const models = Array.from({length: count}, (_, index) => ({
      name: `model-${index}`,
      version: '1',
      state: 'loaded',
      memoryMiB: 1_000,
    }));
    const {medianUs} = measureCall(() => {
      nowMs += 500;
      const status = {
        totalMemoryMiB: 320_000,
        usedMemoryMiB: count * 1_000,
        models,
        adapters: [],
        reportedAtMs: nowMs,
        generation: 1,
      };
      ledger.applyReport(status as never, nowMs);
      const order = {
        orderId: `order-${nowMs}`,
        type: OrderType.LoadModel,
        model: 'new',
        version: String(nowMs),
        memoryMiB: 1_000,
      };
      if (ledger.addOrder(order)) ledger.cancelOrder(order.orderId);
    });
    return {size: count, value: medianUs};
  });
  sink.addSeries(GROUP, 'ledger report and order', 'models', points, 'us');
}

/** Processor time of a view alone for its heartbeat rounds on 34 links. */
async function measureHeartbeatRound(sink: FigureSink): Promise<void> {
  const points: Array<{size: number; value: number}> = [];
  for (const count of [110, 330, 665, 1_330]) {
    const entries = Math.round((count * LATER_SIZE.entries) / 1_330);
    const members = makeMembers(entries, count - entries);
    const clock = createEventClock();
    const hub = createModelHub(clock, () => 1);
    const platform = new ModelPlatform();
    platform.hosts = members.map(member => ({
      name: member.name,
      role: member.role,
      address: member.host,
      port: member.port,
      failureDomain: member.failureDomain,
      region: member.region,
      state: ListedHostState.Live,
    }));
    const identity = makeIdentity(ProcessRole.Entry, 0);
    const network = hub.createNetwork(identity);
    // Peers that only receive, so that the time is that of one process.
    for (let index = 1; index <= 34; index += 1) {
      await hub.createNetwork(makeIdentity(ProcessRole.Side, index)).start();
    }
    await network.start();
    for (let index = 1; index <= 34; index += 1) {
      network.connect(makeIdentity(ProcessRole.Side, index).address);
    }
    const view = createMembershipView({
      ...createParts(),
      store: new ModelStore(platform, clock, createRandom(1)),
      network,
      clock,
      identity,
      settings: {
        heartbeatMs: 1_000,
        suspectAfterMs: 4_000,
        hostListPeriodMs: 1e9,
      },
    });
    view.start();
    await clock.runFor(2_000);
    const spentMs = await measureProcessorMs(() =>
      clock.runFor(1_000 * HEARTBEAT_ROUNDS),
    );
    view.stop();
    points.push({size: count, value: (spentMs * 1_000) / HEARTBEAT_ROUNDS});
  }
  sink.addSeries(GROUP, 'heartbeat round', 'processes', points, 'us');
}

/** A digest from sending to its answer, codec included. */
function measureDigest(sink: FigureSink): void {
  const digest = {
    type: MessageType.ConfigDigest as const,
    revision: 4_321,
    freshness: {state: 'confirmed' as never, ageMs: 812.25},
    stamp: {sentMs: 123_456.25, echoMs: 123_400.5},
    isWatcher: false,
  };
  const {medianUs} = measureCall(() => decodeMessage(encodeMessage(digest)));
  sink.add({
    group: GROUP,
    name: 'configuration digest',
    size: 'one',
    value: medianUs,
    unit: 'us',
  });
}

/** Times all decisions of this file. */
export async function measureStateDecisions(sink: FigureSink): Promise<void> {
  measureReplicaState(sink);
  measureDigest(sink);
  await measureHeartbeatRound(sink);
  measureLoanRound(sink);
  measureQueue(sink);
  measureLedger(sink);
}
