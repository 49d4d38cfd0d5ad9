/** Client of the platform's object API over HTTP. */
import {isDeepStrictEqual} from 'node:util';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {Clock, Logger, Metrics, Random} from '@siskinplank/foundation';
import {parseResource} from '@siskinplank/resources';
import type {
  ResourceKind,
  ResourceValue,
  StoredObject,
} from '@siskinplank/resources';
import type {ZodType} from 'zod';
import {BudgetUse, CallKind, createGuardedCaller} from './calls';
import {OBJECT_SKIPPED, REPLY_LOST, REPLY_MALFORMED} from './events';
import {createHttpCaller} from './http-call';
import type {HttpReply} from './http-call';
import {PlatformErrorCode, PlatformStore} from './types';
import type {
  ExpectedVersion,
  PlatformClientOptions,
  PlatformError,
  VersionPage,
  WatchEvent,
} from './types';
import {
  conflictReplySchema,
  hostsReplySchema,
  listReplySchema,
  objectReplySchema,
  versionPageReplySchema,
  watchReplySchema,
  writeReplySchema,
} from './wire';
import type {ObjectReply} from './wire';
import {WriteEvidence, resolveWriteOutcome} from './writes';
import type {FoundObject} from './writes';

/** Options and dependencies of `createPlatformClient`. */
export interface PlatformClientDependencies extends PlatformClientOptions {
  clock: Clock;
  random: Random;
  logger: Logger;
  metrics: Metrics;
  /** Process name and incarnation, sent as `x-writer` for platform records. */
  writerId: string;
}

const DEFAULT_TIMEOUT_MS = 2_000;
const DEFAULT_CALLS_PER_SECOND = 50;
/** Largest value that the platform accepts. */
const MAX_VALUE_BYTES = 1_000_000;
const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;
const HTTP_GONE = 410;

const makeInvalidError = (message: string): PlatformError => ({
  code: PlatformErrorCode.Invalid,
  message,
});

const makePath = (kind: ResourceKind, name?: string): string =>
  `/v1/objects/${kind}` +
  (name === undefined ? '' : `/${encodeURIComponent(name)}`);

const makePrecondition = (expected: ExpectedVersion): Record<string, string> =>
  expected === 'absent'
    ? {'if-none-match': '*'}
    : {'if-match': `"${expected}"`};

const isUntouched = (found: FoundObject, expected: ExpectedVersion): boolean =>
  expected === 'absent' ? found === undefined : found?.version === expected;

/** Whether a page is sorted and within the requested bounds. */
const isPage = (page: VersionPage, after: string, limit: number): boolean =>
  page.items.length <= limit &&
  page.items.every(
    ({name}, index) =>
      name > (index === 0 ? after : page.items[index - 1].name),
  );

