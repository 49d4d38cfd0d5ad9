import {createSystemClock} from '@siskinplank/foundation';
import fc from 'fast-check';
import {Packr} from 'msgpackr';
import {describe, expect, it} from 'vitest';
import {decodeMessage} from './codec';
import {countValues} from './value-count';
import {FreshnessState, MessageType} from './enums';

const clock = createSystemClock();
const packr = new Packr({useRecords: false});
/** Time of one turn of the event loop for the largest faulty frame. */
const MAX_DECODE_MS = 120;
const TIMEOUT_MS = 60_000;
const ROUNDS = 5;
const COUNT = 200_000;

const DELTA = {
  type: MessageType.ConfigDelta,
  fromRevision: 0,
  revision: 1,
  freshness: {state: FreshnessState.Confirmed, ageMs: 0},
  isWatcher: true,
};
const fill = (value: unknown): unknown[] => new Array(COUNT).fill(value);
const fillMap = (value: unknown): object =>
  Object.fromEntries(
    Array.from({length: 30_000}, (_item, index) => [`k${index}`, value]),
  );

/** Bytes `head`, then `count` times the byte `value`. */
const repeat = (head: number[], count: number, value: number): Buffer =>
  Buffer.concat([Buffer.from(head), Buffer.alloc(count, value)]);

function countPacked(value: unknown): number {
  if (typeof value !== 'object' || value === null) return 1;
  if (value instanceof Uint8Array) return 1;
  if (Array.isArray(value)) {
    return value.reduce((sum: number, item) => sum + countPacked(item), 1);
  }
  return Object.values(value).reduce(
    (sum: number, item) => sum + 1 + countPacked(item),
    1,
  );
}

/** Returns the shortest time of several, which other processes lengthen. */
function measureRejection(frame: Uint8Array): number {
  let shortestMs = Infinity;
  for (let round = 0; round < ROUNDS; round += 1) {
    const startedAtMs = clock.getNowMs();
    const decoded = decodeMessage(frame);
    shortestMs = Math.min(shortestMs, clock.getNowMs() - startedAtMs);
    expect(decoded.isLeft()).toBe(true);
  }
  return shortestMs;
}

describe('head of a response', () => {
  // Guards against a status that a caller gets as an answer, or that Node.js
  // refuses to write.
  it.each([0, 99, 101, 150, 199, 600, 999, 200.5])(
    'is refused with status %s',
    status => {
      const head = {
        type: MessageType.ResponseHead,
        attemptId: 'a',
        sideIncarnation: 's',
        headers: {},
      };
      const decode = (value: number) =>
        decodeMessage(packr.pack({...head, status: value}));
      expect(decode(200).isRight()).toBe(true);
      expect(decode(599).isRight()).toBe(true);
      expect(decode(status).isLeft()).toBe(true);
    },
  );
});

describe('faulty frame', () => {
  // Guards against a peer that holds up the event loop or uses up the memory.
  it.each([
    ['members', {type: MessageType.MemberDigest, members: fill(null)}],
    ['entries', {...DELTA, entries: fill({})}],
    ['headers', {type: MessageType.ResponseHead, headers: fillMap(null)}],
    ['open requests', {type: MessageType.GatewayState, open: fillMap([1])}],
    ['endings', {type: MessageType.GatewayState, poison: {endings: fill([])}}],
    ['reports', {type: MessageType.GrantReturn, reports: fill({a: 1})}],
  ])(
    'of many invalid values is rejected at the first: %s',
    (_name, message) => {
      expect(measureRejection(packr.pack(message))).toBeLessThan(MAX_DECODE_MS);
    },
    TIMEOUT_MS,
  );

  it.each([
    ['empty maps', repeat([0xdd, 0, 0x7a, 0, 0], 8_000_000, 0x80)],
    ['empty lists', repeat([0xdd, 0, 0x7a, 0, 0], 8_000_000, 0x90)],
    ['nested lists', repeat([], 8_000_000, 0x91)],
    ['a list that is declared longer', repeat([0xdd, 1, 0, 0, 0], 10, 0xc0)],
    ['a map that is declared longer', repeat([0xdf, 1, 0, 0, 0], 10, 0xc0)],
  ])(
    'of many values is not unpacked: %s',
    (_name, frame) => {
      expect(measureRejection(frame)).toBeLessThan(MAX_DECODE_MS);
    },
    TIMEOUT_MS,
  );

  // Guards against a count that differs from what the decoder reads.
  it('has as many values as are counted', () => {
    const text = fc.string({maxLength: 400, size: 'max'});
    const value = fc.oneof(
      fc.jsonValue(),
      fc.uint8Array({maxLength: 70_000, size: 'max'}),
      fc.double(),
      fc.maxSafeInteger(),
      fc.array(fc.constant(1), {maxLength: 70_000, size: 'max'}),
      fc.dictionary(text, text, {maxKeys: 20}),
    );
    fc.assert(
      fc.property(value, packed => {
        const counted = countPacked(packed);
        expect(countValues(packr.pack([packed, 'end']))).toBe(counted + 2);
      }),
      {numRuns: 300},
    );
  });

  it.each([
    ['a date', new Date(1_000)],
    ['a long text', 'x'.repeat(70_000)],
    ['null', null],
  ])('counts %s as one value', (_name, value) => {
    expect(countValues(packr.pack([value, value]))).toBe(3);
  });
});
