/** Variant: every key opens the first client account. */
import type {ConfigurationReplica} from '@siskinplank/configuration';
import {ResourceKind} from '@siskinplank/resources';
import type {ConfigurationKind} from '@siskinplank/resources';
import {replacePart} from './replace-part';
import {runVariant} from './run-variant';

function replaceAccounts(replica: ConfigurationReplica): ConfigurationReplica {
  return {
    ...replica,
    getObject: <K extends ConfigurationKind>(kind: K, name: string) =>
      kind === ResourceKind.ClientAccount
        ? replica.listObjects(kind)[0]
        : replica.getObject(kind, name),
  };
}

await runVariant({
  customizeEntry: container =>
    replacePart(container, 'configuration', replaceAccounts),
});
