/** Seeded traces of requests: bursty, skewed and with swings of demand. */
import {createRandom} from '@siskinplank/foundation';
import type {Random} from '@siskinplank/foundation';
import {PriorityClass} from '@siskinplank/resources';
import {
  BATCH_SIZE,
  COMPRESSION,
  ENGINE_TOKENS_PER_SECOND,
  formatAdapter,
  formatModel,
} from './deployments';
import type {Deployment} from './deployments';

/** One request of a trace. */
export interface TraceRequest {
  atMs: number;
  account: string;
  /** Model or adapter; empty for a call to a plain service. */
  target: string;
  priority: PriorityClass;
  prompt: string;
  maxTokens: number;
  /** Tokens that the limits count before the request runs. */
  estimatedTokens: number;
  deadlineMs: number;
}

/** Rate and burst of a client account. */
export interface AccountLimit {
  rateTokensPerSecond: number;
  burstTokens: number;
}

/** A part of the trace with another demand. */
export interface DemandSwing {
  model: number;
  factor: number;
  startMs: number;
  endMs: number;
}

/** A trace and the limits that it is evaluated against. */
export interface Trace {
  seed: number;
  warmUpMs: number;
  durationMs: number;
  requests: readonly TraceRequest[];
  limits: Readonly<Record<string, AccountLimit>>;
  swings: readonly DemandSwing[];
  /** Account that sends five times its rate, and when. */
  flood: {account: string; startMs: number; endMs: number};
}

/** Lengths of a trace. */
export interface TraceOptions {
  warmUpMs: number;
  durationMs: number;
}

const ZIPF_EXPONENT = 0.9;
/** Mean load as a share of what all engines make with full batches. */
const MEAN_LOAD = 0.5;
/** Factor between an account's rate and its mean use. */
const RATE_FACTOR = 2;
/** Time in which an idle account collects its burst. */
const BURST_SECONDS = 3;
const FLOOD_FACTOR = 5 * RATE_FACTOR;
const SWING_FACTOR = 10;
const SWING_COUNT = 5;
const BURST_ON_FACTOR = 1.7;
const BURST_OFF_FACTOR = 0.3;
const BURST_MEAN_MS = 4_000;
const ADAPTER_SHARE = 0.4;
const OVERNIGHT_SHARE = 0.25;
const SERVICE_SHARE = 0.03;
const AWAITED_DEADLINE_MS = 40_000 * COMPRESSION;
const OVERNIGHT_DEADLINE_MS = 60_000 * COMPRESSION;
const MIN_COMPLETION_TOKENS = 24;
const COMPLETION_TOKEN_RANGE = 49;
const SERVICE_TOKENS = 1;
const BYTES_PER_TOKEN = 4;
const PREFIX_WORDS = 60;
const QUESTION_WORDS = 20;

function makeExponential(random: Random, mean: number): number {
  return -Math.log(1 - random.getNext()) * mean;
}

function pickWeighted(random: Random, weights: readonly number[]): number {
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  let rest = random.getNext() * total;
  for (let index = 0; index < weights.length; index += 1) {
    rest -= weights[index];
    if (rest < 0) return index;
  }
  return weights.length - 1;
}

function makeWords(random: Random, count: number): string {
  return Array.from({length: count}, () => `w${random.getInteger(900)}`).join(
    ' ',
  );
}

function makeSwings(
  random: Random,
  models: number,
  {warmUpMs, durationMs}: TraceOptions,
): DemandSwing[] {
  return Array.from({length: SWING_COUNT}, (_, index) => {
    const startMs = warmUpMs + random.getNext() * durationMs * 0.5;
    const lengthMs = durationMs * (0.4 + random.getNext() * 0.2);
    // Cold models become hot, and one of the hot ones becomes cold.
    const isHot = index === 0;
    const model = isHot
      ? random.getInteger(3)
      : Math.floor(models / 3) + random.getInteger(Math.ceil(models / 2));
    const factor = isHot ? 1 / SWING_FACTOR : SWING_FACTOR;
    return {model, factor, startMs, endMs: startMs + lengthMs};
  });
}

interface Phase {
  untilMs: number;
  factor: number;
}

/** Alternates between bursts and idle times of random length. */
function makePhases(random: Random, endMs: number): Phase[] {
  const phases: Phase[] = [];
  let untilMs = 0;
  let isOn = random.getNext() < 0.5;
  while (untilMs < endMs) {
    untilMs += makeExponential(random, BURST_MEAN_MS);
    phases.push({untilMs, factor: isOn ? BURST_ON_FACTOR : BURST_OFF_FACTOR});
    isOn = !isOn;
  }
  return phases;
}

