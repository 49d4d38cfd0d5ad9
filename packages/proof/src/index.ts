/** Scenarios and proofs of the invariants against whole running systems. */
export {startCluster} from './cluster/cluster';
export {mergeSettings} from './cluster/settings-files';
export {readKnownRed} from './scenario/known-red';
export {
  TYPESCRIPT_ARGUMENTS,
  WORKSPACE_ROOT,
  spawnManagedProcess,
} from './cluster/managed-process';
export type {ManagedProcess, ProcessExit} from './cluster/managed-process';
export type {
  Cluster,
  ClusterOptions,
  ClusterSecrets,
  CommandResult,
  EngineSpec,
  EntryNode,
  EntrySpec,
  LinkFaults,
  SeedObject,
  ServiceSpec,
  SettingsOverride,
  SideNode,
  StandInControl,
} from './cluster/types';
