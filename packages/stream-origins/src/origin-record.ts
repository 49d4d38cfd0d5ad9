/** What a gateway stores so that origins outlast all gateways. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {z} from 'zod';
import {MAX_ATTEMPT_ID_LENGTH} from './origin-table';
import type {StreamOrigin} from './origin-table';

/** Attempts by service and software version. */
export type OriginLists = Record<string, Record<string, string[]>>;

/** Content of one gateway's object. */
export interface OriginRecord {
  /** Versions that served each service lately, as the gateway saw. */
  versions: Record<string, string[]>;
  /** Services to which each route led lately. */
  routes: Record<string, string[]>;
  /** Attempts whose streams callers may resume. */
  origins: Array<[string, StreamOrigin]>;
}

/** Longest name of a service, route or version, and longest id of an attempt. */
const MAX_TEXT_LENGTH = MAX_ATTEMPT_ID_LENGTH;
/** Attempts in one object; far more than a gateway has open. */
const MAX_STORED_ORIGINS = 5_000;

const textSchema = z.string().max(MAX_TEXT_LENGTH);
const recordSchema = z.object({
  versions: z.record(textSchema, z.array(textSchema)),
  routes: z.record(textSchema, z.array(textSchema)).default({}),
  origins: z.record(textSchema, z.record(textSchema, z.array(textSchema))),
});

/** Attempts in one message, which its receivers accept. */
const MAX_SENT_ORIGINS = 20_000;

/** Groups origins by service and version; of too many, the newest ones. */
export function collectOrigins(
  origins: ReadonlyArray<readonly [string, StreamOrigin]>,
): OriginLists {
  const services = new Map<string, Map<string, string[]>>();
  for (const [attemptId, {service, softwareVersion}] of origins.slice(
    -MAX_SENT_ORIGINS,
  )) {
    const versions = services.get(service) ?? new Map<string, string[]>();
    services.set(service, versions);
    const attemptIds = versions.get(softwareVersion) ?? [];
    versions.set(softwareVersion, attemptIds);
    attemptIds.push(attemptId);
  }
  return Object.fromEntries(
    [...services].map(([service, versions]) => [
      service,
      Object.fromEntries(versions),
    ]),
  );
}

/** Reverses `collectOrigins`. */
export function listOrigins(lists: OriginLists): OriginRecord['origins'] {
  return Object.entries(lists).flatMap(([service, versions]) =>
    Object.entries(versions).flatMap(([softwareVersion, attemptIds]) =>
      attemptIds.map((attemptId): [string, StreamOrigin] => [
        attemptId,
        {service, softwareVersion},
      ]),
    ),
  );
}

/** Encodes the content; of too many origins, the newest ones are kept. */
export function encodeOriginRecord(record: OriginRecord): unknown {
  return {
    versions: record.versions,
    routes: record.routes,
    origins: collectOrigins(record.origins.slice(-MAX_STORED_ORIGINS)),
  };
}

/** Decodes the content. */
export function decodeOriginRecord(
  content: unknown,
): Either<string, OriginRecord> {
  const parsed = recordSchema.safeParse(content);
  if (!parsed.success) return Left(z.prettifyError(parsed.error));
  const {versions, routes, origins} = parsed.data;
  return Right({versions, routes, origins: listOrigins(origins)});
}
