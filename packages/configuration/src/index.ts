/** Replica of the configuration and its relay between processes. */
export * from './types';
export {createConfigurationReplica} from './replica';
export type {
  ConfigurationReplicaOptions,
  ConfigurationReplicaSettings,
} from './replica';
export {MajorityOutageRule, OutageRule} from './outage-rule';
export type {DomainId, OutageEvidence} from './outage-rule';
