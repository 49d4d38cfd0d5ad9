/** Access to the platform's store of objects that gateways share. */
export * from './types';
export {STORE_RESTORED} from './events';
export {createObjectDirectory} from './object-directory';
export {createDirectoryWatcher} from './directory-watcher';
export {createStoreHealth} from './store-health';
export type {StoreCall, StoreHealth} from './store-health';
export type {
  DirectoryWatcher,
  DirectoryWatcherOptions,
} from './directory-watcher';
