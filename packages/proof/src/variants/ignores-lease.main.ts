/** Variant: a side process gives orders whether or not it holds its lease. */
import type {LeaseHolder} from '@siskinplank/platform-client';
import {replacePart} from './replace-part';
import {runVariant} from './run-variant';

await runVariant({
  customizeSide: container =>
    replacePart(container, 'lease', (lease): LeaseHolder => ({
      ...lease,
      getEpoch: nowMs => lease.getEpoch(nowMs) ?? 1,
    })),
});
