/** Variant: a claim does not compare request bodies. */
import {replacePart} from './replace-part';
import {runVariant} from './run-variant';

await runVariant({
  customizeEntry: container =>
    replacePart(container, 'claims', claims => ({
      ...claims,
      acquire: request => claims.acquire({...request, bodyHash: ''}),
    })),
});
