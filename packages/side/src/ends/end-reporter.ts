/**
 * Reports to entry processes under which requests the upstream ended. A broken
 * connection alone is no evidence: the upstream must refuse connections
 * afterwards, or its status must show that it was restarted.
 */
import {makeSecureId} from '@siskinplank/foundation';
import type {Clock, Logger} from '@siskinplank/foundation';
import {
  MAX_ENDED_REQUESTS,
  MessageType,
  ProcessRole,
  computeRequestKey,
} from '@siskinplank/messages';
import type {Link, PeerNetwork} from '@siskinplank/transport';
import type {Attempt} from '../attempts/types';
import * as constants from '../constants';
import {UPSTREAM_ENDED} from '../events';

/** Dependencies of the reporter. */
export interface EndReporterContext {
  upstream: string;
  network: PeerNetwork;
  clock: Clock;
  logger: Logger;
  /** Attempts that the upstream has and did not finish. */
  listRunning(): readonly Attempt[];
  /** Whether connections to the upstream are refused. */
  probeRefusal(): Promise<boolean>;
  /** Whether the upstream leaves; a planned stop may break connections. */
  isLeaving(): boolean;
}

/** Reports ends of the upstream. */
export interface EndReporter {
  start(): void;
  stop(): void;
  /** Checks the upstream after the connection of an attempt broke. */
  checkAfterBreak(attempt: Attempt): Promise<void>;
  /** Reports the attempts that broke before the upstream was restarted. */
  reportRestart(): void;
}

/** A request that may have ended the upstream. */
interface SuspectRequest {
  requestKey: string;
  /** For how long the upstream had it. */
  ranMs: number;
  brokenAtMs: number;
}

/** Creates the reporter; `start` subscribes it to the network. */
export function createEndReporter(context: EndReporterContext): EndReporter {
  const {upstream, network, clock, logger} = context;
  const reported = new WeakSet<Attempt>();
  /** Requests whose connections broke while the upstream accepted others. */
  let broken: SuspectRequest[] = [];
  let probing: Promise<boolean> | undefined;
  let unsubscribe: (() => void) | undefined;
  let forwardedInWindow = 0;
  let windowStartMs = -Infinity;

  const listEntryLinks = (): Link[] =>
    network.listLinks().filter(link => link.peer.role === ProcessRole.Entry);

  /** Whether the upstream had the request and did not answer it for a while. */
  const isSuspect = (attempt: Attempt, nowMs: number): boolean =>
    attempt.handedOverMs !== undefined &&
    attempt.endSentMs === undefined &&
    !attempt.abort.signal.aborted &&
    !reported.has(attempt) &&
    nowMs - (attempt.firstDataMs ?? nowMs) < constants.PROVEN_RESPONSE_MS;

  const makeSuspect = (attempt: Attempt, nowMs: number): SuspectRequest => ({
    requestKey: computeRequestKey(attempt.open),
    ranMs: nowMs - (attempt.handedOverMs ?? nowMs),
    brokenAtMs: nowMs,
  });

  const reportEnd = (suspects: readonly SuspectRequest[]): void => {
    broken = [];
    if (suspects.length === 0 || context.isLeaving()) return;
    const ranMsByKey = new Map<string, number>();
    const byStart = [...suspects].sort((a, b) => a.ranMs - b.ranMs);
    for (const {requestKey, ranMs} of byStart) {
      // Whether the end is a separate one depends on the copy sent last.
      if (!ranMsByKey.has(requestKey)) ranMsByKey.set(requestKey, ranMs);
      if (ranMsByKey.size >= MAX_ENDED_REQUESTS) break;
    }
    const requests = [...ranMsByKey];
    const keys = [...ranMsByKey.keys()].join(' ');
    logger.log(UPSTREAM_ENDED, {upstream, requests: keys});
    const endId = makeSecureId();
    for (const link of listEntryLinks()) {
      link.send({type: MessageType.UpstreamEnded, upstream, endId, requests});
    }
  };

  const probe = (): Promise<boolean> => {
    probing ??= context.probeRefusal().finally(() => {
      probing = undefined;
    });
    return probing;
  };

  const mayForward = (nowMs: number): boolean => {
    if (nowMs - windowStartMs >= 1_000) {
      windowStartMs = nowMs;
      forwardedInWindow = 0;
    }
    forwardedInWindow += 1;
    return forwardedInWindow <= constants.MAX_FORWARDED_ANSWERS_PER_SECOND;
  };

  return {
    start: () => {
      unsubscribe = network.subscribe(
        [MessageType.RequestAnswered],
        (source, message) => {
          if (!mayForward(clock.getNowMs())) return;
          for (const link of listEntryLinks()) {
            if (link !== source) link.send(message);
          }
        },
      );
    },
    stop: () => unsubscribe?.(),
    checkAfterBreak: async attempt => {
      const brokenAtMs = clock.getNowMs();
      if (!isSuspect(attempt, brokenAtMs)) return;
      const suspect = makeSuspect(attempt, brokenAtMs);
      broken = [...broken, suspect].slice(-MAX_ENDED_REQUESTS);
      if (!(await probe())) return;
      const ended = context
        .listRunning()
        .filter(other => isSuspect(other, brokenAtMs));
      for (const other of ended) reported.add(other);
      reportEnd(ended.map(other => makeSuspect(other, brokenAtMs)));
    },
    reportRestart: () => {
      const nowMs = clock.getNowMs();
      reportEnd(
        broken.filter(
          ({brokenAtMs}) => nowMs - brokenAtMs < constants.BREAK_RETENTION_MS,
        ),
      );
    },
  };
}
