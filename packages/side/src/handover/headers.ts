/** Filters headers between callers and upstreams. */

/** Headers with credentials of the caller; never sent to an upstream. */
const CREDENTIAL_HEADERS = [
  'authorization',
  'x-api-key',
  'api-key',
  'cookie',
  'proxy-authorization',
];

/** Hop-by-hop headers (RFC 9110, section 7.6.1). */
const CONNECTION_HEADERS = [
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
];

const DROPPED_REQUEST_HEADERS = new Set([
  ...CREDENTIAL_HEADERS,
  ...CONNECTION_HEADERS,
  'host',
  'content-length',
  'traceparent',
]);
const DROPPED_RESPONSE_HEADERS = new Set(CONNECTION_HEADERS);

/** Parses the Connection header; the headers that it names are hop-by-hop. */
function listNamedHeaders(value: string | undefined): ReadonlySet<string> {
  const names = (value ?? '').split(',').map(name => name.trim().toLowerCase());
  return new Set(names);
}

/** Returns the request headers that may be sent to an upstream. */
export function filterRequestHeaders(
  headers: Readonly<Record<string, string>>,
): Record<string, string> {
  const lowered = Object.entries(headers).map(
    ([name, value]) => [name.trim().toLowerCase(), value] as const,
  );
  const connection = lowered.find(([name]) => name === 'connection')?.[1];
  const named = listNamedHeaders(connection);
  return Object.fromEntries(
    lowered.filter(
      ([name]) => !DROPPED_REQUEST_HEADERS.has(name) && !named.has(name),
    ),
  );
}

/** Returns the response headers for the caller; lists are joined. */
export function filterResponseHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string> {
  const kept: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    const lowered = name.toLowerCase();
    if (value === undefined || DROPPED_RESPONSE_HEADERS.has(lowered)) continue;
    kept[lowered] = Array.isArray(value) ? value.join(', ') : value;
  }
  return kept;
}
