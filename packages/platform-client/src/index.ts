/** Client of the platform's object API. */
export * from './types';
export {createPlatformClient} from './client';
export type {PlatformClientDependencies} from './client';
export {createLeaseHolder} from './lease-holder';
export type {LeaseHolderOptions} from './lease-holder';
