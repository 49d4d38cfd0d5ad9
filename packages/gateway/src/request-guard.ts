/**
 * Keeps requests that end upstreams from ending more of them: collects the
 * requests under which an upstream ended, and holds these back until they or
 * their prompt parts are proven sound.
 */
import type {UpstreamTable} from '@siskinplank/dispatch';
import type {Clock, Logger, Timer} from '@siskinplank/foundation';
import type {ConnectionPool} from '@siskinplank/http-exchange';
import {
  createDeadlyRequests,
  createPoisonTracker,
} from '@siskinplank/poison-prompts';
import type {
  EndedRequest,
  PoisonReport,
  ReportedDeadlyRequest,
  RequestVerdict,
} from '@siskinplank/poison-prompts';
import {LifeSign, formatIncarnation} from '@siskinplank/serving';
import type {RouteTable, Upstream, UpstreamControl} from '@siskinplank/serving';
import {
  PROMPT_BLAMED,
  PROMPT_BLAME_LIFTED,
  REQUEST_CLEARED,
  REQUEST_REFUSED,
  REQUEST_TESTED,
  UPSTREAM_ENDED,
} from './events';
import type {GatewayMetrics} from './gateway-metrics';
import type {GuardedRequest} from './guarded-request';

/** What `createRequestGuard` needs. */
export interface RequestGuardOptions {
  upstreams: UpstreamTable;
  control: UpstreamControl;
  pool: ConnectionPool;
  clock: Clock;
  logger: Logger;
  metrics: GatewayMetrics;
  /** Configuration in force, with the paths of health checks. */
  getRoutes(): RouteTable | undefined;
  /** Whether this gateway tests what is refused under the key. */
  isTrialOwner(key: string): boolean;
  /** Called when requests that are open may have been blamed. */
  onBlame(): void;
  /** Called when the report has news for the peers. */
  onNews(): void;
}

/** A request for which an upstream may have ended. */
export interface BrokenRequest extends EndedRequest, GuardedRequest {
  /** Whether it was sent there since another upstream broke off. */
  isRepeated: boolean;
}

/** What one gateway tells the others. */
export interface GuardReport extends PoisonReport {
  deadlyRequests: ReportedDeadlyRequest[];
}

/** Evidence about requests and their prompt parts, and decisions by it. */
export interface RequestGuard {
  /** Decides on a request that is about to be sent. */
  checkRequest(request: GuardedRequest): RequestVerdict;
  isBlamed(request: GuardedRequest): boolean;
  /** Records that an upstream answers the request. */
  recordAnswer(request: GuardedRequest): void;
  /**
   * Records that an upstream answered the request with a status that proves
   * nothing about its prompt parts.
   */
  recordResponse(request: GuardedRequest): void;
  /**
   * Records that the connection of a request was lost before the upstream had
   * begun to answer it. Calls back once, unless cancelled by the result:
   * whether the request may be sent to another upstream.
   */
  reportBroken(
    upstream: Upstream,
    ended: BrokenRequest,
    onDecided: (mayRetry: boolean) => void,
  ): () => void;
  updatePeer(report: GuardReport, nowMs: number): void;
  describe(nowMs: number): GuardReport;
  countBlames(): number;
}

/** The connections of an upstream that ends are lost within this time. */
const COLLECT_MS = 20;
/** Time for the peers to report that they saw the parts answered. */
const PROOF_WAIT_MS = 400;
/**
 * Time for the peers to hear of a refusal, since callers send a request that
 * failed to another gateway at once.
 */
const NEWS_WAIT_MS = 150;
/** Time for which further requests are added to the same end. */
const ENDED_MEMORY_MS = 10_000;

interface HeldRequest {
  ended: BrokenRequest;
  onDecided: (mayRetry: boolean) => void;
}

/** Requests whose connections to one incarnation of an upstream were lost. */
interface BrokenGroup {
  startedAtMs: number;
  hasEnded: boolean;
  requests: BrokenRequest[];
  /** Fingerprints of those that another upstream answered meanwhile. */
  answered: Set<string>;
  waiting: Set<HeldRequest>;
}

