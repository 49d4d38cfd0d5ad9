/** The callers of a scenario: sends requests and records every answer. */
import {Agent, request as sendHttp} from 'undici';
import {createSystemClock} from '@siskinplank/foundation';

/** Header that upstreams record and that is unique for each request. */
export const MARKER_HEADER = 'x-proof-marker';
const RUN_STATE_HEADER = 'x-siskinplank-run-state';
const REQUEST_LIMIT_MS = 90_000;

/** A request to send. */
export interface CallInput {
  name?: string;
  /** Name of the entry host. */
  entry?: string;
  url: string;
  method: string;
  path: string;
  account?: string;
  key?: string;
  deadlineMs?: number;
  headers?: Record<string, string>;
  body?: unknown;
}

/** A request and its outcome at its caller. */
export interface CallRecord {
  marker: string;
  name: string | undefined;
  method: string;
  path: string;
  account: string | undefined;
  entry: string | undefined;
  deadlineMs: number | undefined;
  idempotencyKey: string | undefined;
  body: string;
  startedAtMs: number;
  endedAtMs: number | undefined;
  status: number | undefined;
  headers: Record<string, string>;
  text: string;
  /** Error of the connection; the answer is not whole. */
  error: string | undefined;
  /** Whether the caller cancelled the request. */
  isCancelled: boolean;
  cancel: () => void;
  done: Promise<void>;
}

/** Sends requests and keeps their records. */
export interface Caller {
  sendRequest(input: CallInput): CallRecord;
  listRecords(): readonly CallRecord[];
  /** The last request of that name. */
  findRecord(name: string): CallRecord | undefined;
  close(): Promise<void>;
}

/** Run state that the answer names, if any. */
export function getRunState(record: CallRecord): string | undefined {
  return record.headers[RUN_STATE_HEADER];
}

function toHeaderMap(
  headers: Record<string, string | string[] | undefined>,
): Record<string, string> {
  return Object.fromEntries(
    Object.entries(headers).map(([name, value]) => [
      name.toLowerCase(),
      [value ?? []].flat().join(', '),
    ]),
  );
}

async function runCall(
  record: CallRecord,
  input: CallInput,
  agent: Agent,
  signal: AbortSignal,
): Promise<void> {
  const clock = createSystemClock();
  try {
    const response = await sendHttp(`${input.url}${input.path}`, {
      method: input.method as 'POST',
      dispatcher: agent,
      signal,
      headersTimeout: REQUEST_LIMIT_MS,
      bodyTimeout: REQUEST_LIMIT_MS,
      headers: {
        ...(record.body === '' ? {} : {'content-type': 'application/json'}),
        ...(input.key === undefined
          ? {}
          : {authorization: `Bearer ${input.key}`}),
        ...input.headers,
        [MARKER_HEADER]: record.marker,
      },
      body: record.body === '' ? undefined : record.body,
    });
    record.status = response.statusCode;
    record.headers = toHeaderMap(response.headers);
    response.body.setEncoding('utf8');
    for await (const part of response.body) record.text += String(part);
  } catch (error) {
    record.error = error instanceof Error ? error.message : String(error);
  }
  record.endedAtMs = clock.getNowMs();
}

/** Creates the callers; `prefix` makes the markers unique. */
export function createCaller(prefix: string): Caller {
  // More connections than any scenario has open requests.
  const agent = new Agent({connections: 256, keepAliveTimeout: 60_000});
  const records: CallRecord[] = [];
  const clock = createSystemClock();
  return {
    sendRequest: input => {
      const abort = new AbortController();
      const {body = ''} = input;
      const record: CallRecord = {
        marker: `${prefix}-${records.length + 1}-end`,
        name: input.name,
        method: input.method,
        path: input.path,
        account: input.account,
        entry: input.entry,
        deadlineMs: input.deadlineMs,
        idempotencyKey: input.headers?.['idempotency-key'],
        body: typeof body === 'string' ? body : JSON.stringify(body),
        startedAtMs: clock.getNowMs(),
        endedAtMs: undefined,
        status: undefined,
        headers: {},
        text: '',
        error: undefined,
        isCancelled: false,
        cancel: () => {
          record.isCancelled = true;
          abort.abort();
        },
        done: Promise.resolve(),
      };
      records.push(record);
      record.done = runCall(record, input, agent, abort.signal);
      return record;
    },
    listRecords: () => records,
    findRecord: name => records.findLast(record => record.name === name),
    close: async () => {
      for (const record of records) {
        if (record.endedAtMs === undefined) record.cancel();
      }
      await agent.destroy();
    },
  };
}
