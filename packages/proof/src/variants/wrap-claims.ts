/** Claims with a weakened decision. */
import {ClaimOutcomeType} from '@siskinplank/claims';
import type {ClaimOutcome, ClaimRegistry, HeldClaim} from '@siskinplank/claims';
import {makeSecureId} from '@siskinplank/foundation';

/** Lets a request run whose claim ended in one of `outcomes`. */
export function wrapClaims(
  registry: ClaimRegistry,
  outcomes: readonly ClaimOutcomeType[],
): ClaimRegistry {
  const forced = new Set<string>();
  const ignoreForced =
    (settle: (claim: HeldClaim) => Promise<void>) => (claim: HeldClaim) =>
      forced.delete(claim.nonce) ? Promise.resolve() : settle(claim);
  return {
    ...registry,
    acquire: async (request): Promise<ClaimOutcome> => {
      const outcome = await registry.acquire(request);
      if (!outcomes.includes(outcome.type)) return outcome;
      const nonce = makeSecureId();
      forced.add(nonce);
      const claim = {name: nonce, nonce, version: 1};
      return {type: ClaimOutcomeType.Acquired, claim};
    },
    complete: (claim, response) =>
      ignoreForced(held => registry.complete(held, response))(claim),
    release: ignoreForced(claim => registry.release(claim)),
    markUnknown: ignoreForced(claim => registry.markUnknown(claim)),
  };
}
