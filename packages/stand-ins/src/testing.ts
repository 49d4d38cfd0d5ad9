/** Helpers of the stand-ins' tests. */
import type {LogEntry, StandIn} from './control';
import {getMonotonicMs, waitMs} from './control';

/** Decoded JSON; tests compare it with what they expect. */
type JsonValue = ReturnType<typeof JSON.parse>;

const WAIT_LIMIT_MS = 10_000;
const POLL_MS = 5;

/** Polls until `check` is true; rejects after ten seconds. */
export async function waitFor(
  what: string,
  check: () => boolean | Promise<boolean>,
): Promise<void> {
  const deadlineMs = getMonotonicMs() + WAIT_LIMIT_MS;
  while (!(await check())) {
    if (getMonotonicMs() > deadlineMs) {
      return Promise.reject(new Error(`timed out: ${what}`));
    }
    await waitMs(POLL_MS);
  }
}

/** Sends a JSON request and reads a JSON response. */
export async function requestJson(
  standIn: StandIn,
  method: string,
  path: string,
  body?: unknown,
  headers: Record<string, string> = {},
): Promise<{status: number; body: JsonValue}> {
  const response = await fetch(`http://127.0.0.1:${standIn.port}${path}`, {
    method,
    headers:
      body === undefined
        ? headers
        : {'content-type': 'application/json', ...headers},
    body: body === undefined ? undefined : JSON.stringify(body),
  });
  const text = await response.text();
  return {
    status: response.status,
    body: text === '' ? undefined : JSON.parse(text),
  };
}

/** Sends a fault command and checks that it was accepted. */
export async function sendFault(
  standIn: StandIn,
  fault: object,
): Promise<void> {
  const {status, body} = await requestJson(
    standIn,
    'POST',
    '/control/faults',
    fault,
  );
  if (status !== 200) await Promise.reject(new Error(JSON.stringify(body)));
}

/** Reads the log entries of one type. */
export async function listLog(
  standIn: StandIn,
  type: string,
): Promise<LogEntry[]> {
  const {body} = await requestJson(standIn, 'GET', '/control/log');
  return (body.entries as LogEntry[]).filter(entry => entry.type === type);
}
