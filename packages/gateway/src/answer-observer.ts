/**
 * Finds upstreams that leave or have ended by what is answered at their
 * addresses. The store lists a crashed upstream for seconds, and its address may
 * have another one by then; an upstream also answers requests for a model that it
 * lacks as if they were for another one.
 */
import type {Clock} from '@siskinplank/foundation';
import type {ConnectionPool} from '@siskinplank/http-exchange';
import {ReportFailureCode, formatIncarnation} from '@siskinplank/serving';
import type {PlatformPorts, Upstream} from '@siskinplank/serving';
import type {UpstreamBackoffs} from './upstream-backoffs';

/** What `createAnswerObserver` needs. */
export interface AnswerObserverOptions {
  ports: Pick<PlatformPorts, 'exchangeFormat' | 'upstreamControl'>;
  pool: Pick<ConnectionPool, 'observeHeads'>;
  backoffs: UpstreamBackoffs;
  clock: Clock;
  /** Called with an incarnation that leaves or has ended. */
  onLeft(incarnation: string, nowMs: number): void;
}

/** What answers say of the upstreams themselves. */
export interface AnswerObserver {
  /**
   * Checks whether an upstream ended that rejected a request as misdirected.
   *
   * @param hasModel whether the request named a model, which it may lack.
   */
  checkMisdirected(upstream: Upstream, hasModel: boolean): void;
  /** Records that another upstream has the address of this one. */
  recordEnded(upstream: Upstream): void;
}

/** Least time between two reports that are read for one upstream. */
const CHECK_PERIOD_MS = 500;

/** Creates the observer of all answers that the pool receives. */
export function createAnswerObserver(
  options: AnswerObserverOptions,
): AnswerObserver {
  const {ports, pool, backoffs, clock, onLeft} = options;
  /** Incarnations that were checked within the period. */
  const checked = new Set<string>();

  pool.observeHeads((incarnation, {status, headers}) => {
    const nowMs = clock.getNowMs();
    const backoffMs = ports.exchangeFormat.readBackoffMs(status, headers);
    if (backoffMs !== undefined) backoffs.record(incarnation, backoffMs, nowMs);
    if (ports.exchangeFormat.isUpstreamLeaving(headers))
      onLeft(incarnation, nowMs);
  });

  const recordEnded = (upstream: Upstream): void =>
    onLeft(formatIncarnation(upstream), clock.getNowMs());

  return {
    recordEnded,
    checkMisdirected: (upstream, hasModel) => {
      if (!hasModel) {
        recordEnded(upstream);
        return;
      }
      const key = formatIncarnation(upstream);
      if (checked.has(key)) return;
      checked.add(key);
      clock.startTimer(CHECK_PERIOD_MS, () => checked.delete(key));
      void ports.upstreamControl.readReport(upstream).then(read =>
        read.ifLeft(({code}) => {
          if (code === ReportFailureCode.OtherUpstream) recordEnded(upstream);
        }),
      );
    },
  };
}
