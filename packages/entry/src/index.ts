/** Entry role, which accepts the requests of callers. */
export * from './types';
export {createEntryProcess} from './process';
