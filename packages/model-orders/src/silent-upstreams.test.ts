import {createManualClock} from '@siskinplank/foundation';
import type {Logger} from '@siskinplank/foundation';
import {
  LifeSign,
  OrderOutcome,
  ReportFailureCode,
  UpstreamControl,
  UpstreamState,
} from '@siskinplank/serving';
import type {
  EngineSpec,
  LifeCheck,
  ReportFailure,
  Upstream,
  UpstreamReport,
} from '@siskinplank/serving';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {describe, expect, it} from 'vitest';
import {createPlacementController} from './placement-controller';

const ENGINE: EngineSpec = {
  slots: 8,
  cacheTokens: 10_000,
  weightsMb: 100,
  adapterSlots: 2,
  loadsPerSecond: 2,
  models: new Map([
    [
      'a',
      {
        name: 'a',
        weightsMb: 40,
        storeLoadMs: 1_000,
        diskLoadMs: 1_000,
        memoryLoadMs: 1_000,
        adapterCount: 0,
        adapterMb: 0,
      },
    ],
  ]),
};

const REPORT: UpstreamReport = {
  models: [],
  isChangingModel: false,
  orderSequence: 0,
  queuedCount: 0,
  runningCount: 0,
  usedCacheTokens: 0,
  totalCacheTokens: 10_000,
  pendingAdapters: [],
  modelsInMemory: [],
  modelsOnDisk: [],
};

const SILENT_LOGGER: Logger = {
  log: () => undefined,
  withFields: () => SILENT_LOGGER,
};

/** Upstreams that accept a load and, from then on, answer nothing. */
class DyingUpstreams extends UpstreamControl {
  readonly loads: Array<{upstream: string; atMs: number}> = [];

  constructor(private readonly getNowMs: () => number) {
    super();
  }

  sendOrder({id}: Upstream): Promise<OrderOutcome> {
    if (this.isSilent(id)) return Promise.resolve(OrderOutcome.NoAnswer);
    this.loads.push({upstream: id, atMs: this.getNowMs()});
    return Promise.resolve(OrderOutcome.Accepted);
  }

  checkLife(): Promise<LifeCheck> {
    return Promise.resolve({sign: LifeSign.Unclear, reason: ''});
  }

  readReport({id}: Upstream): Promise<Either<ReportFailure, UpstreamReport>> {
    const code = ReportFailureCode.NoAnswer;
    return Promise.resolve(
      this.isSilent(id) ? Left({code, reason: ''}) : Right(REPORT),
    );
  }

  private isSilent(id: string): boolean {
    return this.loads.some(({upstream}) => upstream === id);
  }
}

function makeUpstream(id: string): Upstream {
  return {
    id,
    service: 'llm',
    address: {host: '10.0.0.1', port: 80},
    failureDomain: 'fd-a',
    softwareVersion: '1',
    slots: 8,
    state: UpstreamState.Ready,
    startedAtMs: 1,
    models: [],
    orderSequence: 0,
    remainingMs: undefined,
  };
}

describe('a load on an upstream that falls silent', () => {
  // Guards against requests that wait for a load that never ends.
  it('is begun elsewhere long before it counts as failed', async () => {
    const clock = createManualClock();
    const control = new DyingUpstreams(clock.getNowMs);
    const controller = createPlacementController({
      control,
      clock,
      logger: SILENT_LOGGER,
      holder: 'gateway-a',
      getToken: () => 1,
      onFenced: () => undefined,
      onEnded: () => undefined,
      onChange: () => undefined,
      openPerCopy: 8,
      getOpenReportDelayMs: () => 300,
    });
    const demand = {
      model: 'a',
      requestsPerSecond: 5,
      averageOpen: 0,
      waitingCount: 5,
      oldestWaitMs: 0,
      waitingByVersion: new Map(),
    };
    while (clock.getNowMs() < 6_000 && control.loads.length < 2) {
      controller.tick(
        {
          engine: ENGINE,
          upstreams: ['u1', 'u2'].map(makeUpstream),
          demand: [demand],
          unreachableIds: new Set(),
          open: new Map(),
        },
        clock.getNowMs(),
      );
      for (let turn = 0; turn < 20; turn += 1) await Promise.resolve();
      clock.runFor(20);
    }
    const [first, second] = control.loads;
    expect(second.upstream).not.toBe(first.upstream);
    const getChanging = (upstream: string): string | undefined =>
      controller.summarize(clock.getNowMs()).find(({id}) => id === upstream)
        ?.changing;
    expect(getChanging(first.upstream)).toBeUndefined();
    expect(getChanging(second.upstream)).toBe('a');
    // The load itself, and the silence of about a second of a sound upstream.
    expect(second.atMs - first.atMs).toBeLessThan(2_500);
  });
});
