/** Checks that a resource refers only to objects that exist. */
import {Either, Left, Right} from 'purify-ts';
import type {ConfigurationView} from '@siskinplank/configuration';
import {ResourceKind} from '@siskinplank/resources';
import type {
  Adapter,
  ConfigurationKind,
  Model,
  Route,
} from '@siskinplank/resources';
import type {ParsedResource} from './convert';
import {AdminErrorCode} from './types';
import type {AdminError} from './types';

function listMissing(
  configuration: ConfigurationView,
  kind: ConfigurationKind,
  names: readonly string[],
): string[] {
  return names
    .filter(name => configuration.getObject(kind, name) === undefined)
    .map(name => `${kind} "${name}" does not exist`);
}

function listMissingReferences(
  resource: ParsedResource,
  configuration: ConfigurationView,
): string[] {
  switch (resource.kind) {
    case ResourceKind.Model: {
      const {upstreams} = resource.value as Model;
      return listMissing(configuration, ResourceKind.Upstream, upstreams);
    }
    case ResourceKind.Adapter: {
      const {model} = resource.value as Adapter;
      return listMissing(configuration, ResourceKind.Model, [model]);
    }
    case ResourceKind.Route: {
      const {upstreams} = resource.value as Route;
      return listMissing(configuration, ResourceKind.Upstream, upstreams);
    }
    default:
      return [];
  }
}

/** Rejects a resource with references to objects that do not exist. */
export function checkReferences(
  resource: ParsedResource,
  configuration: ConfigurationView,
): Either<AdminError, ParsedResource> {
  const problems = listMissingReferences(resource, configuration);
  if (problems.length === 0) return Right(resource);
  return Left({code: AdminErrorCode.Invalid, message: problems.join('; ')});
}

/** Rejects the deletion of an object that other objects refer to. */
export function checkUnreferenced(
  kind: ConfigurationKind,
  name: string,
  configuration: ConfigurationView,
): Either<AdminError, void> {
  const referrers: string[] = [];
  if (kind === ResourceKind.Model) {
    for (const adapter of configuration.listObjects(ResourceKind.Adapter)) {
      if (adapter.value.model === name)
        referrers.push(`Adapter "${adapter.name}"`);
    }
  }
  if (kind === ResourceKind.Upstream) {
    for (const route of configuration.listObjects(ResourceKind.Route)) {
      if (route.value.upstreams.includes(name)) {
        referrers.push(`Route "${route.name}"`);
      }
    }
  }
  if (kind === ResourceKind.ClientAccount) {
    for (const key of configuration.listObjects(ResourceKind.ApiKey)) {
      const isUsable = key.value.withdrawnAtMs === undefined;
      if (key.value.account === name && isUsable) {
        referrers.push(`key "${key.name}"`);
      }
    }
  }
  if (referrers.length === 0) return Right(undefined);
  return Left({
    code: AdminErrorCode.Invalid,
    message: `${kind} "${name}" is still used by ${referrers.join(', ')}`,
  });
}
