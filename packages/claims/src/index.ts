/** Idempotency claims for requests that must not run twice. */
export * from './types';
export {
  MAX_STORED_BODY_BYTES,
  createClaimRegistry,
  makeClaimName,
} from './registry';
export type {ClaimRegistryOptions} from './registry';
export {createClaimSweeper} from './sweep/sweeper';
export type {ClaimSweeper, ClaimSweeperOptions} from './sweep/sweeper';
export {SWEEP_SHARDS, makeSweepName} from './sweep/shards';