/** Creates a guard without evidence. */
export function createRequestGuard(options: RequestGuardOptions): RequestGuard {
  const {clock, logger, metrics, pool, upstreams} = options;
  const groups = new Map<string, BrokenGroup>();
  /** Groups whose upstreams are being checked. */
  const unchecked = new Set<BrokenGroup>();
  /** Requests under which an upstream ended, and the end of their wait. */
  const held = new Map<HeldRequest, Timer>();

  const deadlyRequests = createDeadlyRequests({
    isTrialOwner: options.isTrialOwner,
  });
  const tracker = createPoisonTracker({
    isTrialOwner: parts => options.isTrialOwner(parts.join(' ')),
    onBlame: (parts, blamedFor) => {
      logger.log(PROMPT_BLAMED, {
        parts: parts.join(' '),
        upstreams: blamedFor.join(' '),
      });
      metrics.recordBlame('blamed');
      options.onBlame();
    },
    onLift: (parts, end) => {
      logger.log(PROMPT_BLAME_LIFTED, {parts: parts.join(' '), reason: end});
      metrics.recordBlame(end);
    },
    onNews: options.onNews,
  });

  const isProven = (parts: readonly string[]): boolean =>
    tracker.listUnproven(parts, clock.getNowMs()).length === 0;

  const decide = (request: HeldRequest, mayRetry: boolean): void => {
    held.get(request)?.cancel();
    held.delete(request);
    request.onDecided(mayRetry);
  };

  const isRefused = ({getFingerprint}: GuardedRequest): boolean =>
    !deadlyRequests.isEmpty() && deadlyRequests.isRefused(getFingerprint());

  const recordRefused = (fields: Record<string, string | boolean>): void => {
    logger.log(REQUEST_REFUSED, fields);
    metrics.recordBlame('deadly');
  };

  const recordEnd = (
    upstream: string,
    ended: BrokenRequest,
    atMs: number,
  ): void => {
    const {hasBegun, isRepeated} = ended;
    const fingerprint = ended.getFingerprint();
    const wasRefused = isRefused(ended);
    deadlyRequests.recordEnd(
      fingerprint,
      {upstream, hasBegun, isRepeated},
      atMs,
    );
    if (wasRefused || !isRefused(ended)) return;
    recordRefused({fingerprint, upstream, hasBegun});
    options.onNews();
  };

  const recordResponse = ({getFingerprint}: GuardedRequest): void => {
    if (deadlyRequests.isEmpty() && unchecked.size === 0) return;
    const fingerprint = getFingerprint();
    for (const {answered} of unchecked) answered.add(fingerprint);
    if (!deadlyRequests.recordAnswer(fingerprint, clock.getNowMs())) return;
    logger.log(REQUEST_CLEARED, {fingerprint});
    metrics.recordBlame('deadly-cleared');
    options.onNews();
  };

  const hold = (request: HeldRequest): void => {
    const {parts} = request.ended;
    if (isRefused(request.ended)) {
      const timer = clock.startTimer(NEWS_WAIT_MS, () =>
        decide(request, false),
      );
      held.set(request, timer);
      return;
    }
    if (isProven(parts)) {
      request.onDecided(true);
      return;
    }
    const timer = clock.startTimer(PROOF_WAIT_MS, () =>
      decide(request, isProven(parts)),
    );
    held.set(request, timer);
  };

  const releaseProven = (): void => {
    for (const request of [...held.keys()]) {
      if (isRefused(request.ended)) continue;
      if (isProven(request.ended.parts)) decide(request, true);
    }
  };

  /** Whether an upstream may have ended under the request before. */
  const isSuspected = ({getFingerprint}: GuardedRequest): boolean => {
    if (deadlyRequests.isEmpty() && unchecked.size === 0) return false;
    const fingerprint = getFingerprint();
    return (
      deadlyRequests.has(fingerprint) ||
      [...unchecked].some(({requests}) =>
        requests.some(other => other.getFingerprint() === fingerprint),
      )
    );
  };

  /** Returns why the upstream is taken as ended; undefined if it still runs. */
  const findEnd = async (
    upstream: Upstream,
    key: string,
  ): Promise<string | undefined> => {
    const healthPath = options
      .getRoutes()
      ?.configuration.services.get(upstream.service)?.healthPath;
    if (upstream.models !== undefined || healthPath === undefined) {
      // A report over a connection that was lost as well would prove nothing.
      pool.closeIdle(key);
      const report = await options.control.readReport(upstream);
      return report.swap().toMaybe().extract()?.reason;
    }
    const {sign, reason} = await options.control.checkLife(
      upstream,
      healthPath,
    );
    if (sign === LifeSign.Alive) return undefined;
    // An upstream with too many connections resets new ones and keeps others.
    if (sign === LifeSign.Unclear && pool.hasOpen(key)) return undefined;
    return reason;
  };

  /**
   * Drops ends of upstreams to which this process has open connections: a peer
   * that lost its path to an upstream can't tell that from an end.
   */
  const dropDisproved = (
    reported: readonly ReportedDeadlyRequest[],
  ): ReportedDeadlyRequest[] => {
    const isOpen = new Map<string, boolean>();
    for (const [upstream] of reported.flatMap(([, ends]) => ends)) {
      if (!isOpen.has(upstream)) isOpen.set(upstream, pool.hasOpen(upstream));
    }
    return reported.map(([key, ends, answeredAgeMs]) => [
      key,
      ends.filter(([upstream]) => isOpen.get(upstream) !== true),
      answeredAgeMs,
    ]);
  };

  const checkUpstream = async (
    upstream: Upstream,
    key: string,
    group: BrokenGroup,
  ): Promise<void> => {
    unchecked.add(group);
    await clock.waitMs(COLLECT_MS);
    // Health checks are priced, and an upstream that ends loses all connections.
    const mayHaveEnded = group.waiting.size > 0 || !pool.hasOpen(key);
    const reason = mayHaveEnded ? await findEnd(upstream, key) : undefined;
    unchecked.delete(group);
    const waiting = [...group.waiting];
    group.waiting.clear();
    if (reason === undefined) {
      groups.delete(key);
      for (const request of waiting) request.onDecided(true);
      return;
    }
    group.hasEnded = true;
    clock.startTimer(ENDED_MEMORY_MS, () => groups.delete(key));
    upstreams.recordUnreachable(upstream.id, clock.getNowMs());
    logger.log(UPSTREAM_ENDED, {
      upstream: upstream.id,
      reason,
      requests: group.requests.length,
      parts: group.requests.map(({parts}) => parts.join(' ')).join(', '),
    });
    tracker.recordEnding(key, group.requests, clock.getNowMs());
    for (const ended of group.requests) {
      if (group.answered.has(ended.getFingerprint())) continue;
      recordEnd(key, ended, group.startedAtMs);
    }
    // Their bodies are not needed any more.
    group.requests = [];
    for (const request of waiting) hold(request);
  };

  return {
    checkRequest: request => {
      const {parts, getFingerprint} = request;
      const nowMs = clock.getNowMs();
      const isKnown = !deadlyRequests.isEmpty();
      const verdict = isKnown
        ? deadlyRequests.checkRequest(getFingerprint(), nowMs)
        : undefined;
      if (verdict?.isRefused) return verdict;
      const partsVerdict = tracker.checkPrompt(parts, nowMs);
      if (partsVerdict.isRefused) return partsVerdict;
      const isTrial = partsVerdict.isTrial || verdict?.isTrial === true;
      if (isTrial) {
        const fingerprint = getFingerprint();
        logger.log(REQUEST_TESTED, {parts: parts.join(' '), fingerprint});
      }
      return {isRefused: false, retryAfterMs: 0, isTrial};
    },
    isBlamed: request => isRefused(request) || tracker.isBlamed(request.parts),
    recordAnswer: request => {
      recordResponse(request);
      tracker.recordAnswer(request.parts, clock.getNowMs());
      releaseProven();
    },
    recordResponse,
    reportBroken: (upstream, ended, onDecided) => {
      const key = formatIncarnation(upstream);
      const mustWait =
        !isProven(ended.parts) || ended.hasBegun || isSuspected(ended);
      const request: HeldRequest = {ended, onDecided};
      const known = groups.get(key);
      const group = known ?? {
        startedAtMs: clock.getNowMs(),
        hasEnded: false,
        requests: [],
        answered: new Set<string>(),
        waiting: new Set<HeldRequest>(),
      };
      groups.set(key, group);
      if (group.hasEnded) {
        tracker.recordEnding(key, [ended], clock.getNowMs());
        recordEnd(key, ended, clock.getNowMs());
        hold(request);
      } else {
        group.requests.push(ended);
        if (mustWait) group.waiting.add(request);
        if (known === undefined) void checkUpstream(upstream, key, group);
        if (!mustWait) onDecided(true);
      }
      return () => {
        group.waiting.delete(request);
        held.get(request)?.cancel();
        held.delete(request);
      };
    },
    updatePeer: (report, nowMs) => {
      tracker.updatePeer(report, nowMs);
      const reported = dropDisproved(report.deadlyRequests);
      const refused = deadlyRequests.merge(reported, nowMs);
      for (const fingerprint of refused) {
        recordRefused({fingerprint, isFromPeer: true});
      }
      releaseProven();
    },
    describe: nowMs => ({
      ...tracker.describe(nowMs),
      deadlyRequests: deadlyRequests.list(nowMs),
    }),
    countBlames: () => tracker.countBlames() + deadlyRequests.countRefused(),
  };
}
