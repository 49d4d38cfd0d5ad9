/** Test stand-ins for the platform, engines and services. */
export {startCollectorStandIn} from './collector';
export type {CollectorStandInOptions, ReceivedSpan} from './collector';
export {getMonotonicMs} from './control';
export type {LogEntry, StandIn} from './control';
export {startEngineStandIn} from './engine';
export type {CompletedOrder, MemoryRecord} from './engine-memory';
export type {CacheEvent} from './engine-cache';
export {
  PREFIX_BLOCK_BYTES,
  computeExpectedCompletion,
  computeExpectedText,
  computePrefixHashes,
  extractTokens,
  formatChatPrompt,
} from './engine-tokens';
export type {
  ChatMessage,
  CompletionInput,
  ExpectedCompletion,
} from './engine-tokens';
export type {
  EngineCatalog,
  EngineFault,
  EngineStandInOptions,
} from './engine-types';
export {MAX_VALUE_BYTES, PlatformCall, PlatformOutage} from './platform';
export {startPlatformStandIn} from './platform';
export type {
  PlatformFault,
  PlatformHost,
  PlatformStandInOptions,
} from './platform';
export {startServiceStandIn} from './service';
export type {ServiceFault, ServiceStandInOptions} from './service';
export {startWeightStoreStandIn} from './weight-store';
export type {WeightStoreFault, WeightStoreStandInOptions} from './weight-store';
export {ProxyDirection, createFaultProxy} from './proxy';
export type {FaultProxy, FaultProxyOptions, ProxyFault} from './proxy';
export {releasePort, reservePort} from './ports';
