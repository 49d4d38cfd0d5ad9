/** Variant: entry and side processes keep the first version of each route. */
import type {ConfigurationReplica} from '@siskinplank/configuration';
import {ResourceKind} from '@siskinplank/resources';
import {replacePart} from './replace-part';
import {runVariant} from './run-variant';
import {makeStaleReplica} from './stale-objects';

const makeStaleRoutes = (replica: ConfigurationReplica): ConfigurationReplica =>
  makeStaleReplica(replica, ResourceKind.Route);

// A side process refuses requests of routes that no longer name its upstream,
// so that an old version at entry hosts alone has no effect.
await runVariant({
  customizeEntry: container =>
    replacePart(container, 'configuration', makeStaleRoutes),
  customizeSide: container =>
    replacePart(container, 'configuration', makeStaleRoutes),
});
