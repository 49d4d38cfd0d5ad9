/** Variant: the order lease ends 5 s after its last renewal. */
import {asFunction} from 'awilix';
import {createLeaseHolder} from '@siskinplank/platform-client';
import {runVariant} from './run-variant';

const DURATION_MS = 5_000;

await runVariant({
  customizeSide: container =>
    container.register({
      lease: asFunction(({settings, identity, store, clock, random, logger}) =>
        createLeaseHolder({
          name: `upstream-${settings.role === 'side' ? settings.upstream : ''}`,
          holderId: `${identity.name}/${identity.incarnation}`,
          durationMs: DURATION_MS,
          store,
          clock,
          random,
          logger,
        }),
      ).singleton(),
    }),
});
