/**
 * Models that would gain by a load for which no upstream was found, with the
 * reasons why upstreams were passed over.
 */
import type {Logger} from '@siskinplank/foundation';
import {MODEL_NOT_PLACED} from './events';

/** Why a load is not planned on an upstream. */
export enum LoadRefusal {
  /** It carries out another order, or takes none now. */
  OtherOrder = 'otherOrder',
  /** It is kept free for streams that may lose their model. */
  KeptFree = 'keptFree',
  /** The weight store allows no further load. */
  NoStoreLoad = 'noStoreLoad',
  /** Too few of its models may be evicted. */
  NothingEvictable = 'nothingEvictable',
  /** The load costs more than it gains. */
  Cost = 'cost',
}

/** A model that gains by a load and gets none at one software version. */
export interface UnplacedModel {
  model: string;
  softwareVersion: string;
  /** Requests served in time over the horizon by a further replica. */
  gain: number;
  /** Streams that are no longer at risk with a further replica there. */
  riskGain: number;
  /** Shortest load on an upstream of the version, by where its weights are. */
  shortestLoadMs: number;
  /** Upstreams of the version by the reason why they were passed over. */
  refusals: ReadonlyMap<LoadRefusal, number>;
}

/** Gain from which on a model without a load is logged, in requests. */
const MIN_LOGGED_GAIN = 5;
/** Time between two lines on a model at one software version. */
const LOG_PERIOD_MS = 1_000;

/** Logs models that get no load, at most once per period. */
export interface UnplacedModelLog {
  log(models: readonly UnplacedModel[], nowMs: number): void;
}

/** Creates a log without former lines. */
export function createUnplacedModelLog(logger: Logger): UnplacedModelLog {
  const loggedAtMs = new Map<string, number>();
  return {
    log: (models, nowMs) => {
      for (const [key, atMs] of loggedAtMs) {
        if (nowMs - atMs >= LOG_PERIOD_MS) loggedAtMs.delete(key);
      }
      for (const unplaced of models) {
        const {model, softwareVersion, gain, riskGain, refusals} = unplaced;
        const key = `${softwareVersion}/${model}`;
        if (gain + riskGain < MIN_LOGGED_GAIN || loggedAtMs.has(key)) continue;
        loggedAtMs.set(key, nowMs);
        logger.log(MODEL_NOT_PLACED, {
          model,
          softwareVersion,
          gain: Math.round(gain * 100) / 100,
          riskGain: Math.round(riskGain * 100) / 100,
          shortestLoadMs: Math.round(unplaced.shortestLoadMs),
          ...Object.fromEntries(refusals),
        });
      }
    },
  };
}
