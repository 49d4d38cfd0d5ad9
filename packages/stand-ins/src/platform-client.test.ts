import {
  LogLevel,
  createLogger,
  createMetrics,
  createRandom,
  createSystemClock,
} from '@siskinplank/foundation';
import {
  PlatformErrorCode,
  createPlatformClient,
} from '@siskinplank/platform-client';
import type {PlatformError, PlatformStore} from '@siskinplank/platform-client';
import {ResourceKind} from '@siskinplank/resources';
import type {Lease} from '@siskinplank/resources';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import type {StandIn} from './control';
import {startPlatformStandIn} from './platform';
import {listLog, sendFault} from './testing';

const NAME = 'upstream-Org/engine';
const makeLease = (renewal: number): Lease => ({
  name: NAME,
  holder: 'a',
  epoch: 1,
  durationMs: 1_000,
  renewal,
});

let platform: StandIn;
let store: PlatformStore;
beforeEach(async () => {
  platform = await startPlatformStandIn({watchHistoryEvents: 2});
  const clock = createSystemClock();
  store = createPlatformClient({
    address: {host: '127.0.0.1', port: platform.port},
    clock,
    random: createRandom(1),
    logger: createLogger({
      level: LogLevel.Error,
      write: () => undefined,
      getWallMs: clock.getWallMs,
    }),
    metrics: createMetrics(),
    writerId: 'test-1',
  });
});
afterEach(async () => {
  await store.close();
  await platform.close();
});

describe("the product's platform client against the stand-in", () => {
  // Guards against a client and a stand-in that disagree on the object API.
  it('writes, conflicts, lists, watches and deletes', async () => {
    const {Lease: kind} = ResourceKind;
    const created = await store.putObject(kind, NAME, makeLease(0), 'absent');
    expect(created.extract()).toMatchObject({name: NAME, version: 1});
    const conflict = await store.putObject(kind, NAME, makeLease(1), 'absent');
    const error = conflict.extract() as PlatformError;
    expect(error).toMatchObject({
      code: PlatformErrorCode.Conflict,
      current: {version: 1},
    });
    const list = await store.listObjects(kind);
    expect(list.extract()).toMatchObject({revision: 1, items: [{name: NAME}]});
    const watched = store.watchObjects([kind], 1, 5_000);
    expect((await store.deleteObject(kind, NAME, 1)).isRight()).toBe(true);
    expect((await watched).extract()).toMatchObject({
      revision: 2,
      events: [{type: 'delete', name: NAME}],
    });
    expect((await store.getObject(kind, NAME)).extract()).toBeUndefined();
    await sendFault(platform, {compact: true});
    const compacted = await store.watchObjects([kind], 1, 0);
    expect(compacted.extract()).toMatchObject({
      code: PlatformErrorCode.Compacted,
    });
    expect((await store.listHosts()).extract()).toEqual([]);
  });

  // Guards against a lost reply that the client reports as a failed write.
  it('reads back a write whose reply was lost', async () => {
    await sendFault(platform, {dropReplies: {count: 1}});
    const kind = ResourceKind.Lease;
    const written = await store.putObject(kind, NAME, makeLease(0), 'absent');
    expect(written.extract()).toMatchObject({version: 1});
    expect(await listLog(platform, 'reply-dropped')).toHaveLength(1);
  });

  // Guards against a list that loads every object of a kind at once, and
  // against pages that omit names.
  it('lists names and versions in pages', async () => {
    const {Lease: kind} = ResourceKind;
    for (const name of ['b', 'd', 'a', 'c']) {
      const value = {...makeLease(0), name};
      (await store.putObject(kind, name, value, 'absent')).unsafeCoerce();
    }
    const first = await store.listVersions(kind, '', 3);
    expect(first.unsafeCoerce()).toEqual({
      revision: 4,
      items: [
        {name: 'a', version: 3},
        {name: 'b', version: 1},
        {name: 'c', version: 4},
      ],
    });
    const last = await store.listVersions(kind, 'c', 3);
    expect(last.unsafeCoerce().items).toEqual([{name: 'd', version: 2}]);
  });
});
