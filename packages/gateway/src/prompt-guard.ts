/**
 * Keeps prompts that end upstreams from ending more of them: collects the
 * requests under which an upstream ended, and holds these back until their
 * parts are proven sound.
 */
import type {UpstreamTable} from '@siskinplank/dispatch';
import type {Clock, Logger, Timer} from '@siskinplank/foundation';
import type {ConnectionPool} from '@siskinplank/http-exchange';
import {
  createDeadlyPrompts,
  createPoisonTracker,
} from '@siskinplank/poison-prompts';
import type {
  EndedRequest,
  PoisonReport,
  RequestVerdict,
  ReportedDeadlyPrompt,
} from '@siskinplank/poison-prompts';
import {formatIncarnation} from '@siskinplank/serving';
import type {Upstream, UpstreamControl} from '@siskinplank/serving';
import {
  PROMPT_BLAMED,
  PROMPT_BLAME_LIFTED,
  PROMPT_REFUSED,
  PROMPT_TESTED,
  UPSTREAM_ENDED,
} from './events';
import type {GatewayMetrics} from './gateway-metrics';

/** What `createPromptGuard` needs. */
export interface PromptGuardOptions {
  upstreams: UpstreamTable;
  control: UpstreamControl;
  pool: ConnectionPool;
  clock: Clock;
  logger: Logger;
  metrics: GatewayMetrics;
  /** Whether this gateway tests the blame of the parts with this key. */
  isTrialOwner(key: string): boolean;
  /** Called when requests that are open may have been blamed. */
  onBlame(): void;
  /** Called when the report has news for the peers. */
  onNews(): void;
}

/** What the guard knows a prompt by. */
export interface GuardedPrompt {
  /** Shared parts of the prompt. */
  parts: readonly string[];
  /** Identifies the whole prompt; undefined if it names no parts. */
  fingerprint: string | undefined;
}

/** A request for whose prompt an upstream may have ended. */
export interface BrokenRequest extends EndedRequest, GuardedPrompt {}

/** What one gateway tells the others. */
export interface PromptReport extends PoisonReport {
  deadlyPrompts: ReportedDeadlyPrompt[];
}

/** Evidence about prompts and their shared parts, and decisions by it. */
export interface PromptGuard {
  /** Decides on a request that is about to be sent. */
  checkPrompt(prompt: GuardedPrompt): RequestVerdict;
  isBlamed(prompt: GuardedPrompt): boolean;
  /** Records that an upstream answers a request with the prompt. */
  recordAnswer(prompt: GuardedPrompt): void;
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
  updatePeer(report: PromptReport, nowMs: number): void;
  describe(nowMs: number): PromptReport;
  countBlames(): number;
}

/** The connections of an upstream that ends are lost within this time. */
const COLLECT_MS = 20;
/** Time for the peers to report that they saw the parts answered. */
const PROOF_WAIT_MS = 400;
/** Time for which further requests are added to the same end. */
const ENDED_MEMORY_MS = 10_000;

interface HeldRequest {
  ended: BrokenRequest;
  onDecided: (mayRetry: boolean) => void;
}

/** Requests whose connections to one incarnation of an upstream were lost. */
interface BrokenGroup {
  hasEnded: boolean;
  requests: BrokenRequest[];
  waiting: Set<HeldRequest>;
}

