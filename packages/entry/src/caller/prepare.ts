/** Checks an HTTP request and converts it to a caller request or a refusal. */
import {Either, Left, Right} from 'purify-ts';
import type {ConfigurationView} from '@siskinplank/configuration';
import {SpanSide} from '@siskinplank/foundation';
import type {Clock, HopSpan, Tracing} from '@siskinplank/foundation';
import {TargetType} from '@siskinplank/messages';
import {RefusalCode, RouteAccess} from '@siskinplank/resources';
import {hashPromptPrefixes} from '@siskinplank/routing';
import type {EntrySettings} from '@siskinplank/settings';
import {estimateTokens} from '../admission/estimate';
import {authenticateCaller} from '../authentication/authenticate';
import type {CallerIdentity} from '../authentication/authenticate';
import {hasKey, hasKeyInBody} from '../authentication/secrets';
import {makeRefusal} from '../refusals';
import type {Refusal} from '../refusals';
import type {CallerRequest} from '../requests/types';
import {parseCompletionBody} from './completion-body';
import type {CompletionType} from './completion-body';
import {
  hasRepeatedAuthorization,
  parseCallerOptions,
  selectRequestHeaders,
} from './headers';
import type {CallerOptions, HeaderMap} from './headers';
import {resolveModel} from './models';
import type {RouteTable} from './route-table';

/** An HTTP request as received. */
export interface RawRequest {
  requestId: string;
  method: string;
  url: string;
  headers: HeaderMap;
  rawHeaders: readonly string[];
  body: Uint8Array<ArrayBuffer>;
  /** When the head arrived; deadlines count from it. */
  arrivedAtMs: number;
}

/** A checked request and its trace span. */
export interface PreparedRequest {
  request: CallerRequest;
  span: HopSpan;
}

/** Dependencies of the preparer. */
export interface PrepareDependencies {
  settings: EntrySettings;
  clock: Clock;
  tracing: Tracing;
  configuration: ConfigurationView;
  routes: RouteTable;
  hashKey: Uint8Array;
}

/** Checks the requests of callers and prepares them for execution. */
export interface RequestPreparer {
  /** Checks the key of a request. */
  authenticate(raw: RawRequest): Either<Refusal, CallerIdentity>;
  prepareCompletion(
    type: CompletionType,
    raw: RawRequest,
  ): Either<Refusal, PreparedRequest>;
  prepareRoute(raw: RawRequest): Either<Refusal, PreparedRequest>;
}

const JSON_TYPE_PATTERN = /^application\/json\s*(;|$)/i;

/** Creates the preparer. */
export function createRequestPreparer(
  deps: PrepareDependencies,
): RequestPreparer {
  const {clock, configuration} = deps;

  const authenticate = (raw: RawRequest): Either<Refusal, CallerIdentity> => {
    if (hasRepeatedAuthorization(raw.rawHeaders)) {
      return Left(
        makeRefusal(
          RefusalCode.InvalidRequest,
          'Header authorization occurs more than once.',
          {param: 'authorization'},
        ),
      );
    }
    const value = raw.headers['authorization'];
    return authenticateCaller(
      typeof value === 'string' ? value : undefined,
      configuration,
      deps.hashKey,
      {nowMs: clock.getNowMs(), wallMs: clock.getWallMs()},
    );
  };

  const checkNoKey = (raw: RawRequest): Either<Refusal, void> => {
    if (hasKey(raw.url)) return refuseMisplacedKey('path or query');
    if (hasKeyInBody(raw.body)) return refuseMisplacedKey('body');
    return Right(undefined);
  };

  const parseOptions = (raw: RawRequest): Either<Refusal, CallerOptions> =>
    parseCallerOptions(raw.headers, deps.settings.caller);

  const buildPreparedRequest = (
    raw: RawRequest,
    options: CallerOptions,
    rest: Pick<
      CallerRequest,
      'identity' | 'target' | 'estimatedTokens' | 'idempotent' | 'prefixHashes'
    >,
  ): PreparedRequest => {
    const span = deps.tracing.startSpan(
      'entry.request',
      SpanSide.Server,
      options.traceparent,
    );
    span.setAttribute('request.id', raw.requestId);
    return {
      span,
      request: {
        ...rest,
        requestId: raw.requestId,
        method: raw.method,
        path: raw.url,
        headers: selectRequestHeaders(raw.headers),
        body: raw.body,
        priority: options.priority,
        deadlineAtMs: raw.arrivedAtMs + options.deadlineMs,
        idempotencyKey: options.idempotencyKey,
        traceparent: span.traceparent,
      },
    };
  };

  return {
    authenticate,
    prepareCompletion: (type, raw) =>
      authenticate(raw).chain(identity =>
        checkNoKey(raw)
          .chain(() => checkJsonType(raw.headers))
          .chain(() => parseOptions(raw))
          .chain(options =>
            parseCompletionBody(type, raw.body).chain(body =>
              resolveModel(body.model, identity.account, configuration).map(
                ({model, adapter}) =>
                  buildPreparedRequest(raw, options, {
                    identity,
                    target: {
                      type: TargetType.Model,
                      model: model.name,
                      ...(adapter === undefined ? {} : {adapter}),
                    },
                    estimatedTokens: estimateTokens(body, model),
                    idempotent: true,
                    prefixHashes: hashPromptPrefixes(body.model, body.prompt),
                  }),
              ),
            ),
          ),
      ),
    prepareRoute: raw =>
      deps.routes.findRoute(raw.method, raw.url).chain(route => {
        const identity: Either<Refusal, CallerIdentity | undefined> =
          route.access === RouteAccess.Open
            ? Right(undefined)
            : authenticate(raw);
        return identity.chain(caller =>
          checkNoKey(raw)
            .chain(() => parseOptions(raw))
            .map(options =>
              buildPreparedRequest(raw, options, {
                identity: caller,
                target: {type: TargetType.Route, route: route.name},
                estimatedTokens: route.costTokens,
                idempotent: route.idempotent,
                prefixHashes: [],
              }),
            ),
        );
      }),
  };
}

function checkJsonType(headers: HeaderMap): Either<Refusal, void> {
  const value = headers['content-type'];
  if (typeof value === 'string' && JSON_TYPE_PATTERN.test(value)) {
    return Right(undefined);
  }
  return Left(
    makeRefusal(
      RefusalCode.InvalidRequest,
      'Header content-type must be application/json.',
      {status: 415, param: 'content-type'},
    ),
  );
}

function refuseMisplacedKey(place: string): Either<Refusal, never> {
  return Left(
    makeRefusal(
      RefusalCode.InvalidRequest,
      `The ${place} contains an API key; send it in the Authorization header only.`,
    ),
  );
}
