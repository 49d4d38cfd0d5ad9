/** Waits until a process answers that it is ready. */
import {createSystemClock} from '@siskinplank/foundation';
import {request} from 'undici';
import type {ManagedProcess} from './managed-process';

const POLL_MS = 50;
const PROBE_TIMEOUT_MS = 1_000;
const HTTP_OK = 200;
const SHOWN_LINES = 20;

async function probeReady(url: string): Promise<string> {
  try {
    const response = await request(`${url}/readyz`, {
      headersTimeout: PROBE_TIMEOUT_MS,
      bodyTimeout: PROBE_TIMEOUT_MS,
    });
    const text = await response.body.text();
    return response.statusCode === HTTP_OK
      ? ''
      : `${response.statusCode} ${text}`;
  } catch (error) {
    return String(error);
  }
}

/** Rejects with the last log lines when the process ends or time runs out. */
export async function waitForReadyUrl(
  url: string,
  managed: ManagedProcess,
  timeoutMs: number,
): Promise<void> {
  const clock = createSystemClock();
  const deadlineMs = clock.getNowMs() + timeoutMs;
  for (;;) {
    const reason = await probeReady(url);
    if (reason === '') return;
    const isLate = clock.getNowMs() > deadlineMs;
    if (isLate || !managed.isRunning()) {
      const lines = managed.listLines().slice(-SHOWN_LINES).join('\n');
      const state = managed.isRunning() ? 'running' : 'ended';
      const text = `${managed.name} (${state}) is not ready: ${reason}`;
      return Promise.reject(new Error(`${text}\n${lines}`));
    }
    await clock.waitMs(POLL_MS);
  }
}
