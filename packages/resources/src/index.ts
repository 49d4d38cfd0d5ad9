/** Schemas and types of the objects stored in the platform's object API. */
export * from './types';
export {parseResource} from './parse';
export type {ResourceError} from './parse';
export {formatKey, hashSecret, parseKey, verifySecret} from './keys';
export type {ParsedKey} from './keys';
