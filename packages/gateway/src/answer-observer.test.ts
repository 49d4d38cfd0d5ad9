import {createManualClock} from '@siskinplank/foundation';
import type {Logger} from '@siskinplank/foundation';
import {
  ReportFailureCode,
  UpstreamState,
  formatIncarnation,
} from '@siskinplank/serving';
import type {PlatformPorts, Upstream} from '@siskinplank/serving';
import {Left} from 'purify-ts';
import {describe, expect, it} from 'vitest';
import {createAnswerObserver} from './answer-observer';
import {createUpstreamBackoffs} from './upstream-backoffs';

const SILENT_LOGGER: Logger = {
  log: () => undefined,
  withFields: () => SILENT_LOGGER,
};

const ENGINE: Upstream = {
  id: 'i-1',
  service: 'llm',
  address: {host: '10.0.0.1', port: 80},
  failureDomain: 'a',
  softwareVersion: '1',
  slots: 8,
  state: UpstreamState.Ready,
  startedAtMs: 5,
  models: [],
  orderSequence: 0,
  remainingMs: undefined,
};

describe('upstreams that reject requests as misdirected', () => {
  const check = async (
    code: ReportFailureCode,
    hasModel = true,
  ): Promise<{left: string[]; readCount: number}> => {
    const left: string[] = [];
    let readCount = 0;
    const clock = createManualClock();
    const ports = {
      upstreamControl: {
        readReport: () => {
          readCount += 1;
          return Promise.resolve(Left({code, reason: ''}));
        },
      },
    } as unknown as Pick<PlatformPorts, 'exchangeFormat' | 'upstreamControl'>;
    const observer = createAnswerObserver({
      ports,
      pool: {observeHeads: () => undefined},
      backoffs: createUpstreamBackoffs(SILENT_LOGGER),
      clock,
      onLeft: incarnation => left.push(incarnation),
    });
    for (let count = 0; count < 20; count += 1) {
      observer.checkMisdirected(ENGINE, hasModel);
    }
    for (let turn = 0; turn < 20; turn += 1) await Promise.resolve();
    return {left, readCount};
  };

  // Guards against requests sent on to a crashed upstream that the store lists.
  it('have ended if another upstream answers at their address', async () => {
    const {left, readCount} = await check(ReportFailureCode.OtherUpstream);
    expect(left).toEqual([formatIncarnation(ENGINE)]);
    expect(readCount).toBe(1);
  });

  it('stay in use if they only lack the model', async () => {
    const {left} = await check(ReportFailureCode.Unreadable);
    expect(left).toEqual([]);
  });

  it('have ended if the request names no model', async () => {
    const {left, readCount} = await check(ReportFailureCode.Unreadable, false);
    expect(new Set(left)).toEqual(new Set([formatIncarnation(ENGINE)]));
    expect(readCount).toBe(0);
  });
});
