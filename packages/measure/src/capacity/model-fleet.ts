/** Many modelled processes: membership, configuration, leases and shares. */
import {createConfigurationReplica} from '@siskinplank/configuration';
import type {ConfigurationReplica} from '@siskinplank/configuration';
import {createRandom} from '@siskinplank/foundation';
import {createAccountLimiter} from '@siskinplank/limits';
import type {AccountLimiter} from '@siskinplank/limits';
import {createMembershipView} from '@siskinplank/membership';
import type {MembershipView} from '@siskinplank/membership';
import {ProcessRole} from '@siskinplank/messages';
import {ListedHostState, createLeaseHolder} from '@siskinplank/platform-client';
import type {LeaseHolder} from '@siskinplank/platform-client';
import type {PeerIdentity} from '@siskinplank/transport';
import {createEventClock} from './event-clock';
import type {EventClock} from './event-clock';
import {createParts, makeIdentity} from './fixtures';
import {createModelHub} from './model-network';
import type {ModelHub, ModelNetwork} from './model-network';
import {ModelPlatform, ModelStore} from './model-platform';

/** One modelled process. */
export interface ModelNode {
  identity: PeerIdentity;
  network: ModelNetwork;
  membership: MembershipView;
  replica: ConfigurationReplica;
  lease: LeaseHolder | undefined;
  limiter: AccountLimiter | undefined;
  isUp: boolean;
}

/** A fleet on one clock. */
export interface ModelFleet {
  clock: EventClock;
  hub: ModelHub;
  platform: ModelPlatform;
  nodes: ModelNode[];
  /** Starts all processes within `spreadMs`. */
  startAll(spreadMs: number): Promise<void>;
  stopNode(node: ModelNode): Promise<void>;
  /** Disconnects one process from the platform when it returns false. */
  setPlatformReach(canReach: (identity: PeerIdentity) => boolean): void;
}

/** Times of the brief: between failure domains, and within one. */
const DOMAIN_DELAY_MS = 1.25;
const LOCAL_DELAY_MS = 0.2;
/** Not given by the brief; assumed. */
const REGION_DELAY_MS = 15;

/** Delay between two processes. */
export function getDelayMs(from: PeerIdentity, to: PeerIdentity): number {
  if (from.region !== to.region) return REGION_DELAY_MS;
  return from.failureDomain === to.failureDomain
    ? LOCAL_DELAY_MS
    : DOMAIN_DELAY_MS;
}

/** Creates a fleet that is not started. */
export function createModelFleet(entries: number, sides: number): ModelFleet {
  const clock = createEventClock();
  const hub = createModelHub(clock, getDelayMs);
  const platform = new ModelPlatform();
  let canReachPlatform: (identity: PeerIdentity) => boolean = () => true;
  const identities = [
    ...Array.from({length: entries}, (_, index) =>
      makeIdentity(ProcessRole.Entry, index),
    ),
    ...Array.from({length: sides}, (_, index) =>
      makeIdentity(ProcessRole.Side, index),
    ),
  ];
  platform.hosts = identities.map(identity => ({
    name: identity.name,
    role: identity.role,
    address: identity.address.host,
    port: identity.address.port,
    failureDomain: identity.failureDomain,
    region: identity.region,
    state: ListedHostState.Live,
  }));
  const nodes = identities.map((identity, index): ModelNode => {
    const parts = createParts(index);
    const network = hub.createNetwork(identity);
    const store = new ModelStore(platform, clock, createRandom(index), () =>
      canReachPlatform(identity),
    );
    const common = {...parts, store, network, clock, identity};
    const membership = createMembershipView({
      ...common,
      settings: {
        heartbeatMs: 1_000,
        suspectAfterMs: 4_000,
        hostListPeriodMs: 2_000,
      },
    });
    const replica = createConfigurationReplica({
      ...common,
      membership,
      settings: {
        freshnessMs: 5_000,
        outageGraceMs: 600_000,
        digestPeriodMs: 2_000,
        watchWaitMs: 10_000,
      },
    });
    const isSide = identity.role === ProcessRole.Side;
    const lease = isSide
      ? createLeaseHolder({
          ...common,
          name: `upstream-${identity.name}`,
          holderId: `${identity.name}/${identity.incarnation}`,
          durationMs: 660_000,
        })
      : undefined;
    const limiter = isSide
      ? undefined
      : createAccountLimiter({
          ...common,
          membership,
          configuration: replica,
          settings: {
            shareUnits: 1_024,
            shareLeaseMs: 780_000,
            buckets: 16,
            loanMs: 10_000,
            loanRenewMs: 3_000,
            reserveWaitMs: 2_000,
          },
        });
    return {
      identity,
      network,
      membership,
      replica,
      lease,
      limiter,
      isUp: false,
    };
  });
  const startNode = async (node: ModelNode): Promise<void> => {
    node.isUp = true;
    await node.network.start();
    node.membership.start();
    node.replica.start();
    node.lease?.start();
    void node.limiter?.start();
  };
  return {
    clock,
    hub,
    platform,
    nodes,
    startAll: async spreadMs => {
      const random = createRandom(17);
      for (const node of nodes) {
        const delayMs = random.getNext() * spreadMs;
        clock.startTimer(delayMs, () => void startNode(node));
      }
      await clock.runFor(spreadMs + 1);
    },
    stopNode: async node => {
      node.isUp = false;
      node.membership.stop();
      await node.replica.stop();
      await node.network.stop();
    },
    setPlatformReach: canReach => {
      canReachPlatform = canReach;
    },
  };
}
