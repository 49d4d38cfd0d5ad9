/**
 * Times in which upstreams want nothing from this gateway, as they said when
 * they turned a request away. Each upstream says it to each gateway by itself,
 * so that gateways don't tell each other.
 */
import type {UpstreamEntry} from '@siskinplank/dispatch';
import type {Logger} from '@siskinplank/foundation';
import {formatIncarnation, parseIncarnation} from '@siskinplank/serving';
import type {Upstream} from '@siskinplank/serving';
import {UPSTREAM_BACKED_OFF} from './events';

/** Such times, by incarnation of an upstream. */
export interface UpstreamBackoffs {
  /** Records a time from now on; it doesn't shorten an earlier one. */
  record(incarnation: string, forMs: number, nowMs: number): void;
  /** End of the time; undefined if requests may be sent. */
  getEndMs(
    upstream: Pick<Upstream, 'id' | 'startedAtMs'>,
    nowMs: number,
  ): number | undefined;
  /** Splits upstreams by whether requests may be sent to them. */
  split(
    entries: readonly UpstreamEntry[],
    nowMs: number,
  ): {
    available: readonly UpstreamEntry[];
    backedOff: readonly UpstreamEntry[];
  };
  count(nowMs: number): number;
}

/** Longer times are cut, so that a wrong one ends without a restart. */
const MAX_BACKOFF_MS = 3_600_000;

/** Creates a record without upstreams. */
export function createUpstreamBackoffs(logger: Logger): UpstreamBackoffs {
  const ends = new Map<string, number>();

  const removeEnded = (nowMs: number): void => {
    for (const [incarnation, endMs] of [...ends]) {
      if (endMs <= nowMs) ends.delete(incarnation);
    }
  };

  const getEndMs: UpstreamBackoffs['getEndMs'] = (upstream, nowMs) => {
    const endMs = ends.get(formatIncarnation(upstream));
    return endMs !== undefined && endMs > nowMs ? endMs : undefined;
  };

  return {
    record: (incarnation, forMs, nowMs) => {
      removeEnded(nowMs);
      const keptMs = Math.min(forMs, MAX_BACKOFF_MS);
      const formerMs = ends.get(incarnation);
      if (keptMs <= 0 || nowMs + keptMs <= (formerMs ?? 0)) return;
      ends.set(incarnation, nowMs + keptMs);
      // Requests that were on their way extend the time again and again.
      if (formerMs !== undefined) return;
      logger.log(UPSTREAM_BACKED_OFF, {
        upstream: parseIncarnation(incarnation).id,
        forMs: Math.round(keptMs),
      });
    },
    getEndMs,
    split: (entries, nowMs) => {
      if (ends.size === 0) return {available: entries, backedOff: []};
      const available: UpstreamEntry[] = [];
      const backedOff: UpstreamEntry[] = [];
      for (const entry of entries) {
        const isAvailable = getEndMs(entry.upstream, nowMs) === undefined;
        (isAvailable ? available : backedOff).push(entry);
      }
      return {available, backedOff};
    },
    count: nowMs => {
      removeEnded(nowMs);
      return ends.size;
    },
  };
}
