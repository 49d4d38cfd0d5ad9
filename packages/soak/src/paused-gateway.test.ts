import {CallKind} from '@siskinplank/platform-stand-ins';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {DEADLINE_SLACK_MS} from './checks/bounds';
import {CALM_MS, startSingleGateway, wait} from './testing/single-gateway';
import type {SingleGateway} from './testing/single-gateway';

const DEADLINE_MS = 6_000;
const PAUSE_MS = 1_500;

describe('gateway that was paused', () => {
  let single: SingleGateway;

  beforeAll(async () => {
    single = await startSingleGateway({
      timeoutMs: 10_000,
      // Requests that waited for half of this are refused.
      targetMs: PAUSE_MS * 4,
      deadlineMs: DEADLINE_MS,
    });
  }, 60_000);

  afterAll(() => single.close());

  const runWhilePaused = async (action: () => Promise<void>): Promise<void> => {
    single.gateway.send('SIGSTOP');
    await wait(CALM_MS);
    await action();
    await wait(PAUSE_MS);
    single.gateway.send('SIGCONT');
    await wait(CALM_MS);
  };

  it('does not send a request whose caller left meanwhile', async () => {
    await runWhilePaused(async () => {
      const {caller} = single.sendRequest('left', CallKind.Status);
      await wait(50);
      caller.close();
    });
    const ids = single.runs.map(({attemptId}) => attemptId);
    expect(ids).not.toContain('left');
  });

  // The event loop accepts one connection in each of its turns.
  it('counts the deadlines of requests from their arrival', async () => {
    const sentAtMs = new Map<string, number>();
    await runWhilePaused(async () => {
      for (let index = 0; index < 6; index += 1) {
        const id = `waited-${index}`;
        sentAtMs.set(id, single.sendRequest(id, CallKind.Status).sentAtMs);
      }
    });
    const waited = single.runs.filter(run => sentAtMs.has(run.attemptId));
    expect(waited).toHaveLength(sentAtMs.size);
    for (const {attemptId, atMs, deadlineMs} of waited) {
      const leftMs = (sentAtMs.get(attemptId) ?? 0) + DEADLINE_MS - atMs;
      expect(deadlineMs).toBeLessThanOrEqual(leftMs + DEADLINE_SLACK_MS);
    }
  });
}, 60_000);
