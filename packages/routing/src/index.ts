/** Choice of an upstream for each request. */
export * from './types';
export {
  SUSPECT_REPORT_AGE_MS,
  buildCandidates,
  listActiveUpstreams,
} from './candidates';
export type {CandidateSources} from './candidates';
export {RoutingPolicyName, createRoutingPolicy} from './factory';
export {createLoadTable} from './load-table';
export type {AgedReport, LoadTable, UpstreamLoad} from './load-table';
export {
  MAX_PREFIX_BLOCKS,
  PREFIX_BLOCK_BYTES,
  hashPromptPrefixes,
} from './prefixes';
