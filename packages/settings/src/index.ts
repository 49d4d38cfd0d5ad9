/** Process settings read from YAML and checked against a schema. */
export * from './types';
export {gatewaySettingsSchema} from './gateway';
export type {GatewaySettings} from './gateway';
export {formatProblem, loadSettings, parseSettings} from './load';
export type {SettingsProblem} from './load';
export {loadEntrySecrets, loadLinkSecrets} from './secrets';
export type {
  EntrySecrets,
  LinkSecrets,
  LoadedClusterKey,
  LoadedTls,
} from './secrets';
