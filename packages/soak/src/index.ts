/** Randomized fault soak: real gateways as processes, faults from outside, promises checked by callers and upstreams. */
export {runSoak} from './run';
export type {SoakOptions, SoakResult} from './run';
