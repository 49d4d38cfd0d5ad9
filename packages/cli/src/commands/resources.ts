/** Commands for resources: apply, get, describe, delete. */
import {readFileSync} from 'node:fs';
import {toJson} from '@bufbuild/protobuf';
import {Either} from 'purify-ts';
import {stringify} from 'yaml';
import {ResourceSchema} from '@siskinplank/admin';
import type {Resource} from '@siskinplank/admin';
import type {AdminClient} from './client';
import {parseManifest} from './manifest';
import {OutputFormat, renderJson, renderTable} from './output';
import type {PrintLine} from './output';

/** Client and output settings of a command. */
export interface CommandContext {
  client: AdminClient;
  print: PrintLine;
  format: OutputFormat;
}

/** Reads a manifest file and applies its resources in order. */
export async function applyFile(
  context: CommandContext,
  file: string,
  isDryRun: boolean,
): Promise<Either<string, void>> {
  const manifest = Either.encase(() => readFileSync(file, 'utf8'))
    .mapLeft(error => error.message)
    .chain(text => parseManifest(file, text));
  if (manifest.isLeft()) return manifest.map(() => undefined);
  for (const {resource, expectedVersion} of manifest.orDefault([])) {
    const response = await context.client.applyResource({
      resource,
      expectedVersion,
      dryRun: isDryRun,
    });
    if (context.format === OutputFormat.Json) {
      context.print(
        renderJson({
          outcome: response.outcome,
          kind: resource.kind,
          name: resource.name,
          version: response.resource?.version,
        }),
      );
      continue;
    }
    const suffix = isDryRun ? ' (dry run)' : '';
    context.print(
      `${resource.kind} ${resource.name} ${response.outcome}${suffix}`,
    );
  }
  return manifest.map(() => undefined);
}

function printResource(context: CommandContext, resource: Resource): void {
  const json = toJson(ResourceSchema, resource);
  context.print(
    context.format === OutputFormat.Json
      ? renderJson(json)
      : stringify(json).trimEnd(),
  );
}

/** Prints one resource in full. */
export async function describeResource(
  context: CommandContext,
  kind: string,
  name: string,
): Promise<void> {
  const {resource} = await context.client.getResource({kind, name});
  if (resource !== undefined) printResource(context, resource);
}

/** Prints the resources of a kind, a line each. */
export async function listResources(
  context: CommandContext,
  kind: string,
): Promise<void> {
  const {resources} = await context.client.listResources({kind});
  if (context.format === OutputFormat.Json) {
    context.print(
      renderJson(resources.map(resource => toJson(ResourceSchema, resource))),
    );
    return;
  }
  const rows = resources.map(resource => [
    resource.name,
    String(resource.version),
  ]);
  renderTable(['NAME', 'VERSION'], rows).forEach(context.print);
}

/** Deletes a resource. */
export async function deleteResource(
  context: CommandContext,
  kind: string,
  name: string,
): Promise<void> {
  await context.client.deleteResource({kind, name});
  context.print(`${kind} ${name} deleted`);
}
