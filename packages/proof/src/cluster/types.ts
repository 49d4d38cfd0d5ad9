/** Options and handles of a system under test. */
import type {ResourceKind, Upstream} from '@siskinplank/resources';
import type {
  EngineStandInOptions,
  FaultProxy,
  LogEntry,
  PlatformStandInOptions,
  ProxyFault,
  ServiceStandInOptions,
  WeightStoreStandInOptions,
} from '@siskinplank/stand-ins';
import type {ManagedProcess, ProcessExit} from './managed-process';

/** Part of a settings file, merged over the harness's own values. */
export type SettingsOverride = Readonly<Record<string, unknown>>;

/** An entry process to start. */
export interface EntrySpec {
  name?: string;
  failureDomain?: string;
  region?: string;
  settings?: SettingsOverride;
}

/** An upstream with its side process. */
interface UpstreamSpec extends EntrySpec {
  /** Changes to the Upstream object. */
  upstream?: Partial<Upstream>;
  /** Settings of the side process. */
  settings?: SettingsOverride;
}

/** An engine and its side process. */
export interface EngineSpec extends UpstreamSpec {
  options?: EngineStandInOptions;
}

/** A plain service and its side process. */
export interface ServiceSpec extends UpstreamSpec {
  options?: ServiceStandInOptions;
}

/** An object written to the platform before the processes start. */
export interface SeedObject {
  kind: ResourceKind;
  name: string;
  value: unknown;
}

/** What to start. */
export interface ClusterOptions {
  /** A number, or one specification for each. */
  entries?: number | EntrySpec[];
  engines?: EngineSpec[];
  services?: ServiceSpec[];
  platform?: PlatformStandInOptions;
  /** Absent, engines load models without a weight store. */
  weightStore?: WeightStoreStandInOptions;
  collector?: boolean;
  /** Puts a fault proxy before each listener between processes. */
  hasProxies?: boolean;
  /** Writes the Upstream objects to the platform at the start. */
  seedsUpstreams?: boolean;
  objects?: SeedObject[];
  entrySettings?: SettingsOverride;
  sideSettings?: SettingsOverride;
  /** Waits for `/readyz` of all processes before the start resolves. */
  waitsForReady?: boolean;
  readyTimeoutMs?: number;
  /** Main file of the roles, in place of the product's command line. */
  productMain?: string;
  /** Leaves settings and logs in place after `stop`. */
  keepsDirectory?: boolean;
}

/** Control calls of a stand-in in its own process. */
export interface StandInControl {
  name: string;
  port: number;
  sendFault(fault: object): Promise<void>;
  listLog(type?: string, fromSequence?: number): Promise<LogEntry[]>;
  requestJson(method: string, path: string, body?: unknown): Promise<unknown>;
}

/** An entry process. */
export interface EntryNode {
  name: string;
  failureDomain: string;
  region: string;
  callerUrl: string;
  adminUrl: string;
  settingsFile: string;
}

/** A side process. */
export interface SideNode {
  name: string;
  failureDomain: string;
  region: string;
  httpUrl: string;
  upstream: string;
  settingsFile: string;
}

/** Faults of the connections that one process opens to another. */
export interface LinkFaults {
  applyFault(fault: ProxyFault): void;
}

/** Secrets of the system, as in its secret files. */
export interface ClusterSecrets {
  clusterKey: string;
  keyHashSecret: string;
  bootstrapToken: string;
}

/** Outcome of a command line call. */
export interface CommandResult {
  exit: ProcessExit;
  lines: readonly string[];
}

/** A running system under test. */
export interface Cluster {
  directory: string;
  secrets: ClusterSecrets;
  entries: readonly EntryNode[];
  sides: readonly SideNode[];
  platform: StandInControl;
  collector: StandInControl | undefined;
  /** Stand-ins by name: `platform`, `weight-store`, engines and services. */
  getStandIn(name: string): StandInControl;
  getProcess(name: string): ManagedProcess;
  /** Upstream objects that the processes receive. */
  listUpstreams(): readonly Upstream[];
  putObject(object: SeedObject): Promise<void>;
  /** Sets a host's state in the platform's host list. */
  setHostState(name: string, state: 'live' | 'leaving'): Promise<void>;
  removeHost(name: string): Promise<void>;
  kill(name: string): Promise<ProcessExit>;
  term(name: string): Promise<ProcessExit>;
  freeze(name: string): void;
  thaw(name: string): void;
  /** Starts an ended process again at its old addresses. */
  restart(name: string): Promise<void>;
  waitForReady(names?: readonly string[]): Promise<void>;
  /** Proxy before a process's listener. */
  getProxy(name: string): FaultProxy;
  /** Connections that `from` opens to `to`; see `partition` for both ways. */
  getLink(from: string, to: string): LinkFaults;
  /** Holds all bytes between two groups of processes until `heal`. */
  partition(groupA: readonly string[], groupB: readonly string[]): void;
  heal(): void;
  /** Runs the siskinplank command line to its end. */
  runCommand(args: readonly string[]): Promise<CommandResult>;
  /**
   * Stops all by SIGTERM, entries first, then sides, then stand-ins; kills
   * what remains. Returns how each entry and side process ended.
   */
  stop(): Promise<ReadonlyMap<string, ProcessExit>>;
}
