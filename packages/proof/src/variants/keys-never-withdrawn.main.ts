/** Variant: an entry host keeps the first version of each key. */
import {ResourceKind} from '@siskinplank/resources';
import {replacePart} from './replace-part';
import {runVariant} from './run-variant';
import {makeStaleReplica} from './stale-objects';

await runVariant({
  customizeEntry: container =>
    replacePart(container, 'configuration', replica =>
      makeStaleReplica(replica, ResourceKind.ApiKey),
    ),
});
