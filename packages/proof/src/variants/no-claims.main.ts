/** Variant: every order runs, whatever its idempotency key. */
import {asFunction} from 'awilix';
import {ClaimOutcomeType} from '@siskinplank/claims';
import type {ClaimRegistry} from '@siskinplank/claims';
import {makeSecureId} from '@siskinplank/foundation';
import {runVariant} from './run-variant';

function createOpenRegistry(): ClaimRegistry {
  return {
    acquire: () =>
      Promise.resolve({
        type: ClaimOutcomeType.Acquired,
        claim: {name: makeSecureId(), nonce: makeSecureId(), version: 1},
      }),
    complete: () => Promise.resolve(),
    release: () => Promise.resolve(),
    markUnknown: () => Promise.resolve(),
    stop: () => Promise.resolve(),
  };
}

await runVariant({
  customizeEntry: container =>
    void container.register({
      claims: asFunction(createOpenRegistry).singleton(),
    }),
});
