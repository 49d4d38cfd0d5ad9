/** Objects that gateways share in the platform's store: reading, following, conditional writing. */
export * from './types';
export {createObjectDirectory} from './object-directory';
export {createDirectoryWatcher} from './directory-watcher';
export type {
  DirectoryWatcher,
  DirectoryWatcherOptions,
} from './directory-watcher';
