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

  it('breaks an event stream off when no upstream has its version', () => {
    bench.versions = {'u-1': 'v1', 'u-2': 'v2', 'u-3': 'v2'};
    bench.startSession(RequestKind.Stream);
    bench.answer(0, makeHead(200), EVENT);
    bench.breakOff(0);
    expect(bench.exchanges.length).toBe(1);
    expect(bench.wasAborted).toBe(true);
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
