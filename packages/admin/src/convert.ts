/** Converts between stored objects and protobuf messages of the admin API. */
import {create, fromJson, toJson} from '@bufbuild/protobuf';
import type {DescMessage, JsonObject, JsonValue} from '@bufbuild/protobuf';
import {Either, Left, Right} from 'purify-ts';
import {ResourceKind, parseResource} from '@siskinplank/resources';
import type {ApiKey, ResourceValue, StoredObject} from '@siskinplank/resources';
import {
  AdapterSchema,
  ClientAccountSchema,
  KeyInfoSchema,
  ModelSchema,
  PlacementSchema,
  ResourceSchema,
  RouteSchema,
  UpstreamSchema,
} from './generated/siskinplank/admin/v1/admin_pb';
import type {
  KeyInfo,
  Resource,
} from './generated/siskinplank/admin/v1/admin_pb';
import {AdminErrorCode} from './types';
import type {AdminError} from './types';

/** Kinds of objects that the admin API exposes as resources. */
export const RESOURCE_KINDS = [
  ResourceKind.ClientAccount,
  ResourceKind.Model,
  ResourceKind.Adapter,
  ResourceKind.Upstream,
  ResourceKind.Route,
  ResourceKind.Placement,
] as const;

export type AdminKind = (typeof RESOURCE_KINDS)[number];

const SPEC_FIELDS: Record<AdminKind, {field: string; schema: DescMessage}> = {
  [ResourceKind.ClientAccount]: {
    field: 'clientAccount',
    schema: ClientAccountSchema,
  },
  [ResourceKind.Model]: {field: 'model', schema: ModelSchema},
  [ResourceKind.Adapter]: {field: 'adapter', schema: AdapterSchema},
  [ResourceKind.Upstream]: {field: 'upstream', schema: UpstreamSchema},
  [ResourceKind.Route]: {field: 'route', schema: RouteSchema},
  [ResourceKind.Placement]: {field: 'placement', schema: PlacementSchema},
};

function makeInvalidError(message: string): AdminError {
  return {code: AdminErrorCode.Invalid, message};
}

/** Parses the name of a resource kind in a request. */
export function parseKind(text: string): Either<AdminError, AdminKind> {
  const kind = RESOURCE_KINDS.find(candidate => candidate === text);
  if (kind !== undefined) return Right(kind);
  const expected = RESOURCE_KINDS.join(', ');
  return Left(
    makeInvalidError(`kind: expected one of ${expected}; got "${text}"`),
  );
}

/** A validated resource of a request. */
export interface ParsedResource {
  kind: AdminKind;
  name: string;
  value: ResourceValue<AdminKind>;
}

/** Validates a resource against the schema of its kind. */
export function parseResourceMessage(
  resource: Resource | undefined,
): Either<AdminError, ParsedResource> {
  if (resource === undefined)
    return Left(makeInvalidError('resource: missing'));
  return parseKind(resource.kind).chain(kind => {
    const {field, schema} = SPEC_FIELDS[kind];
    if (resource.spec.case !== field) {
      const message = `resource: kind ${kind} needs its specification in "${field}"`;
      return Left(makeInvalidError(message));
    }
    const spec = toJson(schema, resource.spec.value) as JsonObject;
    return parseResource(kind, {...spec, name: resource.name})
      .map(value => ({kind, name: resource.name, value}))
      .mapLeft(error => makeInvalidError(error.problems.join('; ')));
  });
}

/** Converts a stored object to a protobuf message of the admin API. */
export function toResourceMessage(object: StoredObject): Resource {
  const kind = object.kind as AdminKind;
  const {field, schema} = SPEC_FIELDS[kind];
  const spec: Record<string, unknown> = {...object.value};
  delete spec.name;
  const value = fromJson(schema, spec as JsonValue, {
    ignoreUnknownFields: true,
  });
  return create(ResourceSchema, {
    kind,
    name: object.name,
    version: BigInt(object.version),
    spec: {case: field, value} as Resource['spec'],
  });
}

/** Converts a key to a protobuf message, without its hash. */
export function toKeyInfo(key: ApiKey): KeyInfo {
  return create(KeyInfoSchema, {
    keyId: key.name,
    account: key.account,
    createdAtMs: key.createdAtMs,
    expiresAtMs: key.expiresAtMs,
    withdrawnAtMs: key.withdrawnAtMs,
  });
}
