/** In-memory platform, peer network and clocks for tests. */
export {createFreezableClock, runClock} from './clock/freezable-clock';
export type {FreezableClock} from './clock/freezable-clock';
export {
  measureHeld,
  measureLongestTurn,
  measureMemory,
} from './load/process-load';
export {MemoryHub, MemoryNetwork} from './network/memory-network';
export {DelayedPlatform, DelayedStore} from './platform/delayed-store';
export {MemoryPlatform, MemoryStore} from './platform/memory-store';
export {ObjectTable} from './platform/object-table';
export {MemorySharedObjectStore} from './platform/memory-shared-object-store';
export {StoreConnection} from './platform/store-connection';
