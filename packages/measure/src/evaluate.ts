/** Evaluates the outcomes of a run from outside the product. */
import {RefusalCode} from '@siskinplank/resources';
import {
  BETWEEN_TOKENS_TARGET_MS,
  COMPRESSION,
  FIRST_TOKEN_TARGET_MS,
} from './deployments';
import type {PolicyRun} from './run-policy';
import {computeQuantile, isAwaited} from './send-request';
import type {RequestOutcome} from './send-request';
import type {AccountLimit, Trace, TraceRequest} from './trace';

/** Share of the requests of one client account that met their target. */
export interface AccountScore {
  requests: number;
  attained: number;
  attainment: number;
}

/** Figures of one run. */
export interface RunScore {
  requests: number;
  /** Requests within their account's rate, by the reference bucket. */
  insideRate: number;
  attained: number;
  attainment: number;
  /** Requests answered on time for each accelerator and second. */
  attainedPerAcceleratorSecond: number;
  modelLoads: number;
  warmUpLoads: number;
  accounts: Record<string, AccountScore>;
  worstAccount: number;
  bestAccount: number;
  /** Requests refused by limits although the account had the tokens. */
  refusedInside: number;
  refusedInsideShare: number;
  /** Largest excess over rate and burst in any window, in tokens. */
  largestExcessTokens: number;
  firstTokenP50Ms: number;
  firstTokenP95Ms: number;
  betweenTokensP95Ms: number;
  /** Tokens a second answered on time to accounts other than the flooding one. */
  othersGoodputInFlood: number;
  othersAttainmentInFlood: number;
  /** Attainment after the fault of the run. */
  attainmentAfterFault: number | undefined;
  /** Requests by status and code. */
  codes: Record<string, number>;
  loopDelayP99Ms: number;
  loopDelayMaxMs: number;
  sendLagP99Ms: number;
}

const P50 = 0.5;
const P95 = 0.95;

/**
 * Marks the requests that an account sends within its rate and burst: those
 * for which a bucket that only they drain has tokens. It depends on the trace
 * only, so that all policies are evaluated on the same requests.
 */
export function markInsideRate(trace: Trace): boolean[] {
  const levels = new Map<string, {tokens: number; atMs: number}>();
  return trace.requests.map(({account, atMs, estimatedTokens}) => {
    const limit = trace.limits[account];
    const level = levels.get(account) ?? {tokens: limit.burstTokens, atMs: 0};
    const accrued =
      level.tokens + (limit.rateTokensPerSecond * (atMs - level.atMs)) / 1_000;
    const tokens = Math.min(limit.burstTokens, accrued);
    const isInside = estimatedTokens <= tokens;
    levels.set(account, {
      tokens: isInside ? tokens - estimatedTokens : tokens,
      atMs,
    });
    return isInside;
  });
}

function isLimitRefusal({code}: RequestOutcome): boolean {
  return (
    code === RefusalCode.RateLimited || code === RefusalCode.TooLargeForBurst
  );
}

/**
 * Counts limit refusals of requests for which a central bucket would have had
 * the tokens. The bucket is charged the estimate of each admitted request
 * at its arrival and gets nothing back, so it never has too much.
 */
export function countRefusedInside(
  trace: Trace,
  outcomes: readonly RequestOutcome[],
): number {
  const levels = new Map<string, {tokens: number; atMs: number}>();
  let count = 0;
  for (const [index, request] of trace.requests.entries()) {
    const limit = trace.limits[request.account];
    const level = levels.get(request.account) ?? {
      tokens: limit.burstTokens,
      atMs: 0,
    };
    const elapsedMs = request.atMs - level.atMs;
    const tokens = Math.min(
      limit.burstTokens,
      level.tokens + (limit.rateTokensPerSecond * elapsedMs) / 1_000,
    );
    const isRefused = isLimitRefusal(outcomes[index]);
    const isCounted = isRefused && request.estimatedTokens <= tokens;
    if (isCounted && request.atMs >= trace.warmUpMs) count += 1;
    levels.set(request.account, {
      tokens: isRefused ? tokens : tokens - request.estimatedTokens,
      atMs: request.atMs,
    });
  }
  return count;
}

function countUsedTokens(
  request: TraceRequest,
  outcome: RequestOutcome,
): number {
  if (request.target !== '') return outcome.promptTokens + outcome.tokens;
  return outcome.isComplete ? request.estimatedTokens : 0;
}

/**
 * Largest use beyond rate and burst. A request is admitted between its arrival
 * and its response head, so only requests for which both lie in a window are
 * certain to count there; no valid admission exceeds this bound.
 */
export function computeLargestExcess(
  uses: ReadonlyArray<{fromMs: number; toMs: number; tokens: number}>,
  limit: AccountLimit,
): number {
  const byEnd = [...uses].sort((a, b) => a.toMs - b.toMs);
  let largest = -Infinity;
  for (const {fromMs: startMs} of uses) {
    let tokens = 0;
    for (const use of byEnd) {
      if (use.fromMs < startMs) continue;
      tokens += use.tokens;
      const windowSeconds = (use.toMs - startMs) / 1_000;
      const allowed =
        limit.burstTokens + limit.rateTokensPerSecond * windowSeconds;
      largest = Math.max(largest, tokens - allowed);
    }
  }
  return largest;
}