/** Creates a guard without evidence. */
export function createPromptGuard(options: PromptGuardOptions): PromptGuard {
  const {clock, logger, metrics, upstreams} = options;
  const groups = new Map<string, BrokenGroup>();
  /** Requests under which an upstream ended, and the end of their wait. */
  const held = new Map<HeldRequest, Timer>();

  const deadlyPrompts = createDeadlyPrompts();
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

  const getRefusedMs = (fingerprint: string | undefined): number =>
    fingerprint === undefined
      ? 0
      : deadlyPrompts.getRefusedMs(fingerprint, clock.getNowMs());

  const recordEnd = (key: string, ended: BrokenRequest): void => {
    const {fingerprint, hasBegun} = ended;
    if (fingerprint === undefined) return;
    const wasRefused = getRefusedMs(fingerprint) > 0;
    deadlyPrompts.recordEnd(fingerprint, key, hasBegun, clock.getNowMs());
    if (wasRefused || getRefusedMs(fingerprint) === 0) return;
    logger.log(PROMPT_REFUSED, {fingerprint, upstream: key, hasBegun});
    metrics.recordBlame('deadly');
    options.onNews();
  };

  const hold = (request: HeldRequest): void => {
    const {parts, fingerprint} = request.ended;
    if (getRefusedMs(fingerprint) > 0) {
      request.onDecided(false);
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
      if (isProven(request.ended.parts)) decide(request, true);
    }
  };

  const checkUpstream = async (
    upstream: Upstream,
    key: string,
    group: BrokenGroup,
  ): Promise<void> => {
    await clock.waitMs(COLLECT_MS);
    // A report over a connection that was lost as well would prove nothing.
    options.pool.closeIdle(key);
    const report = await options.control.readReport(upstream);
    const waiting = [...group.waiting];
    group.waiting.clear();
    if (report.isRight()) {
      groups.delete(key);
      for (const request of waiting) request.onDecided(true);
      return;
    }
    group.hasEnded = true;
    clock.startTimer(ENDED_MEMORY_MS, () => groups.delete(key));
    upstreams.recordUnreachable(upstream.id, clock.getNowMs());
    logger.log(UPSTREAM_ENDED, {
      upstream: upstream.id,
      reason: String(report.extract()),
      requests: group.requests.length,
      parts: group.requests.map(({parts}) => parts.join(' ')).join(', '),
    });
    tracker.recordEnding(key, group.requests, clock.getNowMs());
    for (const ended of group.requests) recordEnd(key, ended);
    for (const request of waiting) hold(request);
  };

  return {
    checkPrompt: ({parts, fingerprint}) => {
      const refusedMs = getRefusedMs(fingerprint);
      if (refusedMs > 0) {
        return {isRefused: true, retryAfterMs: refusedMs, isTrial: false};
      }
      const verdict = tracker.checkPrompt(parts, clock.getNowMs());
      if (verdict.isTrial) logger.log(PROMPT_TESTED, {parts: parts.join(' ')});
      return verdict;
    },
    isBlamed: ({parts, fingerprint}) =>
      getRefusedMs(fingerprint) > 0 || tracker.isBlamed(parts),
    recordAnswer: ({parts, fingerprint}) => {
      if (fingerprint !== undefined) deadlyPrompts.remove(fingerprint);
      tracker.recordAnswer(parts, clock.getNowMs());
      releaseProven();
    },
    reportBroken: (upstream, ended, onDecided) => {
      const {parts, fingerprint, hasBegun} = ended;
      const key = formatIncarnation(upstream);
      const mayBeDeadly =
        hasBegun ||
        (fingerprint !== undefined && deadlyPrompts.has(fingerprint));
      if (isProven(parts) && !mayBeDeadly) {
        recordEnd(key, ended);
        onDecided(true);
        return () => undefined;
      }
      const request: HeldRequest = {ended, onDecided};
      const known = groups.get(key);
      const group = known ?? {
        hasEnded: false,
        requests: [],
        waiting: new Set<HeldRequest>(),
      };
      groups.set(key, group);
      if (group.hasEnded) {
        tracker.recordEnding(key, [ended], clock.getNowMs());
        recordEnd(key, ended);
        hold(request);
      } else {
        group.requests.push(ended);
        group.waiting.add(request);
        if (known === undefined) void checkUpstream(upstream, key, group);
      }
      return () => {
        group.waiting.delete(request);
        held.get(request)?.cancel();
        held.delete(request);
      };
    },
    updatePeer: (report, nowMs) => {
      tracker.updatePeer(report, nowMs);
      deadlyPrompts.merge(report.deadlyPrompts, nowMs);
      releaseProven();
    },
    describe: nowMs => ({
      ...tracker.describe(nowMs),
      deadlyPrompts: deadlyPrompts.list(nowMs),
    }),
    countBlames: tracker.countBlames,
  };
}
