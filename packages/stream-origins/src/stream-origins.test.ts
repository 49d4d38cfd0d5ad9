import {describe, expect, it} from 'vitest';
import {OriginSource, OriginVerdictType, resolveOrigin} from './resolve-origin';
import {decodeOriginRecord, encodeOriginRecord} from './origin-record';
import {planOriginSchedule} from './origin-schedule';
import {ORIGIN_KEEP_MS, createOriginTable} from './origin-table';
import type {StreamOrigin} from './origin-table';
import {createVersionHistory} from './version-history';

const OLD: StreamOrigin = {service: 's', softwareVersion: '1'};
const NEW: StreamOrigin = {service: 's', softwareVersion: '2'};
const OTHER: StreamOrigin = {service: 'other', softwareVersion: '1'};
/** Within it, a caller may not have read the end of a stream that it was sent. */
const COMPLETED_MS = 2_000;

describe('origins of streams', () => {
  it('are found until callers have stopped waiting', () => {
    const table = createOriginTable();
    table.addOwn('a', OLD, 0);
    expect(table.find('a', ORIGIN_KEEP_MS)).toEqual(OLD);
    expect(table.find('a', ORIGIN_KEEP_MS + 1)).toBeUndefined();
    expect(table.find('b', 0)).toBeUndefined();
  });

  // Guards against a gateway that forgets at its second restart what it read.
  it('stay own ones when another gateway reports them', () => {
    const table = createOriginTable();
    table.addOwn('a', OLD, 0);
    table.addReported('a', NEW, 'g2', 1);
    table.addReported('b', NEW, 'g2', 1);
    expect(table.listOwnOpen(2)).toEqual([['a', OLD]]);
    expect(table.find('a', 2)).toEqual(OLD);
    expect(table.find('b', 2)).toEqual(NEW);
  });

  it('are stored until the stream was sent whole', () => {
    const table = createOriginTable();
    table.addOwn('a', OLD, 0);
    table.addOwn('b', OLD, 0);
    table.complete('a', 10);
    expect(table.listOwnOpen(10 + COMPLETED_MS - 1)).toHaveLength(2);
    expect(table.listOwnOpen(10 + COMPLETED_MS)).toEqual([['b', OLD]]);
    expect(table.find('a', 10 + COMPLETED_MS)).toEqual(OLD);
  });

  // Guards against callers who fill the memory with long ids.
  it('are not kept under ids that are longer than any gateway sends', () => {
    const table = createOriginTable();
    table.addOwn('a'.repeat(257), OLD, 0);
    expect(table.count()).toBe(0);
  });

  it('give way to newer ones, the oldest first', () => {
    const table = createOriginTable(2);
    for (const id of ['a', 'b', 'c']) table.addOwn(id, OLD, 0);
    expect(table.count()).toBe(2);
    expect(table.find('a', 0)).toBeUndefined();
  });

  it('are read as they were stored, and odd content is not', () => {
    const origins: Array<[string, StreamOrigin]> = [
      ['a', OLD],
      ['b', {service: '__proto__', softwareVersion: 'constructor'}],
    ];
    const record = {versions: {s: ['1', '2']}, routes: {r: ['s']}, origins};
    const stored: unknown = JSON.parse(
      JSON.stringify(encodeOriginRecord(record)),
    );
    expect(decodeOriginRecord(stored).extract()).toMatchObject({
      versions: record.versions,
      routes: record.routes,
      origins: expect.arrayContaining([['a', OLD]]),
    });
    for (const odd of [null, [], {}, {versions: [], origins: 1}]) {
      expect(decodeOriginRecord(odd).isLeft()).toBe(true);
    }
  });
});

describe('software versions of a service', () => {
  it('are mixed until streams of the former one have ended', () => {
    const history = createVersionHistory();
    history.observe('s', '1', 0);
    expect(history.isMixed('s', 0)).toBe(false);
    history.observe('s', '2', 10);
    expect(history.listRecent('s', ORIGIN_KEEP_MS)).toEqual(['1', '2']);
    expect(history.listRecent('s', ORIGIN_KEEP_MS + 1)).toEqual(['2']);
  });

  // Guards against gateways that tell each other forever of a former version.
  it('are not renewed by reports of earlier sights', () => {
    const first = createVersionHistory();
    const second = createVersionHistory();
    first.observe('s', '1', 0);
    for (let nowMs = 0; nowMs < 3 * ORIGIN_KEEP_MS; nowMs += 1_000) {
      const [from, to] =
        nowMs % 2_000 === 0 ? [first, second] : [second, first];
      const ages = Object.entries(from.describeAges(nowMs).s ?? {});
      for (const [version, ageMs] of ages) {
        to.observe('s', version, nowMs - ageMs);
      }
    }
    expect(second.listRecent('s', 3 * ORIGIN_KEEP_MS)).toEqual([]);
  });
});

describe('place where a resumed stream goes on', () => {
  const input = {
    origin: undefined,
    routeServices: ['s'],
    recentOrigins: [OLD],
    isInformed: true,
  };

  it('is the version that began it, whatever serves now', () => {
    const known = {...input, origin: OLD, recentOrigins: [NEW]};
    expect(resolveOrigin(known)).toEqual({
      type: OriginVerdictType.Known,
      origin: OLD,
      source: OriginSource.Record,
    });
  });

  it('is the only version of the last minute for one that is not known', () => {
    expect(resolveOrigin(input)).toEqual({
      type: OriginVerdictType.Known,
      origin: OLD,
      source: OriginSource.OnlyVersion,
    });
  });

  it.each([
    ['two versions may have begun it', {recentOrigins: [OLD, NEW]}],
    ['two services may have begun it', {recentOrigins: [OLD, OTHER]}],
    ['a version may have come or gone unseen', {isInformed: false}],
    ['no upstream was seen yet', {recentOrigins: []}],
  ])('is unknown if %s', (_case, change) => {
    expect(resolveOrigin({...input, ...change})).toEqual({
      type: OriginVerdictType.Unknown,
    });
  });

  it('is none if the route leads to other services now', () => {
    const moved = {...input, origin: OLD, routeServices: ['other']};
    expect(resolveOrigin(moved)).toEqual({type: OriginVerdictType.NotServed});
    const unknown = {...input, recentOrigins: [OTHER]};
    expect(resolveOrigin(unknown)).toEqual({type: OriginVerdictType.NotServed});
  });
});

describe('messages and writes with origins', () => {
  it.each([1, 5, 25, 68])('are bounded for a fleet of %i', gatewayCount => {
    const {messagePeriodMs, storePeriodMs} = planOriginSchedule(gatewayCount);
    const received = ((gatewayCount - 1) * 1_000) / messagePeriodMs;
    // Two a second of each other gateway, in a fleet of more than fifty.
    const maxReceived = Math.max(100, 2 * (gatewayCount - 1));
    expect(received).toBeLessThanOrEqual(maxReceived);
    expect((gatewayCount * 1_000) / storePeriodMs).toBeLessThanOrEqual(20);
  });
});
