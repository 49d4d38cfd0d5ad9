/** Options and interface of the side process. */
import type {
  Clock,
  Logger,
  Metrics,
  Random,
  Tracing,
} from '@siskinplank/foundation';
import type {ConfigurationReplica} from '@siskinplank/configuration';
import type {MembershipView} from '@siskinplank/membership';
import type {LeaseHolder, PlatformStore} from '@siskinplank/platform-client';
import type {ReceiveBudget} from '@siskinplank/receive-buffers';
import type {SideSettings} from '@siskinplank/settings';
import type {PeerNetwork} from '@siskinplank/transport';
import type {Either} from 'purify-ts';
import type {LedgerLimits, MemoryLedger} from './memory/ledger';

/** Why the process could not start. */
export interface StartError {
  reason: string;
}

/** Dependencies of a side process. */
export interface SideOptions {
  settings: SideSettings;
  clock: Clock;
  random: Random;
  logger: Logger;
  metrics: Metrics;
  tracing: Tracing;
  network: PeerNetwork;
  /** Bounds the incomplete messages from the upstream. */
  receiveBudget: ReceiveBudget;
  store: PlatformStore;
  configuration: ConfigurationReplica;
  membership: MembershipView;
  /** Lease `upstream-<name>`, whose epoch is the fencing token of orders. */
  lease: LeaseHolder;
  createLedger(limits: LedgerLimits): MemoryLedger;
}

/** The process beside one upstream. */
export interface SideProcess {
  /** Binds the listeners and starts all parts. */
  start(): Promise<Either<StartError, void>>;
  /** Refuses new attempts and resolves when the open ones have ended. */
  drain(): Promise<void>;
  /** Stops all parts and closes links and connections that are still open. */
  stop(): Promise<void>;
}
