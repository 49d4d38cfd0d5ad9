/** Messages and bytes of share lending between modelled entry hosts. */
import type {MembershipView} from '@siskinplank/membership';
import {createRandom} from '@siskinplank/foundation';
import {createAccountLimiter} from '@siskinplank/limits';
import type {AccountLimiter} from '@siskinplank/limits';
import {MessageType, ProcessRole} from '@siskinplank/messages';
import type {Member} from '@siskinplank/messages';
import {ResourceKind} from '@siskinplank/resources';
import type {ClientAccount, StoredObject} from '@siskinplank/resources';
import {createEventClock} from './event-clock';
import type {EventClock} from './event-clock';
import {
  LATER_SIZE,
  createParts,
  createStaticConfiguration,
  createStaticMembership,
  makeIdentity,
  makeMember,
  makeObject,
} from './fixtures';
import {getDelayMs} from './model-fleet';
import {createModelHub} from './model-network';
import type {ModelNetwork, NodeTraffic} from './model-network';
import {ModelPlatform, ModelStore} from './model-platform';
import type {FigureSink} from './types';

const GROUP = 'lending';
const LOAN_TYPES = [
  MessageType.LendRequest,
  MessageType.Loan,
  MessageType.LoanReturn,
];
const GRANT_TYPES = [
  MessageType.GrantRequest,
  MessageType.Grant,
  MessageType.GrantReturn,
];
/** Requests a second of an entry host at the later size. */
const REQUESTS_PER_ENTRY = 1_600 / LATER_SIZE.entries;
/** Assumed: tokens reserved for a request, used by it, and its duration. */
const RESERVED_TOKENS = 600;
const USED_TOKENS = 370;
const HOLD_MS = 10_000;
/** The load is this part of each account's rate. */
const LOAD_SHARE = 0.5;
const BURST_SECONDS = 10;
const START_SPREAD_MS = 2_000;
/** Long enough for the share table to settle and be renewed once. */
const SETTLE_MS = 260_000;
const WARM_UP_MS = 15_000;
const COUNT_SECONDS = 27;
/** Time after which the others consider a stopped coordinator failed. */
const DETECT_MS = 4_000;
const RECOVERY_SECONDS = 45;

/** Entry hosts and the buckets that accounts hash to. */
export interface LendingSize {
  entries: number;
  buckets: number;
}

interface LendingNode {
  name: string;
  network: ModelNetwork;
  limiter: AccountLimiter;
  isUp: boolean;
}

interface LendingFleet {
  clock: EventClock;
  nodes: LendingNode[];
  outcomes: {reserved: number; refused: number};
  start(): Promise<void>;
  /** Begins to send requests to all hosts that are up. */
  startLoad(): void;
  /** Stops a host; the others detect it after `DETECT_MS`. */
  stopNode(node: LendingNode): Promise<void>;
}

/** Accounts whose load falls with their rank, and the tokens of each request. */
function makeAccounts(requestsPerSecond: number) {
  const weights = Array.from(
    {length: LATER_SIZE.accounts},
    (_, rank) => 1 / (rank + 10),
  );
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  const shares = weights.map(weight => weight / total);
  const objects = shares.map((share, index) => {
    const object = makeObject(ResourceKind.ClientAccount, index, LATER_SIZE);
    const rate = (requestsPerSecond * share * USED_TOKENS) / LOAD_SHARE;
    const value: ClientAccount = {
      ...(object as StoredObject<ResourceKind.ClientAccount>).value,
      rateTokensPerSecond: rate,
      burstTokens: Math.max(rate * BURST_SECONDS, 4 * RESERVED_TOKENS),
    };
    return {...object, value} as typeof object;
  });
  return {shares, objects};
}

function createLendingFleet({entries, buckets}: LendingSize): LendingFleet {
  const clock = createEventClock();
  const random = createRandom(17);
  const hub = createModelHub(clock, getDelayMs);
  const platform = new ModelPlatform();
  const {shares, objects} = makeAccounts(entries * REQUESTS_PER_ENTRY);
  const configuration = createStaticConfiguration(objects);
  const lost = new Set<string>();
  const allMembers = Array.from({length: entries}, (_, index) =>
    makeMember(ProcessRole.Entry, index),
  );
  let members: readonly Member[] = allMembers;
  const membership: MembershipView = {
    ...createStaticMembership(allMembers),
    listMembers: () => members,
    getMember: name => members.find(member => member.name === name),
  };
  const nodes = allMembers.map((member, index): LendingNode => {
    const identity = makeIdentity(ProcessRole.Entry, index);
    const network = hub.createNetwork(identity);
    const limiter = createAccountLimiter({
      ...createParts(index),
      store: new ModelStore(platform, clock, createRandom(index), () => true),
      network,
      membership,
      configuration,
      clock,
      identity,
      settings: {
        shareUnits: 1_024,
        shareLeaseMs: 600_000,
        buckets,
        loanMs: 10_000,
        loanRenewMs: 3_000,
        reserveWaitMs: 2_000,
      },
    });
    return {name: member.name, network, limiter, isUp: true};
  });
  const outcomes = {reserved: 0, refused: 0};

  const chooseAccount = (): string => {
    let left = random.getNext();
    const index = shares.findIndex(share => (left -= share) < 0);
    return `account-${Math.max(0, index)}`;
  };
  const sendRequest = ({limiter}: LendingNode): void => {
    const account = chooseAccount();
    void limiter
      .reserve(account, RESERVED_TOKENS, clock.getNowMs(), 2_000)
      .then(result => {
        result.ifLeft(() => (outcomes.refused += 1));
        result.ifRight(reservation => {
          outcomes.reserved += 1;
          clock.startTimer(HOLD_MS, () =>
            limiter.settle(reservation, USED_TOKENS, clock.getNowMs()),
          );
        });
      });
  };
  const scheduleRequest = (node: LendingNode): void => {
    const gapMs =
      (-Math.log(1 - random.getNext()) * 1_000) / REQUESTS_PER_ENTRY;
    clock.startTimer(gapMs, () => {
      if (!node.isUp) return;
      sendRequest(node);
      scheduleRequest(node);
    });
  };

  return {
    clock,
    nodes,
    outcomes,
    start: async () => {
      for (const node of nodes) {
        await node.network.start();
        const delayMs = random.getNext() * START_SPREAD_MS;
        clock.startTimer(delayMs, () => void node.limiter.start());
      }
      await clock.runFor(SETTLE_MS);
    },
    startLoad: () => nodes.forEach(scheduleRequest),
    stopNode: async node => {
      node.isUp = false;
      await node.network.stop();
      clock.startTimer(DETECT_MS, () => {
        lost.add(node.name);
        members = allMembers.filter(member => !lost.has(member.name));
      });
    },
  };
}