function computeAccountExcess(
  trace: Trace,
  outcomes: readonly RequestOutcome[],
  account: string,
): number {
  const uses = trace.requests.flatMap((request, index) => {
    const outcome = outcomes[index];
    const tokens = countUsedTokens(request, outcome);
    if (request.account !== account || tokens === 0) return [];
    const toMs = outcome.headAtMs ?? outcome.endAtMs;
    return [{fromMs: outcome.sentAtMs, toMs, tokens}];
  });
  return computeLargestExcess(uses, trace.limits[account]);
}

/** Whether the answer met the latency target, or its deadline if overnight. */
export function isAttained(
  request: TraceRequest,
  outcome: RequestOutcome,
): boolean {
  if (!outcome.isComplete || outcome.code !== '') return false;
  if (!isAwaited(request)) {
    return outcome.endAtMs - request.atMs <= request.deadlineMs;
  }
  const firstMs = (outcome.firstTokenAtMs ?? Infinity) - request.atMs;
  return (
    firstMs <= FIRST_TOKEN_TARGET_MS * COMPRESSION &&
    outcome.betweenTokensP95Ms <= BETWEEN_TOKENS_TARGET_MS * COMPRESSION
  );
}

function scoreRequests(
  trace: Trace,
  outcomes: readonly RequestOutcome[],
  indexes: readonly number[],
): AccountScore {
  const attained = indexes.filter(index =>
    isAttained(trace.requests[index], outcomes[index]),
  ).length;
  const requests = indexes.length;
  return {requests, attained, attainment: requests && attained / requests};
}

function countCodes(
  outcomes: readonly RequestOutcome[],
): Record<string, number> {
  const codes: Record<string, number> = {};
  for (const {status, code, isComplete} of outcomes) {
    const key = code === '' && isComplete ? 'ok' : `${status} ${code}`;
    codes[key] = (codes[key] ?? 0) + 1;
  }
  return codes;
}

/** Computes the figures of a run. */
export function scoreRun(
  trace: Trace,
  run: PolicyRun,
  accelerators: number,
): RunScore {
  const {outcomes} = run;
  const {flood} = trace;
  const insideMarks = markInsideRate(trace);
  const measured = [...trace.requests.keys()].filter(
    index => trace.requests[index].atMs >= trace.warmUpMs,
  );
  const inside = measured.filter(index => insideMarks[index]);
  const total = scoreRequests(trace, outcomes, inside);
  const accounts = Object.fromEntries(
    Object.keys(trace.limits).map(account => [
      account,
      scoreRequests(
        trace,
        outcomes,
        inside.filter(index => trace.requests[index].account === account),
      ),
    ]),
  );
  const withinRate = Object.entries(accounts)
    .filter(([account]) => account !== flood.account)
    .map(([, {attainment}]) => attainment);
  const inFlood = inside.filter(index => {
    const {account, atMs} = trace.requests[index];
    const isDuring = atMs >= flood.startMs && atMs < flood.endMs;
    return isDuring && account !== flood.account;
  });
  const floodTokens = inFlood
    .filter(index => isAttained(trace.requests[index], outcomes[index]))
    .reduce((sum, index) => sum + outcomes[index].tokens, 0);
  const awaited = inside.filter(
    index => isAwaited(trace.requests[index]) && outcomes[index].tokens > 0,
  );
  const firstTokens = awaited.map(
    index => (outcomes[index].firstTokenAtMs ?? 0) - trace.requests[index].atMs,
  );
  const faultAtMs = run.faultAtMs;
  const refusedInside = countRefusedInside(trace, outcomes);
  return {
    requests: measured.length,
    insideRate: inside.length,
    attained: total.attained,
    attainment: total.attainment,
    attainedPerAcceleratorSecond:
      total.attained / accelerators / (trace.durationMs / 1_000),
    modelLoads: run.modelLoads,
    warmUpLoads: run.warmUpLoads,
    accounts,
    worstAccount: Math.min(...withinRate),
    bestAccount: Math.max(...withinRate),
    refusedInside,
    refusedInsideShare: refusedInside / Math.max(1, inside.length),
    largestExcessTokens: Math.max(
      ...Object.keys(trace.limits).map(account =>
        computeAccountExcess(trace, outcomes, account),
      ),
    ),
    firstTokenP50Ms: computeQuantile(firstTokens, P50),
    firstTokenP95Ms: computeQuantile(firstTokens, P95),
    betweenTokensP95Ms: computeQuantile(
      awaited.map(index => outcomes[index].betweenTokensP95Ms),
      P95,
    ),
    othersGoodputInFlood: floodTokens / ((flood.endMs - flood.startMs) / 1_000),
    othersAttainmentInFlood: scoreRequests(trace, outcomes, inFlood).attainment,
    attainmentAfterFault:
      faultAtMs === undefined
        ? undefined
        : scoreRequests(
            trace,
            outcomes,
            inside.filter(index => trace.requests[index].atMs >= faultAtMs),
          ).attainment,
    codes: countCodes(measured.map(index => outcomes[index])),
    loopDelayP99Ms: run.loopDelayP99Ms,
    loopDelayMaxMs: run.loopDelayMaxMs,
    sendLagP99Ms: run.sendLagP99Ms,
  };
}
