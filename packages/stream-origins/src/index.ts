/**
 * Knows which software version of the upstreams began a stream, and decides
 * where a resumed stream may go on. Does no I/O and takes the current time as
 * an argument.
 */
export {ORIGIN_KEEP_MS, createOriginTable} from './origin-table';
export type {OriginTable, StreamOrigin} from './origin-table';
export {createVersionHistory} from './version-history';
export type {VersionHistory} from './version-history';
export {OriginSource, OriginVerdictType, resolveOrigin} from './resolve-origin';
export type {OriginInput, OriginVerdict} from './resolve-origin';
export {
  decodeOriginRecord,
  encodeOriginRecord,
  collectOrigins,
  listOrigins,
} from './origin-record';
export type {OriginLists, OriginRecord} from './origin-record';
export {planOriginSchedule} from './origin-schedule';
export type {OriginSchedule} from './origin-schedule';