function sumTypes(
  counts: ReadonlyMap<MessageType, number>,
  types: readonly MessageType[],
): number {
  return types.reduce((sum, type) => sum + (counts.get(type) ?? 0), 0);
}

const sumBytes = (traffic: NodeTraffic): number =>
  traffic.sentBytes + traffic.receivedBytes;

/** Runs the fleet and returns each node's bytes in its worst second. */
async function runSeconds(
  fleet: LendingFleet,
  seconds: number,
): Promise<Map<string, number>> {
  const worst = new Map<string, number>();
  const before = new Map<string, number>();
  for (const node of fleet.nodes) node.network.resetTraffic();
  for (let second = 0; second < seconds; second += 1) {
    await fleet.clock.runFor(1_000);
    for (const {name, network} of fleet.nodes) {
      const bytes = sumBytes(network.nodeTraffic);
      const gained = bytes - (before.get(name) ?? 0);
      before.set(name, bytes);
      worst.set(name, Math.max(worst.get(name) ?? 0, gained));
    }
  }
  return worst;
}

/** One fleet in calm and after the failure of its busiest coordinator. */
async function runLendingFleet(
  sink: FigureSink,
  lendingSize: LendingSize,
): Promise<void> {
  const {entries, buckets} = lendingSize;
  const size = `entries=${entries} buckets=${buckets}`;
  const add = (name: string, unit: string, value: number): void =>
    sink.add({group: GROUP, name, size, value, unit});
  const fleet = createLendingFleet(lendingSize);
  await fleet.start();
  fleet.startLoad();
  const first = await runSeconds(fleet, WARM_UP_MS / 1_000);
  add('most in a second at first demand', 'B/s', Math.max(...first.values()));
  const worst = await runSeconds(fleet, COUNT_SECONDS);
  const sorted = [...fleet.nodes].sort(
    (a, b) => sumBytes(b.network.nodeTraffic) - sumBytes(a.network.nodeTraffic),
  );
  const [busiest] = sorted;
  const mean = (values: number[]): number =>
    values.reduce((sum, value) => sum + value, 0) / values.length;
  const all = sorted.map(node => sumBytes(node.network.nodeTraffic));
  const {byType, messagesByType} = busiest.network.nodeTraffic;
  add('mean of all hosts', 'B/s', mean(all) / COUNT_SECONDS);
  add('mean of 16 busiest', 'B/s', mean(all.slice(0, 16)) / COUNT_SECONDS);
  add('busiest host', 'B/s', all[0] / COUNT_SECONDS);
  add('worst second of a host', 'B/s', Math.max(...worst.values()));
  for (const [name, types] of [
    ['loans', LOAN_TYPES],
    ['grants', GRANT_TYPES],
  ] as const) {
    const bytes = sumTypes(byType, types) / COUNT_SECONDS;
    const messages = sumTypes(messagesByType, types) / COUNT_SECONDS;
    add(`${name} at the busiest host`, 'B/s', bytes);
    add(`${name} at the busiest host`, 'messages/s', messages);
  }
  add('refused in calm', 'requests', fleet.outcomes.refused);
  add('reserved in calm', 'requests', fleet.outcomes.reserved);
  fleet.outcomes.refused = 0;
  fleet.outcomes.reserved = 0;
  await fleet.stopNode(busiest);
  const recovery = await runSeconds(fleet, RECOVERY_SECONDS);
  const recovering = fleet.nodes.map(
    node => sumBytes(node.network.nodeTraffic) / RECOVERY_SECONDS,
  );
  add('busiest host after a failure', 'B/s', Math.max(...recovering));
  const worstSecond = Math.max(...recovery.values());
  add('worst second after a failure', 'B/s', worstSecond);
  add('refused after a failure', 'requests', fleet.outcomes.refused);
  add('reserved after a failure', 'requests', fleet.outcomes.reserved);
}

/** Runs fleets of the given sizes. */
export async function measureLoanTraffic(
  sink: FigureSink,
  sizes: readonly LendingSize[],
): Promise<void> {
  for (const size of sizes) await runLendingFleet(sink, size);
}
