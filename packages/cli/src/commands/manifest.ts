/** Reads the YAML documents that `siskinplank apply` takes. */
import {fromJson} from '@bufbuild/protobuf';
import type {JsonValue} from '@bufbuild/protobuf';
import {Either, Left, Right} from 'purify-ts';
import {parseAllDocuments} from 'yaml';
import {z} from 'zod';
import {ResourceSchema} from '@siskinplank/admin';
import type {Resource} from '@siskinplank/admin';

const manifestSchema = z.strictObject({
  kind: z.string().min(1),
  name: z.string().min(1),
  /** Requires this version; 0 requires that the resource does not exist. */
  version: z.int().min(0).optional(),
  spec: z.record(z.string(), z.unknown()).default({}),
});

/** A resource of a manifest. */
export interface ManifestResource {
  resource: Resource;
  expectedVersion: bigint | undefined;
}

/** Field of the published schema that holds the specification of a kind. */
function getSpecField(kind: string): string {
  return kind.charAt(0).toLowerCase() + kind.slice(1);
}

function parseDocumentValue(
  file: string,
  index: number,
  value: unknown,
): Either<string, ManifestResource> {
  const location = `${file}: document ${index + 1}`;
  const manifest = manifestSchema.safeParse(value);
  if (!manifest.success) {
    const problems = manifest.error.issues
      .map(issue => `${issue.path.join('.') || '(document)'}: ${issue.message}`)
      .join('; ');
    return Left(`${location}: ${problems}`);
  }
  const {kind, name, version, spec} = manifest.data;
  const json = {kind, name, [getSpecField(kind)]: spec} as JsonValue;
  return Either.encase(() => fromJson(ResourceSchema, json))
    .mapLeft(error => `${location}: ${error.message}`)
    .map(resource => ({
      resource,
      expectedVersion: version === undefined ? undefined : BigInt(version),
    }));
}

/** Parses a stream of YAML documents `{kind, name, version?, spec}`. */
export function parseManifest(
  file: string,
  text: string,
): Either<string, ManifestResource[]> {
  const documents = parseAllDocuments(text);
  if (!Array.isArray(documents)) return Right([]);
  const broken = documents.find(document => document.errors.length > 0);
  if (broken !== undefined) return Left(`${file}: ${broken.errors[0].message}`);
  const values = documents
    .map(document => document.toJS() as unknown)
    .filter(value => value !== null);
  return Either.sequence(
    values.map((value, index) => parseDocumentValue(file, index, value)),
  );
}
