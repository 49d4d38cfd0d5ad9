/** Requests under idempotency claims. */
import {afterEach, describe, expect, it} from 'vitest';
import {ClaimOutcomeType} from '@siskinplank/claims';
import type {ClaimOutcome} from '@siskinplank/claims';
import {MessageType} from '@siskinplank/messages';
import {RefusalCode, RunState} from '@siskinplank/resources';
import {makeReplyScript, startHarness} from '../testing/harness';
import type {Harness} from '../testing/harness';

describe('claimed requests', () => {
  let harness: Harness;
  afterEach(() => harness.entry.stop());

  const sendRequest = () =>
    fetch(`${harness.baseUrl}/orders/17`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${harness.key}`,
        'idempotency-key': 'order-17',
      },
      body: 'two plates',
    });

  // Guards against a response that is sent but not recorded.
  it('records the response of a claimed request', async () => {
    harness = await startHarness(makeReplyScript(['ordered']));
    expect(await (await sendRequest()).text()).toBe('ordered');
    expect(harness.claims.calls).toEqual(['acquire plaksne', 'complete 200']);
  });

  // Guards against a claim that stays held although the request did not run,
  // and against a second run of a request that may have run.
  it('releases the claim only if the request did not run', async () => {
    for (const runState of [RunState.NotRun, RunState.Unknown]) {
      harness = await startHarness((message, reply) => {
        if (message.type !== MessageType.RequestOpen) return;
        reply({
          type: MessageType.Refused,
          attemptId: message.attemptId,
          code: RefusalCode.Overloaded,
          runState,
          message: 'the queue is full',
        });
      });
      const response = await sendRequest();
      expect(response.headers.get('x-siskinplank-run-state')).toBe(runState);
      const isNotRun = runState === RunState.NotRun;
      expect(harness.claims.calls[1]).toBe(isNotRun ? 'release' : 'unknown');
      if (isNotRun) await harness.entry.stop();
    }
  });

  // Guards against running a request without holding its claim, and against a
  // wrong run state in the refusal.
  it('does not run a request whose claim was not acquired', async () => {
    harness = await startHarness(makeReplyScript(['ordered']));
    const cases: Array<[ClaimOutcome['type'], number, RefusalCode, string]> = [
      [
        ClaimOutcomeType.InProgress,
        409,
        RefusalCode.ClaimInProgress,
        'unknown',
      ],
      [
        ClaimOutcomeType.BodyMismatch,
        422,
        RefusalCode.ClaimMismatch,
        'not-run',
      ],
      [
        ClaimOutcomeType.Unresolved,
        409,
        RefusalCode.ClaimUnresolved,
        'unknown',
      ],
      [
        ClaimOutcomeType.RanWithoutResponse,
        409,
        RefusalCode.ClaimUnresolved,
        'ran',
      ],
      [
        ClaimOutcomeType.PlatformUnavailable,
        503,
        RefusalCode.PlatformUnavailable,
        'not-run',
      ],
    ];
    for (const [type, status, code, runState] of cases) {
      harness.claims.outcome = {type} as ClaimOutcome;
      const response = await sendRequest();
      expect(response.status).toBe(status);
      expect(await response.json()).toMatchObject({
        error: {code},
        run_state: runState,
      });
    }
    harness.claims.outcome = {
      type: ClaimOutcomeType.Replay,
      response: {
        status: 201,
        contentType: 'text/plain',
        body: new TextEncoder().encode('ordered before'),
      },
    };
    const replayed = await sendRequest();
    expect(replayed.status).toBe(201);
    expect(replayed.headers.get('x-siskinplank-replayed')).toBe('true');
    expect(await replayed.text()).toBe('ordered before');
    expect(harness.sides[0].listOpens()).toHaveLength(0);
  });
});
