import {defineEvent} from '@siskinplank/foundation';
import type {Logger} from '@siskinplank/foundation';
import {describe, expect, it} from 'vitest';
import {planPlacementChanges} from './plan-placement-changes';
import {
  BIG_MB,
  makeDemand,
  makeModels,
  makePlanInput,
  makeUpstream,
} from './testing/plan-input';
import {LoadRefusal, createUnplacedModelLog} from './unplaced-models';
import type {UnplacedModel} from './unplaced-models';

describe('models without a load', () => {
  // Guards against a busy model that gets no replica without a visible reason.
  it('come with the reasons why upstreams were passed over', () => {
    const {unplaced} = planPlacementChanges(
      makePlanInput({
        models: makeModels({hot: BIG_MB, idle: BIG_MB}),
        upstreams: [
          makeUpstream('a', ['hot']),
          makeUpstream('b', ['idle'], {
            capacityMb: BIG_MB,
            openByModel: new Map([['idle', 1]]),
            onDisk: new Set(['hot']),
          }),
          makeUpstream('c', [], {canTakeOrder: false}),
          makeUpstream('d', []),
        ],
        demand: [
          makeDemand('hot', {requestsPerSecond: 10, averageOpen: 24}),
          makeDemand('idle', {requestsPerSecond: 1}),
        ],
        storeLoadsLeft: 0,
      }),
    );
    expect(unplaced.filter(({model}) => model === 'hot')).toMatchObject([
      {
        model: 'hot',
        softwareVersion: '1',
        shortestLoadMs: 1_000,
        refusals: new Map([
          [LoadRefusal.NothingEvictable, 1],
          [LoadRefusal.OtherOrder, 1],
          [LoadRefusal.NoStoreLoad, 1],
        ]),
      },
    ]);
  });

  it('are logged once a second, if they would gain much', () => {
    const lines: unknown[] = [];
    const logger = {
      log: (_event: ReturnType<typeof defineEvent>, fields: unknown) =>
        lines.push(fields),
    } as unknown as Logger;
    const log = createUnplacedModelLog(logger);
    const makeUnplaced = (model: string, gain: number): UnplacedModel => ({
      model,
      softwareVersion: '1',
      gain,
      riskGain: 1,
      shortestLoadMs: 1_000,
      refusals: new Map([[LoadRefusal.Cost, 2]]),
    });
    const models = [makeUnplaced('hot', 9), makeUnplaced('rare', 0.5)];
    log.log(models, 0);
    log.log(models, 999);
    expect(lines).toEqual([
      {
        model: 'hot',
        softwareVersion: '1',
        gain: 9,
        riskGain: 1,
        shortestLoadMs: 1_000,
        cost: 2,
      },
    ]);
    log.log(models, 1_000);
    expect(lines).toHaveLength(2);
  });
});