/** Creates the client of one process. */
export function createPlatformClient(
  options: PlatformClientDependencies,
): PlatformStore {
  const {clock, logger} = options;
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  const http = createHttpCaller(options.address, clock, options.receiveBudget);
  /** Watches that wait for a reply. */
  const waiting = new Set<{sentAtMs: number; abort: AbortController}>();
  const calls = createGuardedCaller({
    http,
    callsPerSecond: options.callsPerSecond ?? DEFAULT_CALLS_PER_SECOND,
    clock,
    random: options.random,
    logger,
    metrics: options.metrics,
    onRecovery: sentBeforeMs => {
      for (const {sentAtMs, abort} of waiting) {
        if (sentAtMs < sentBeforeMs) abort.abort();
      }
    },
  });
  const baseHeaders = {'x-writer': options.writerId};

  const checkReply = <T>(
    schema: ZodType<T>,
    reply: HttpReply,
  ): Either<PlatformError, T> => {
    if (reply.status !== HTTP_OK) {
      return Left(
        makeInvalidError(`platform replied with status ${reply.status}`),
      );
    }
    const result = schema.safeParse(reply.body);
    if (result.success) return Right(result.data);
    logger.log(REPLY_MALFORMED, {reason: result.error.message.slice(0, 300)});
    return Left(makeInvalidError('malformed reply'));
  };

  const parseStored = <K extends ResourceKind>(
    kind: K,
    found: ObjectReply,
  ): Either<PlatformError, StoredObject<K>> =>
    parseResource(kind, found.value)
      .map(value => ({kind, name: found.name, version: found.version, value}))
      .mapLeft(error => {
        const problems = error.problems.join('; ').slice(0, 300);
        logger.log(OBJECT_SKIPPED, {kind, name: found.name, problems});
        return makeInvalidError(problems);
      });

  const readRaw = async (
    kind: ResourceKind,
    name: string,
    use: BudgetUse,
  ): Promise<Either<PlatformError, ObjectReply | undefined>> => {
    const reply = await calls.read(
      CallKind.Get,
      {
        method: 'GET',
        path: makePath(kind, name),
        headers: baseHeaders,
        timeoutMs,
      },
      use,
    );
    return reply.chain<PlatformError, ObjectReply | undefined>(received =>
      received.status === HTTP_NOT_FOUND
        ? Right(undefined)
        : checkReply(objectReplySchema, received),
    );
  };

  const makeConflict = (
    kind: ResourceKind,
    name: string,
    found: FoundObject,
  ): PlatformError => ({
    code: PlatformErrorCode.Conflict,
    message: `${kind} ${name} is at version ${found?.version ?? 'absent'}`,
    current:
      found === undefined
        ? null
        : parseStored(kind, {name, ...found})
            .toMaybe()
            .extract(),
  });

  const parseConflict = (
    reply: HttpReply,
  ): Either<PlatformError, FoundObject> => {
    const result = conflictReplySchema.safeParse(reply.body);
    if (!result.success)
      return Left(makeInvalidError('malformed conflict reply'));
    return Right(result.data.current ?? undefined);
  };

  class HttpPlatformStore extends PlatformStore {
    override async getObject<K extends ResourceKind>(kind: K, name: string) {
      const found = await readRaw(kind, name, BudgetUse.Normal);
      return found.chain<PlatformError, StoredObject<K> | undefined>(object =>
        object === undefined ? Right(undefined) : parseStored(kind, object),
      );
    }

    override async listObjects<K extends ResourceKind>(kind: K) {
      const reply = await calls.read(CallKind.List, {
        method: 'GET',
        path: makePath(kind),
        headers: baseHeaders,
        timeoutMs,
      });
      return reply
        .chain(received => checkReply(listReplySchema, received))
        .map(list => ({
          revision: list.revision,
          items: list.items.flatMap(item =>
            parseStored(kind, item)
              .map(object => [object])
              .orDefault([]),
          ),
        }));
    }

    override async listVersions(
      kind: ResourceKind,
      after: string,
      limit: number,
    ): Promise<Either<PlatformError, VersionPage>> {
      const query = new URLSearchParams({
        view: 'versions',
        limit: String(limit),
        ...(after === '' ? {} : {after}),
      });
      const reply = await calls.read(CallKind.List, {
        method: 'GET',
        path: `${makePath(kind)}?${query.toString()}`,
        headers: baseHeaders,
        timeoutMs,
      });
      return reply
        .chain(received => checkReply(versionPageReplySchema, received))
        .chain(page =>
          isPage(page, after, limit)
            ? Right(page)
            : Left(makeInvalidError('page exceeds the requested bounds')),
        );
    }

    override async putObject<K extends ResourceKind>(
      kind: K,
      name: string,
      value: ResourceValue<K>,
      expected: ExpectedVersion,
    ): Promise<Either<PlatformError, StoredObject<K>>> {
      const checked = parseResource(kind, value);
      if (checked.isLeft())
        return Left(makeInvalidError('value does not match its schema'));
      const wanted = checked.extract() as ResourceValue<K>;
      const body = JSON.stringify(wanted);
      if (Buffer.byteLength(body) > MAX_VALUE_BYTES) {
        return Left(makeInvalidError('value exceeds 1 MB'));
      }
      const stored: unknown = JSON.parse(body);
      const makeObject = (version: number): StoredObject<K> => ({
        kind,
        name,
        version,
        value: wanted,
      });
      const isNewer = (version: number): boolean =>
        expected === 'absent' || version > expected;
      return resolveWriteOutcome<StoredObject<K>>({
        send: use =>
          calls.send(
            CallKind.Put,
            {
              method: 'PUT',
              path: makePath(kind, name),
              headers: {
                ...baseHeaders,
                ...makePrecondition(expected),
                'content-type': 'application/json',
              },
              body,
              timeoutMs,
            },
            use,
          ),
        readBack: () => readRaw(kind, name, BudgetUse.Forced),
        compare: found => {
          if (isUntouched(found, expected)) return WriteEvidence.Untouched;
          return found !== undefined &&
            isNewer(found.version) &&
            isDeepStrictEqual(found.value, stored)
            ? WriteEvidence.Applied
            : WriteEvidence.Changed;
        },
        parseReply: reply =>
          checkReply(writeReplySchema, reply).map(({version}) =>
            makeObject(version),
          ),
        parseConflict,
        makeResult: found => makeObject(found?.version ?? 0),
        makeConflict: found => makeConflict(kind, name, found),
        onReplyLost: () => logger.log(REPLY_LOST, {kind, name}),
      });
    }

    override deleteObject(
      kind: ResourceKind,
      name: string,
      expectedVersion: number,
    ): Promise<Either<PlatformError, void>> {
      return resolveWriteOutcome<void>({
        send: use =>
          calls.send(
            CallKind.Delete,
            {
              method: 'DELETE',
              path: makePath(kind, name),
              headers: {...baseHeaders, ...makePrecondition(expectedVersion)},
              timeoutMs,
            },
            use,
          ),
        readBack: () => readRaw(kind, name, BudgetUse.Forced),
        compare: found => {
          if (found === undefined) return WriteEvidence.Applied;
          return isUntouched(found, expectedVersion)
            ? WriteEvidence.Untouched
            : WriteEvidence.Changed;
        },
        parseReply: reply =>
          reply.status === HTTP_NOT_FOUND
            ? Right(undefined)
            : checkReply(writeReplySchema, reply).map(() => undefined),
        parseConflict,
        makeResult: () => undefined,
        makeConflict: found => makeConflict(kind, name, found),
        onReplyLost: () => logger.log(REPLY_LOST, {kind, name}),
      });
    }

    override async watchObjects(
      kinds: readonly ResourceKind[],
      fromRevision: number,
      waitMs: number,
    ) {
      const sendWatch = (pollMs: number, signal?: AbortSignal) =>
        calls.send(CallKind.Watch, {
          method: 'GET',
          path:
            `/v1/watch?kinds=${kinds.join(',')}` +
            `&from=${fromRevision}&waitMs=${Math.round(pollMs)}`,
          headers: baseHeaders,
          timeoutMs: pollMs + timeoutMs,
          signal,
        });
      const abort = new AbortController();
      const watch = {sentAtMs: clock.getNowMs(), abort};
      waiting.add(watch);
      // A probe must not wait: all other calls are refused until it completes.
      let reply = await sendWatch(calls.isClosed() ? waitMs : 0, abort.signal);
      waiting.delete(watch);
      if (reply.isLeft() && abort.signal.aborted) reply = await sendWatch(0);
      return reply
        .chain(received =>
          received.status === HTTP_GONE
            ? Left({
                code: PlatformErrorCode.Compacted,
                message: `revision ${fromRevision} is compacted`,
              })
            : checkReply(watchReplySchema, received),
        )
        .map(batch => ({
          revision: batch.revision,
          events: batch.events.map(normalizeEvent),
        }));
    }

    override async listHosts() {
      const reply = await calls.read(CallKind.Hosts, {
        method: 'GET',
        path: '/v1/hosts',
        headers: baseHeaders,
        timeoutMs,
      });
      return reply
        .chain(received => checkReply(hostsReplySchema, received))
        .map(({hosts}) => hosts);
    }

    override isAvailable(): boolean {
      return calls.isHealthy();
    }

    override close(): Promise<void> {
      return http.close();
    }
  }

  /**
   * Turns a put whose value does not match its schema into a delete, since a
   * list leaves such objects out too. Otherwise the replaced value (perhaps a
   * key that is now withdrawn) would stay in use.
   */
  const normalizeEvent = (event: WatchEvent): WatchEvent => {
    if (event.type === 'delete') return event;
    const {kind, name, version} = event;
    return parseStored(kind, {
      name,
      version,
      value: event.value,
    })
      .map<WatchEvent>(object => ({...event, value: object.value}))
      .orDefault({type: 'delete', kind, name, version});
  };

  return new HttpPlatformStore();
}
