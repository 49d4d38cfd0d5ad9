import {ExchangeFailureCode} from '@siskinplank/http-exchange';
import {RequestKind} from '@siskinplank/serving';
import {beforeEach, describe, expect, it} from 'vitest';
import {RefusalCode} from './refusals';
import {makeHead} from './testing/response-head';
import {createSessionBench} from './testing/session-bench';
import type {SessionBench} from './testing/session-bench';

const EVENT = 'id: 1\ndata: x\n\n';
/** Silence after which requests fail over. */
const SILENT_MS = 2_000;

describe('session of a stream before two software versions', () => {
  let bench: SessionBench;

  beforeEach(() => {
    bench = createSessionBench();
  });

  // Guards against streams joined from two versions within one response.
  it('resumes an event stream only at the version that began it', () => {
    bench.versions = {'u-1': 'v1', 'u-2': 'v2', 'u-3': 'v1'};
    bench.startSession(RequestKind.Stream);
    bench.answer(0, makeHead(200), EVENT);
    bench.breakOff(0);
    bench.answer(1, makeHead(200), EVENT);
    bench.exchanges[1].observer.onEnd();
    expect(bench.outcome).toMatchObject({
      upstreamId: 'u-3',
      softwareVersion: 'v1',
    });
    expect(bench.begunBy).toEqual(['v1']);
  });

  describe('when no other upstream has its version', () => {
    const failToConnect = (index: number): void =>
      bench.exchanges[index].observer.onFailure({
        code: ExchangeFailureCode.NotConnected,
        reason: 'refused',
        wasReused: false,
      });

    beforeEach(() => {
      bench.versions = {'u-1': 'v1', 'u-2': 'v2', 'u-3': 'v2'};
      bench.startSession(RequestKind.Stream);
      bench.answer(0, makeHead(200), EVENT);
      bench.breakOff(0);
    });

    // Guards against streams lost with a reset connection of a sound upstream.
    it('resumes an event stream at its upstream by a new connection', () => {
      expect(bench.exchanges[1]).toMatchObject({
        key: bench.exchanges[0].key,
        needsNewConnection: true,
      });
      bench.answer(1, makeHead(200), EVENT);
      bench.exchanges[1].observer.onEnd();
      expect(bench.received).toBe(`200 ${EVENT}${EVENT}end`);
      expect(bench.begunBy).toEqual(['v1']);
    });

    it('breaks an event stream off whose upstream is unreachable', () => {
      failToConnect(1);
      expect(bench.exchanges.map(({key}) => key)).toEqual(
        Array(2).fill(bench.exchanges[0].key),
      );
      expect(bench.wasAborted).toBe(true);
    });

    it('breaks an event stream off whose attempts are used up', () => {
      for (const index of [1, 2]) {
        bench.answer(index, makeHead(200), EVENT);
        bench.breakOff(index);
      }
      expect(bench.exchanges.map(({key}) => key)).toEqual(
        Array(3).fill(bench.exchanges[0].key),
      );
      expect(bench.wasAborted).toBe(true);
    });
  });

  it('tries upstreams of any version until the first event', () => {
    bench.versions = {'u-1': 'v1', 'u-2': 'v2'};
    bench.startSession(RequestKind.Stream);
    bench.exchanges[0].observer.onSend();
    bench.breakOff(0);
    bench.answer(1, makeHead(200), EVENT);
    bench.exchanges[1].observer.onEnd();
    expect(bench.outcome).toMatchObject({
      upstreamId: 'u-2',
      softwareVersion: 'v2',
    });
  });

  it('tries only the version that began the stream that its caller resumes', () => {
    bench.versions = {'u-1': 'v1', 'u-2': 'v2', 'u-3': 'v1'};
    bench.resumedVersion = 'v2';
    bench.startSession(RequestKind.Stream);
    bench.exchanges[0].observer.onSend();
    bench.breakOff(0);
    expect(bench.exchanges.length).toBe(1);
    expect(bench.received).toBe(RefusalCode.OutcomeUnknown);
  });

  it('fails a begun stream over only to the version that began it', async () => {
    bench.versions = {'u-1': 'v1', 'u-2': 'v2', 'u-3': 'v1'};
    bench.startSession(RequestKind.Stream);
    bench.answer(0, makeHead(200), EVENT);
    await bench.clock.runFor(SILENT_MS);
    bench.session.checkProgress(bench.clock.getNowMs());
    bench.answer(1, makeHead(200), EVENT);
    bench.exchanges[1].observer.onEnd();
    expect(bench.outcome).toMatchObject({
      upstreamId: 'u-3',
      softwareVersion: 'v1',
    });
  });
});
