/** Interface of the entry role. */
import type {Either} from 'purify-ts';
import type {ClaimRegistry} from '@siskinplank/claims';
import type {ConfigurationView} from '@siskinplank/configuration';
import type {
  Clock,
  Logger,
  Metrics,
  Random,
  Tracing,
} from '@siskinplank/foundation';
import type {AccountLimiter} from '@siskinplank/limits';
import type {MembershipView} from '@siskinplank/membership';
import type {AgedReport, RoutingPolicy} from '@siskinplank/routing';
import type {EntrySettings} from '@siskinplank/settings';
import type {PeerNetwork} from '@siskinplank/transport';

/** Dependencies of an entry process; the calling code starts and stops them. */
export interface EntryDependencies {
  settings: EntrySettings;
  clock: Clock;
  random: Random;
  logger: Logger;
  metrics: Metrics;
  tracing: Tracing;
  network: PeerNetwork;
  configuration: ConfigurationView;
  membership: MembershipView;
  limiter: AccountLimiter;
  claims: ClaimRegistry;
  routing: RoutingPolicy;
  /** Key of the hash for the API keys of callers. */
  hashKey: Uint8Array;
}

/** Why the entry process could not start. */
export interface StartError {
  reason: string;
}

/** An entry process. */
export interface EntryProcess {
  /** Starts the HTTP server for callers. */
  start(): Promise<Either<StartError, void>>;
  /** Shuts down gracefully; resolves when open requests have ended. */
  drain(): Promise<void>;
  /** Latest load report of each upstream, for placement and operators. */
  listLoads(nowMs: number): readonly AgedReport[];
  /** Links all upstreams, as the placement of models needs. */
  setFullView(isFull: boolean): void;
  /** Whether nearly all upstreams have a recent load report. */
  isViewComplete(nowMs: number): boolean;
  /** Greatest age of a load report that counts as recent. */
  getReportAgeLimitMs(): number;
  /** Aborts open requests and closes the server. */
  stop(): Promise<void>;
}
