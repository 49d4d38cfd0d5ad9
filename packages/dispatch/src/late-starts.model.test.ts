import {createRandom} from '@siskinplank/foundation';
import type {Random} from '@siskinplank/foundation';
import {describe, expect, it} from 'vitest';
import {createDurationEstimator} from './duration-estimate';
import {computeLastStartAtMs} from './last-start';

/** Times after SIGTERM. */
const NOTICE_MS = 2_500;
const STOP_MS = 7_500;
const LATE_FROM_MS = 3_000;
const UPTIME_MS = 3_000;
const DEADLINE_MS = 15_000;
const TOKENS_PER_EVENT = 3;
const MAX_EVENTS = 185;
const COMMON_MAX_TOKENS = TOKENS_PER_EVENT * MAX_EVENTS;
/** Share of requests and time between two events, by model. */
const MODELS = [
  {name: 'm0', share: 0.443, eventMs: 9},
  {name: 'm1', share: 0.164, eventMs: 33},
  {name: 'm2', share: 0.123, eventMs: 33},
  {name: 'm3', share: 0.102, eventMs: 9},
  {name: 'm4', share: 0.089, eventMs: 33},
  {name: 'm5', share: 0.079, eventMs: 33},
];
const PER_SECOND = 25;
const LATE_PER_SECOND = 10;
const STOPS = 400;

interface Stream {
  arrivedAtMs: number;
  model: string;
  maxOutputTokens: number;
  firstByteMs: number;
  totalMs: number;
}

/** Streams of a stop, in order of arrival. */
function makeStreams(random: Random, hasCommonMaximum: boolean): Stream[] {
  const makeStream = (arrivedAtMs: number): Stream => {
    let left = random.getNext();
    const {name, eventMs} =
      MODELS.find(({share}) => (left -= share) < 0) ?? MODELS[0];
    const normal =
      Math.sqrt(-2 * Math.log(1 - random.getNext())) *
      Math.cos(2 * Math.PI * random.getNext());
    const events = Math.min(
      MAX_EVENTS,
      Math.max(1, Math.round(Math.exp(3.76 + 0.763 * normal))),
    );
    const firstByteMs = 100 + 200 * random.getNext();
    const ownMaximum = Math.ceil(
      TOKENS_PER_EVENT * events * (1 + 2 * random.getNext()),
    );
    return {
      arrivedAtMs,
      model: name,
      maxOutputTokens: hasCommonMaximum
        ? COMMON_MAX_TOKENS
        : Math.min(COMMON_MAX_TOKENS, ownMaximum),
      firstByteMs,
      totalMs: firstByteMs + events * eventMs,
    };
  };
  const streams: Stream[] = [];
  let atMs = -UPTIME_MS;
  while (atMs < STOP_MS) {
    const perSecond = atMs < NOTICE_MS ? PER_SECOND : LATE_PER_SECOND;
    atMs -= Math.log(1 - random.getNext()) * (1_000 / perSecond);
    if (atMs < NOTICE_MS || atMs >= LATE_FROM_MS)
      streams.push(makeStream(atMs));
  }
  return streams.filter(({arrivedAtMs}) => arrivedAtMs < STOP_MS);
}

/** What became of the streams that arrived after the notice. */
interface Tally {
  cut: number;
  endedInTime: number;
  refused: number;
}

/** Simulates stops in which each stream is started or refused when it arrives. */
function simulateStops(hasCommonMaximum: boolean): Tally {
  const random = createRandom(43);
  const tally = {cut: 0, endedInTime: 0, refused: 0};
  for (let stop = 0; stop < STOPS; stop += 1) {
    const estimator = createDurationEstimator();
    let running: Array<{stream: Stream; remove(): void}> = [];
    for (const stream of makeStreams(random, hasCommonMaximum)) {
      const {arrivedAtMs: nowMs, model, maxOutputTokens} = stream;
      running = running.filter(open => {
        if (open.stream.arrivedAtMs + open.stream.totalMs > nowMs) return true;
        open.remove();
        estimator.record(open.stream);
        return false;
      });
      const estimated = {model, maxOutputTokens, needsCertainty: true};
      const lastStartAtMs = computeLastStartAtMs({
        stopAtMs: STOP_MS,
        noticeEndsAtMs: NOTICE_MS,
        deadlineAtMs: nowMs + DEADLINE_MS,
        expectedMs: estimator.estimateMs(estimated),
        longestMs: estimator.estimateLongestMs(estimated, nowMs),
        needsCertainty: true,
      });
      const isStarted = nowMs < 0 || nowMs <= lastStartAtMs;
      if (isStarted) {
        const remove = estimator.addOpen({model, startedAtMs: nowMs});
        running.push({stream, remove});
      }
      if (nowMs < NOTICE_MS) continue;
      if (!isStarted) tally.refused += 1;
      else if (nowMs + stream.totalMs <= STOP_MS) tally.endedInTime += 1;
      else tally.cut += 1;
    }
  }
  return tally;
}

describe('streams that arrive after the notice of a gateway that ran for 3 s', () => {
  it.each([
    ['the same large maximum', true],
    ['a maximum that follows the length', false],
  ])('are not started to be cut when all name %s', (_, hasCommonMaximum) => {
    const {cut, endedInTime, refused} = simulateStops(hasCommonMaximum);
    expect(cut).toBe(0);
    expect(endedInTime).toBeGreaterThan(refused / 15);
  });
});
