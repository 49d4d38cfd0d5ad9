/** Variant: the claim of an ended process, or of an unknown outcome, is free. */
import {ClaimOutcomeType} from '@siskinplank/claims';
import {replacePart} from './replace-part';
import {runVariant} from './run-variant';
import {wrapClaims} from './wrap-claims';

await runVariant({
  customizeEntry: container =>
    replacePart(container, 'claims', claims =>
      wrapClaims(claims, [ClaimOutcomeType.Unresolved]),
    ),
});
