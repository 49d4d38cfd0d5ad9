/** Variant: an order runs when the platform did not take its claim. */
import {ClaimOutcomeType} from '@siskinplank/claims';
import {replacePart} from './replace-part';
import {runVariant} from './run-variant';
import {wrapClaims} from './wrap-claims';

await runVariant({
  customizeEntry: container =>
    replacePart(container, 'claims', claims =>
      wrapClaims(claims, [ClaimOutcomeType.PlatformUnavailable]),
    ),
});
