/** Parses heads of HTTP/1.1 responses (RFC 9112). */
import {isFinalStatus, isInterimStatus} from '@siskinplank/foundation';
import {Either, Left, Right} from 'purify-ts';

/** Status line and headers of a response. */
export interface ResponseHead {
  status: number;
  reason: string;
  /** Alternating names and values, as sent. */
  rawHeaders: readonly string[];
  /** Values by lower-case name; repeated headers are joined by a comma. */
  headers: ReadonlyMap<string, string>;
  /** Whether the connection may serve another request afterwards. */
  keepsAlive: boolean;
  /** Content-Length; undefined when the header is absent. */
  contentLength: number | undefined;
}

const MAX_HEADERS = 256;
const CRLF = '\r\n';
const STATUS_LINE = /^HTTP\/1\.([01]) (\d{3})(?: (.*))?$/;
/** A field value or reason phrase, which Node.js also checks when writing. */
const FIELD_TEXT = /^[\t\x20-\x7e\x80-\xff]*$/;
const HEADER_NAME = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
const DECIMAL = /^\d{1,15}$/;

/** A head and how its body is framed. */
export interface ParsedHead {
  head: ResponseHead;
  isChunked: boolean;
}

function parseHeaderLines(
  lines: readonly string[],
): Either<string, {rawHeaders: string[]; headers: Map<string, string>}> {
  const rawHeaders: string[] = [];
  const headers = new Map<string, string>();
  for (const line of lines) {
    const colon = line.indexOf(':');
    const name = line.slice(0, Math.max(colon, 0));
    if (!HEADER_NAME.test(name)) return Left('malformed header line');
    const value = line.slice(colon + 1).trim();
    if (!FIELD_TEXT.test(value)) return Left('malformed header value');
    rawHeaders.push(name, value);
    const key = name.toLowerCase();
    const former = headers.get(key);
    if (former !== undefined && key === 'content-length') {
      if (former !== value) return Left('two content lengths');
      continue;
    }
    headers.set(key, former === undefined ? value : `${former}, ${value}`);
  }
  return Right({rawHeaders, headers});
}

/** Parses a head without the blank line at its end. */
export function parseHead(text: string): Either<string, ParsedHead> {
  const lines = text.split(CRLF);
  if (lines.length > MAX_HEADERS + 1) return Left('head has too many headers');
  const match = STATUS_LINE.exec(lines[0]);
  if (match === null) return Left('malformed status line');
  const [, minor, digits, reason = ''] = match;
  const status = Number(digits);
  if (!isFinalStatus(status) && !isInterimStatus(status)) {
    return Left(`malformed status ${digits}`);
  }
  if (!FIELD_TEXT.test(reason)) return Left('malformed reason phrase');
  return parseHeaderLines(lines.slice(1)).chain(({rawHeaders, headers}) => {
    const coding = headers.get('transfer-encoding');
    const length = headers.get('content-length');
    if (coding !== undefined && coding.trim().toLowerCase() !== 'chunked') {
      return Left('unknown transfer coding');
    }
    if (coding !== undefined && length !== undefined) {
      return Left('both a length and a transfer coding');
    }
    if (length !== undefined && !DECIMAL.test(length)) {
      return Left('malformed content length');
    }
    const options = (headers.get('connection') ?? '')
      .toLowerCase()
      .split(',')
      .map(option => option.trim());
    const keepsAlive =
      minor === '1'
        ? !options.includes('close')
        : options.includes('keep-alive');
    return Right({
      isChunked: coding !== undefined,
      head: {
        status,
        reason,
        rawHeaders,
        headers,
        keepsAlive,
        contentLength: length === undefined ? undefined : Number(length),
      },
    });
  });
}

/** Whether a response with this status has no body, whatever its headers. */
export function hasNoBody(status: number, isHeadRequest: boolean): boolean {
  return isHeadRequest || status === 204 || status === 304;
}
