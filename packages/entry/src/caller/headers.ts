/** Parses the caller's request headers and selects those to forward. */
import {Either, Left, Right} from 'purify-ts';
import {PriorityClass, RefusalCode} from '@siskinplank/resources';
import {hasKey} from '../authentication/secrets';
import {makeRefusal} from '../refusals';
import type {Refusal} from '../refusals';

/** Headers as Node.js parses them, with lower-case names. */
export type HeaderMap = Readonly<
  Record<string, string | readonly string[] | undefined>
>;

/** Options of a request that the caller sets by headers. */
export interface CallerOptions {
  deadlineMs: number;
  priority: PriorityClass;
  idempotencyKey: string | undefined;
  traceparent: string | undefined;
}

const DEADLINE_HEADER = 'x-siskinplank-deadline-ms';
const PRIORITY_HEADER = 'x-siskinplank-priority';
const IDEMPOTENCY_HEADER = 'idempotency-key';
const AUTHORIZATION_HEADER = 'authorization';

const TRACEPARENT_PATTERN =
  /^[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}/;
const DEADLINE_PATTERN = /^[0-9]{1,9}$/;
/** 1 to 255 printable ASCII characters, without a space at either end. */
const IDEMPOTENCY_PATTERN = /^[\x21-\x7e]([\x20-\x7e]{0,253}[\x21-\x7e])?$/;

/** Hop-by-hop headers, credentials, and headers that this system sets. */
const DROPPED_REQUEST_HEADERS: ReadonlySet<string> = new Set([
  'authorization',
  'proxy-authorization',
  'cookie',
  'x-api-key',
  'api-key',
  'connection',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
  'host',
  'content-length',
  'accept-encoding',
  'traceparent',
  'tracestate',
  'x-request-id',
  'x-priority',
  'x-account-tag',
]);

/** Hop-by-hop headers and headers that this process sets itself. */
const DROPPED_RESPONSE_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'content-length',
  'x-request-id',
]);

const RESERVED_HEADER_PREFIX = 'x-siskinplank-';

/**
 * Whether the authorization header occurs more than once in `raw`, which
 * alternates names and values as `rawHeaders` of Node.js does.
 */
export function hasRepeatedAuthorization(raw: readonly string[]): boolean {
  let count = 0;
  for (let index = 0; index < raw.length; index += 2) {
    if (raw[index].toLowerCase() === AUTHORIZATION_HEADER) count += 1;
  }
  return count > 1;
}

/**
 * Parses deadline, priority, idempotency key and trace context. A deadline
 * above the limit is lowered to it, and a malformed trace context is ignored.
 * Other malformed values are refused with `InvalidRequest`.
 */
export function parseCallerOptions(
  headers: HeaderMap,
  limits: {defaultDeadlineMs: number; maxDeadlineMs: number},
): Either<Refusal, CallerOptions> {
  const deadline = getHeader(headers, DEADLINE_HEADER);
  if (deadline !== undefined && !isPositiveInteger(deadline)) {
    return refuseHeader(DEADLINE_HEADER, 'a positive number of milliseconds');
  }
  const priority = getHeader(headers, PRIORITY_HEADER);
  const classes: readonly string[] = Object.values(PriorityClass);
  if (priority !== undefined && !classes.includes(priority)) {
    return refuseHeader(PRIORITY_HEADER, classes.join(' or '));
  }
  const idempotencyKey = getHeader(headers, IDEMPOTENCY_HEADER);
  if (
    idempotencyKey !== undefined &&
    !IDEMPOTENCY_PATTERN.test(idempotencyKey)
  ) {
    return refuseHeader(
      IDEMPOTENCY_HEADER,
      '1 to 255 printable ASCII characters',
    );
  }
  if (idempotencyKey !== undefined && hasKey(idempotencyKey)) {
    return refuseHeader(IDEMPOTENCY_HEADER, 'a value other than an API key');
  }
  const traceparent = getHeader(headers, 'traceparent');
  const hasValidTraceparent =
    traceparent !== undefined && TRACEPARENT_PATTERN.test(traceparent);
  return Right({
    deadlineMs: Math.min(
      deadline === undefined ? limits.defaultDeadlineMs : Number(deadline),
      limits.maxDeadlineMs,
    ),
    priority: (priority as PriorityClass) ?? PriorityClass.Awaited,
    idempotencyKey,
    traceparent: hasValidTraceparent ? traceparent : undefined,
  });
}

/** Selects the request headers to forward to an upstream; no credentials. */
export function selectRequestHeaders(
  headers: HeaderMap,
): Record<string, string> {
  const selected: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined) continue;
    if (DROPPED_REQUEST_HEADERS.has(name)) continue;
    if (name.startsWith(RESERVED_HEADER_PREFIX)) continue;
    const text = typeof value === 'string' ? value : value.join(', ');
    if (hasKey(text) || hasKey(name)) continue;
    selected[name] = text;
  }
  return selected;
}

/** Selects the headers of an upstream's response to send to the caller. */
export function selectResponseHeaders(
  headers: Readonly<Record<string, string>>,
): Record<string, string> {
  const selected: Record<string, string> = {};
  for (const [rawName, value] of Object.entries(headers)) {
    const name = rawName.toLowerCase();
    if (DROPPED_RESPONSE_HEADERS.has(name)) continue;
    if (name.startsWith(RESERVED_HEADER_PREFIX)) continue;
    if (!isValidHeader(name, value)) continue;
    selected[name] = value;
  }
  return selected;
}

function isValidHeader(name: string, value: string): boolean {
  // Node.js throws an exception on other names and values.
  return (
    /^[!#$%&'*+.^_`|~0-9a-z-]+$/.test(name) &&
    /^[\t\x20-\x7e\x80-\xff]*$/.test(value)
  );
}

function getHeader(headers: HeaderMap, name: string): string | undefined {
  const value = headers[name];
  return typeof value === 'string' || value === undefined
    ? value
    : value.join(', ');
}

function isPositiveInteger(text: string): boolean {
  return DEADLINE_PATTERN.test(text) && Number(text) > 0;
}

function refuseHeader(name: string, expected: string): Either<Refusal, never> {
  return Left(
    makeRefusal(
      RefusalCode.InvalidRequest,
      `Header ${name} must be ${expected}.`,
      {param: name},
    ),
  );
}
