import {RequestKind} from '@siskinplank/serving';
import {beforeEach, describe, expect, it} from 'vitest';
import {makeHead} from './testing/response-head';
import {NOT_RUN_STATUS, createSessionBench} from './testing/session-bench';
import type {SessionBench} from './testing/session-bench';

const EVENT = 'id: 1\ndata: x\n\n';
/** Silence after which requests fail over. */
const SILENT_MS = 2_000;
/** Longer than the delay before an upstream that rejected is asked again. */
const RESEND_MS = 200;

describe('session with several attempts', () => {
  let bench: SessionBench;

  beforeEach(() => {
    bench = createSessionBench();
  });

  const runSilent = async (): Promise<void> => {
    await bench.clock.runFor(SILENT_MS);
    bench.session.checkProgress(bench.clock.getNowMs());
  };

  /** Lets the first upstream go on, but not with the event of the stream. */
  const goOnInsideEvent = (): void =>
    bench.exchanges[0].observer.onData(Buffer.from('id: 2\n'));

  const connectFailover = async (maxAttempts: number): Promise<void> => {
    bench.startSession(RequestKind.Stream, maxAttempts);
    bench.answer(0, makeHead(200), EVENT);
    await runSilent();
    expect(bench.exchanges.length).toBe(2);
  };

  const failOver = async (maxAttempts: number): Promise<void> => {
    await connectFailover(maxAttempts);
    bench.exchanges[1].observer.onSend();
  };

  const reject = (index: number): void => {
    bench.exchanges[index].observer.onSend();
    bench.exchanges[index].observer.onHead(makeHead(NOT_RUN_STATUS, 0), false);
    bench.exchanges[index].observer.onEnd();
  };

  // Both upstreams pause. The first one goes on with other requests (here: with
  // a part of an event) before the other one sends its event.
  it('ends the first attempt when its upstream had gone on before the other one', async () => {
    await failOver(3);
    await bench.clock.runFor(SILENT_MS);
    goOnInsideEvent();
    bench.session.checkProgress(bench.clock.getNowMs());
    bench.answer(1, makeHead(200), EVENT);
    expect(bench.exchanges[0].isCancelled).toBe(true);
    bench.exchanges[0].observer.onData(Buffer.from('data: x\n\n'));
    expect(bench.received).toBe(`200 ${EVENT}${EVENT}`);
  });

  it('sends the caller nothing of the first attempt after the end', async () => {
    await failOver(3);
    await bench.clock.runFor(SILENT_MS);
    goOnInsideEvent();
    bench.session.checkProgress(bench.clock.getNowMs());
    bench.answer(1, makeHead(200), EVENT);
    bench.exchanges[1].observer.onEnd();
    bench.exchanges[0].observer.onData(Buffer.from('data: x\n\n'));
    expect(bench.received).toBe(`200 ${EVENT}${EVENT}end`);
  });

  it('ends the other attempt when the caller leaves after the first one broke off', async () => {
    await failOver(3);
    await bench.clock.runFor(SILENT_MS);
    goOnInsideEvent();
    bench.session.checkProgress(bench.clock.getNowMs());
    bench.breakOff(0);
    bench.session.abandon();
    expect(bench.exchanges[1].isCancelled).toBe(true);
  });

  it('keeps an attempt at a second silent upstream when there is no third one', async () => {
    bench.versions = {'u-3': 'v2'};
    await failOver(3);
    await runSilent();
    expect(bench.exchanges.length).toBe(2);
    expect(bench.exchanges[1].isCancelled).toBe(false);
  });

  it('keeps an attempt at a second silent upstream until a third one goes on', async () => {
    await failOver(3);
    await runSilent();
    expect(bench.exchanges.length).toBe(3);
    reject(2);
    expect(bench.exchanges[1].isCancelled).toBe(false);
    bench.answer(1, makeHead(200), EVENT);
    bench.exchanges[1].observer.onEnd();
    expect(bench.received).toBe(`200 ${EVENT}${EVENT}end`);
  });

  // The retry of the failover is spent, and its connection is being made.
  it('keeps a failover that was not sent yet when the first upstream breaks off', async () => {
    bench.retriesLeft = 1;
    await connectFailover(2);
    bench.breakOff(0);
    expect(bench.wasAborted).toBe(false);
    bench.answer(1, makeHead(200), EVENT);
    bench.exchanges[1].observer.onEnd();
    expect(bench.received).toBe(`200 ${EVENT}${EVENT}end`);
  });

  // The upstream pauses, goes on and ends later. The other one has not begun to
  // run the request.
  it('does not lose a stream whose upstream breaks off after its failover was given up', async () => {
    await failOver(2);
    bench.exchanges[0].observer.onData(Buffer.from(EVENT));
    expect(bench.exchanges[1].isCancelled).toBe(true);
    bench.breakOff(0);
    await bench.clock.runFor(RESEND_MS);
    expect(bench.wasAborted).toBe(false);
    expect(bench.exchanges).toHaveLength(3);
  });

  it('does not lose a stream whose first upstream broke off before its failover was rejected', async () => {
    await failOver(2);
    bench.breakOff(0);
    reject(1);
    await bench.clock.runFor(RESEND_MS);
    reject(2);
    await bench.clock.runFor(RESEND_MS);
    expect(bench.wasAborted).toBe(false);
  });

  it('does not lose a stream whose first upstream broke off after its failover was rejected', async () => {
    await failOver(2);
    reject(1);
    bench.session.checkProgress(bench.clock.getNowMs());
    reject(2);
    bench.breakOff(0);
    await bench.clock.runFor(RESEND_MS);
    expect(bench.wasAborted).toBe(false);
  });

  it.each([
    ['a request', RequestKind.Repeatable, 200],
    ['a stream', RequestKind.Stream, 404],
  ])(
    'does not lose %s whose failover breaks off after its head',
    async (_, kind, status) => {
      bench.retriesLeft = 1;
      bench.startSession(kind, 2);
      bench.exchanges[0].observer.onSend();
      await runSilent();
      bench.exchanges[1].observer.onSend();
      bench.exchanges[1].observer.onHead(makeHead(status, 1), false);
      bench.breakOff(1);
      bench.exchanges[0].observer.onHead(makeHead(200, EVENT.length), false);
      bench.exchanges[0].observer.onData(Buffer.from(EVENT));
      bench.exchanges[0].observer.onEnd();
      expect(bench.received).toContain(`200 ${EVENT}`);
    },
  );
});