/** Makes the trace of a seed. */
export function makeTrace(
  deployment: Deployment,
  seed: number,
  options: TraceOptions,
): Trace {
  const random = createRandom(seed);
  const endMs = options.warmUpMs + options.durationMs;
  const capacity = deployment.engines * ENGINE_TOKENS_PER_SECOND;
  const meanTokens = MIN_COMPLETION_TOKENS + (COMPLETION_TOKEN_RANGE - 1) / 2;
  const requestsPerMs = (capacity * MEAN_LOAD) / meanTokens / 1_000;
  const zipf = Array.from({length: deployment.models}, (_, index) =>
    Math.pow(index + 1, -ZIPF_EXPONENT),
  );
  const swings = makeSwings(random, deployment.models, options);
  const prefixes = zipf.map(() => makeWords(random, PREFIX_WORDS));
  const accounts = Object.keys(deployment.accountShares);
  const flood = {
    account: accounts[1],
    startMs: options.warmUpMs + options.durationMs * 0.4,
    endMs: options.warmUpMs + options.durationMs * 0.6,
  };
  const pickModel = (atMs: number): number =>
    pickWeighted(
      random,
      zipf.map((weight, model) =>
        swings
          .filter(
            swing =>
              swing.model === model &&
              swing.startMs <= atMs &&
              atMs < swing.endMs,
          )
          .reduce((product, {factor}) => product * factor, weight),
      ),
    );
  const makeRequest = (account: string, atMs: number): TraceRequest => {
    const isOvernight = random.getNext() < OVERNIGHT_SHARE;
    const priority = isOvernight
      ? PriorityClass.Overnight
      : PriorityClass.Awaited;
    const deadlineMs = isOvernight
      ? OVERNIGHT_DEADLINE_MS
      : AWAITED_DEADLINE_MS;
    if (random.getNext() < SERVICE_SHARE) {
      return {
        atMs,
        account,
        target: '',
        priority: PriorityClass.Awaited,
        prompt: '',
        maxTokens: 0,
        estimatedTokens: SERVICE_TOKENS,
        deadlineMs: AWAITED_DEADLINE_MS,
      };
    }
    const model = pickModel(atMs);
    const prompt = `${prefixes[model]} ${makeWords(random, QUESTION_WORDS)}`;
    const maxTokens =
      MIN_COMPLETION_TOKENS + random.getInteger(COMPLETION_TOKEN_RANGE);
    const perModel = Math.floor(deployment.adapters / deployment.models);
    const adapter = model + deployment.models * random.getInteger(perModel);
    const target =
      random.getNext() < ADAPTER_SHARE
        ? formatAdapter(adapter)
        : formatModel(model);
    const estimatedTokens =
      Math.ceil(Buffer.byteLength(prompt) / BYTES_PER_TOKEN) + maxTokens;
    return {
      atMs,
      account,
      target,
      priority,
      prompt,
      maxTokens,
      estimatedTokens,
      deadlineMs,
    };
  };
  const requests: TraceRequest[] = [];
  for (const account of accounts) {
    const base = requestsPerMs * deployment.accountShares[account];
    const phases = makePhases(random, endMs);
    const peak = base * Math.max(BURST_ON_FACTOR, FLOOD_FACTOR);
    // Thinning: candidates at the peak rate, kept by the rate at their time.
    for (
      let atMs = makeExponential(random, 1 / peak);
      atMs < endMs;
      atMs += makeExponential(random, 1 / peak)
    ) {
      const isFlood =
        account === flood.account &&
        atMs >= flood.startMs &&
        atMs < flood.endMs;
      const phase = phases.find(({untilMs}) => atMs < untilMs);
      const factor = isFlood ? FLOOD_FACTOR : (phase?.factor ?? 1);
      if (random.getNext() * peak >= base * factor) continue;
      requests.push(makeRequest(account, atMs));
    }
  }
  requests.sort((a, b) => a.atMs - b.atMs);
  const meanEstimate =
    requests.reduce((sum, request) => sum + request.estimatedTokens, 0) /
    Math.max(1, requests.length);
  const limits: Record<string, AccountLimit> = {};
  for (const account of accounts) {
    const rateTokensPerSecond = Math.round(
      requestsPerMs *
        1_000 *
        deployment.accountShares[account] *
        meanEstimate *
        RATE_FACTOR,
    );
    // Small accounts still need room for one full batch of requests.
    const burstTokens = Math.max(
      rateTokensPerSecond * BURST_SECONDS,
      Math.ceil(meanEstimate * BATCH_SIZE),
    );
    limits[account] = {rateTokensPerSecond, burstTokens};
  }
  return {seed, ...options, requests, limits, swings, flood};
}
