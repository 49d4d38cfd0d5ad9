/** Validates untyped values against the schema of their kind. */
import {Either, Left, Right} from 'purify-ts';
import {RESOURCE_SCHEMAS, ResourceKind} from './types';
import type {ResourceValue} from './types';

/** A value that does not match the schema of its kind. */
export interface ResourceError {
  kind: ResourceKind;
  /** One `path: reason` entry for each violation. */
  problems: string[];
}

/** Returns the validated value with defaults filled in, or its violations. */
export function parseResource<K extends ResourceKind>(
  kind: K,
  value: unknown,
): Either<ResourceError, ResourceValue<K>> {
  const result = RESOURCE_SCHEMAS[kind].safeParse(value);
  if (result.success) return Right(result.data as ResourceValue<K>);
  const problems = result.error.issues.map(
    issue => `${issue.path.join('.') || '(object)'}: ${issue.message}`,
  );
  return Left({kind, problems});
}
