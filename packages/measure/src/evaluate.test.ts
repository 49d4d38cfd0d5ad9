import {expect, it} from 'vitest';
import {PriorityClass, RefusalCode} from '@siskinplank/resources';
import {
  computeLargestExcess,
  countRefusedInside,
  isAttained,
  markInsideRate,
} from './evaluate';
import type {RequestOutcome} from './send-request';
import type {Trace, TraceRequest} from './trace';

const makeRequest = (changes: Partial<TraceRequest> = {}): TraceRequest => ({
  atMs: 0,
  account: 'a',
  target: 'm',
  priority: PriorityClass.Awaited,
  prompt: '',
  maxTokens: 10,
  estimatedTokens: 10,
  deadlineMs: 1_000,
  ...changes,
});
const makeOutcome = (
  changes: Partial<RequestOutcome> = {},
): RequestOutcome => ({
  index: 0,
  sentAtMs: 0,
  headAtMs: 1,
  firstTokenAtMs: 10,
  endAtMs: 20,
  status: 200,
  code: '',
  isComplete: true,
  tokens: 10,
  promptTokens: 0,
  betweenTokensP95Ms: 1,
  ...changes,
});
const makeTrace = (requests: TraceRequest[]): Trace => ({
  seed: 1,
  warmUpMs: 0,
  durationMs: 1_000,
  requests,
  limits: {a: {rateTokensPerSecond: 10, burstTokens: 20}},
  swings: [],
  flood: {account: 'b', startMs: 0, endMs: 0},
});

// Guards against a reference bucket that refills too fast or beyond its burst.
it('marks the requests that fit into rate and burst', () => {
  const times = [0, 0, 0, 1_000, 9_000, 9_000, 9_000];
  const trace = makeTrace(times.map(atMs => makeRequest({atMs})));
  expect(markInsideRate(trace)).toEqual([
    ...[true, true, false, true],
    ...[true, true, false],
  ]);
});

// Guards against counting refusals that the limit demanded.
it('counts only refusals for which the account had the tokens', () => {
  const trace = makeTrace([0, 0, 0].map(atMs => makeRequest({atMs})));
  const refused = makeOutcome({status: 429, code: RefusalCode.RateLimited});
  const answered = makeOutcome();
  const count = (...outcomes: RequestOutcome[]): number =>
    countRefusedInside(trace, outcomes);
  expect(count(answered, answered, refused)).toBe(0);
  expect(count(answered, refused, answered)).toBe(1);
});

// Guards against a check that misses use over the limit, and against one that
// reports a valid use whose admission time is not known exactly.
it('finds use beyond rate and burst in any window', () => {
  const limit = {rateTokensPerSecond: 10, burstTokens: 20};
  const makeUse = (fromMs: number, toMs: number, tokens: number) => ({
    ...{fromMs, toMs, tokens},
  });
  const valid = [makeUse(0, 0, 20), makeUse(0, 1_000, 10)];
  expect(computeLargestExcess(valid, limit)).toBe(0);
  const over = [...valid, makeUse(500, 900, 15)];
  expect(computeLargestExcess(over, limit)).toBe(15);
});

// Guards against late, cut or slow answers that count as attained.
it('evaluates a response by its class', () => {
  const awaited = makeRequest();
  expect(isAttained(awaited, makeOutcome())).toBe(true);
  const late = makeOutcome({firstTokenAtMs: 900});
  expect(isAttained(awaited, late)).toBe(false);
  const slow = makeOutcome({betweenTokensP95Ms: 40});
  expect(isAttained(awaited, slow)).toBe(false);
  expect(isAttained(awaited, makeOutcome({isComplete: false}))).toBe(false);
  const overnight = makeRequest({priority: PriorityClass.Overnight});
  expect(isAttained(overnight, makeOutcome({firstTokenAtMs: 900}))).toBe(true);
  expect(isAttained(overnight, makeOutcome({endAtMs: 1_001}))).toBe(false);
});
