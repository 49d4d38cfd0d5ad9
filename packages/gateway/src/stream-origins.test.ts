import {StoreFailureCode} from '@siskinplank/directory';
import {createManualClock, waitForPoll} from '@siskinplank/foundation';
import type {Logger} from '@siskinplank/foundation';
import {MessageType} from '@siskinplank/messages';
import type {Message} from '@siskinplank/messages';
import {RequestKind, UpstreamState} from '@siskinplank/serving';
import type {CallerRequest, Upstream} from '@siskinplank/serving';
import {
  ORIGIN_KEEP_MS,
  OriginSource,
  OriginVerdictType,
  listOrigins,
} from '@siskinplank/stream-origins';
import type {OriginVerdict} from '@siskinplank/stream-origins';
import {MemorySharedObjectStore} from '@siskinplank/testing';
import {Left} from 'purify-ts';
import {beforeEach, describe, expect, it} from 'vitest';
import type {AdmittedTarget} from './admission';
import {STREAM_ORIGINS_KIND} from './origin-store';
import {createStreamOrigins} from './stream-origins';
import type {StreamOrigins} from './stream-origins';

const SERVICE = 's';
/** Several periods of messages and writes. */
const SPREAD_MS = 2_000;

const SILENT_LOGGER: Logger = {
  log: () => undefined,
  withFields: () => SILENT_LOGGER,
};

function makeTarget(...services: string[]): AdmittedTarget {
  const route = {
    name: 'r',
    kind: RequestKind.Stream,
    isResumable: true,
    services: services.map(service => ({service, weight: 1})),
  };
  return {service: services[0], route} as unknown as AdmittedTarget;
}

const target = makeTarget(SERVICE);

function makeRequest(
  attemptId: string,
  resumedAttemptId?: string,
): CallerRequest {
  const lastEventId = resumedAttemptId === undefined ? undefined : '3';
  return {attemptId, resumedAttemptId, lastEventId} as CallerRequest;
}

function listUpstreams(versions: readonly string[]): Upstream[] {
  return versions.map(
    softwareVersion =>
      ({
        service: SERVICE,
        softwareVersion,
        state: UpstreamState.Ready,
      }) as Upstream,
  );
}

describe('origins of streams among gateways', () => {
  let objects: MemorySharedObjectStore;
  let clock: ReturnType<typeof createManualClock>;
  let gateways: Map<string, StreamOrigins>;
  let messageCount: number;
  let sentAttemptIds: string[];
  let isConnected: boolean;

  beforeEach(() => {
    objects = new MemorySharedObjectStore();
    clock = createManualClock();
    gateways = new Map();
    messageCount = 0;
    sentAttemptIds = [];
    isConnected = true;
  });

  /** Lets messages, calls and timers of `forMs` run. */
  const run = async (forMs = SPREAD_MS): Promise<void> => {
    for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += 100) {
      await waitForPoll();
      await clock.runFor(100);
    }
    await waitForPoll();
  };

  const startGateway = (
    name: string,
    versions: readonly string[],
  ): StreamOrigins => {
    const deliver = (to: string, message: Message): boolean => {
      messageCount += 1;
      if (message.type === MessageType.StreamOrigins) {
        const sent = listOrigins(message.origins);
        sentAttemptIds.push(...sent.map(([attemptId]) => attemptId));
      }
      return gateways.get(to)?.handleMessage(name, message) ?? false;
    };
    const origins = createStreamOrigins({
      objects,
      ownName: name,
      retryDelayMs: 50,
      clock,
      logger: SILENT_LOGGER,
      isStoreConfirmed: () => isConnected,
      getFleet: () => ({
        registry: {listOthers: () => Array(gateways.size - 1) as never[]},
        peers: {listResponsive: () => []},
        sendTo: deliver,
        sendToAll: message => {
          for (const other of gateways.keys()) {
            if (gateways.get(name) === origins && other !== name) {
              deliver(other, message);
            }
          }
        },
      }),
    });
    gateways.set(name, origins);
    origins.start();
    origins.observeUpstreams(listUpstreams(versions), clock.getNowMs());
    return origins;
  };

  /** Shows the route, and another service with a version of its own. */
  const observeOther = (
    origins: StreamOrigins,
    {route}: AdmittedTarget,
  ): void => {
    const other = {...listUpstreams(['2'])[0], service: 'other'};
    const usable = [...listUpstreams(['1']), other];
    origins.observeUpstreams(usable, clock.getNowMs());
    origins.observeRoutes([route], clock.getNowMs());
  };

  const killAll = (): void => {
    for (const origins of gateways.values()) origins.stop();
    gateways.clear();
  };

  const begin = (
    origins: StreamOrigins,
    attemptId: string,
    softwareVersion: string,
  ): void =>
    origins.recordBegun(makeRequest(attemptId), {
      service: SERVICE,
      softwareVersion,
    });

  const find = (
    origins: StreamOrigins,
    resumedAttemptId: string,
    chosen = target,
  ): OriginVerdict | undefined =>
    origins.findOrigin(
      makeRequest('later', resumedAttemptId),
      chosen,
      clock.getNowMs(),
    );

  const known = (
    softwareVersion: string,
    source = OriginSource.Record,
  ): OriginVerdict => ({
    type: OriginVerdictType.Known,
    origin: {service: SERVICE, softwareVersion},
    source,
  });
  const only = (softwareVersion: string): OriginVerdict =>
    known(softwareVersion, OriginSource.OnlyVersion);
  const unknown = {type: OriginVerdictType.Unknown};

  it('are known to the others when their gateway is killed', async () => {
    const first = startGateway('g1', ['1', '2']);
    const second = startGateway('g2', ['1', '2']);
    await run();
    begin(first, 'a', '1');
    begin(first, 'b', '2');
    await run(200);
    gateways.delete('g1');
    expect(find(second, 'a')).toEqual(known('1'));
    expect(find(second, 'b')).toEqual(known('2'));
    expect(find(second, 'c')).toEqual(unknown);
  });

  // Guards against a record that a request replaces which starts from the beginning.
  it('stay those of an attempt that a request names without a last event', async () => {
    const origins = startGateway('g1', ['1', '2']);
    await run();
    begin(origins, 'a', '1');
    const request = {...makeRequest('b', 'a'), lastEventId: undefined};
    origins.recordBegun(request, {service: SERVICE, softwareVersion: '2'});
    expect(find(origins, 'a')).toEqual(known('1'));
    expect(find(origins, 'b')).toEqual(known('2'));
  });

  // Guards against streams that are open when the second version comes.
  it('are sent also of streams that began before the second version', async () => {
    const first = startGateway('g1', ['1']);
    const second = startGateway('g2', ['1']);
    await run();
    begin(first, 'a', '1');
    await run();
    first.observeUpstreams(listUpstreams(['1', '2']), clock.getNowMs());
    await run(200);
    expect(find(second, 'a')).toEqual(known('1'));
  });

  // Guards against streams refused after a freeze or a kill of their gateway.
  it('are known to the others though their gateway stands still before the second version comes', async () => {
    const first = startGateway('g1', ['1']);
    const second = startGateway('g2', ['1']);
    await run();
    begin(first, 'a', '1');
    await run(200);
    gateways.delete('g1');
    second.observeUpstreams(listUpstreams(['1', '2']), clock.getNowMs());
    expect(find(second, 'a')).toEqual(known('1'));
  });

  // Guards against a gateway that refuses the streams of its former process.
  it('are returned to the next process of a gateway that was killed before the second version', async () => {
    const first = startGateway('g1', ['1']);
    const [second, third] = ['g2', 'g3'].map(name => startGateway(name, ['1']));
    await run();
    begin(first, 'a', '1');
    await run(200);
    first.stop();
    const restarted = startGateway('g1', ['1']);
    second.handleConnected('g1');
    await run(200);
    gateways.delete('g3');
    for (const origins of [second, restarted]) {
      origins.observeUpstreams(listUpstreams(['1', '2']), clock.getNowMs());
      expect(find(origins, 'a')).toEqual(known('1'));
    }
    expect(find(third, 'a')).toEqual(known('1'));
  });

  it('are sent to a gateway that connects later', async () => {
    const first = startGateway('g1', ['1', '2']);
    begin(first, 'a', '1');
    await run();
    const second = startGateway('g2', ['1', '2']);
    first.handleConnected('g2');
    expect(find(second, 'a')).toEqual(known('1'));
  });

  // Guards against a gateway that misses the message on the second version.
  it('are unknown to a gateway whose link was closed when the second version came', async () => {
    const first = startGateway('g1', ['1']);
    const second = startGateway('g2', ['1']);
    await run();
    gateways.delete('g2');
    first.observeUpstreams(listUpstreams(['1', '2']), clock.getNowMs());
    await run();
    gateways.set('g2', second);
    first.handleConnected('g2');
    expect(find(second, 'a')).toEqual(unknown);
  });

  // All gateways are killed at once, twice, while the old version leaves.
  it('outlast all gateways, also when the old version has left', async () => {
    for (const name of ['g1', 'g2']) startGateway(name, ['1', '2']);
    await run();
    const first = gateways.get('g1') as StreamOrigins;
    begin(first, 'a', '1');
    begin(first, 'b', '2');
    await run();
    for (let kills = 0; kills < 2; kills += 1) {
      killAll();
      const restarted = ['g1', 'g2'].map(name => startGateway(name, ['2']));
      await run();
      for (const origins of restarted) {
        expect(find(origins, 'a')).toEqual(known('1'));
        expect(find(origins, 'b')).toEqual(known('2'));
        expect(find(origins, 'c')).toEqual(unknown);
      }
    }
  });

  it('are that of the only version for all others once the old one has left for long', async () => {
    const origins = startGateway('g1', ['1', '2']);
    await run();
    for (let elapsedMs = 0; elapsedMs <= ORIGIN_KEEP_MS; elapsedMs += 2_000) {
      origins.observeUpstreams(listUpstreams(['2']), clock.getNowMs());
      await run();
    }
    expect(find(origins, 'c')).toEqual(only('2'));
    await run();
    killAll();
    const restarted = startGateway('g1', ['2']);
    await run();
    expect(find(restarted, 'c')).toEqual(only('2'));
  });

  // Guards against messages that grow with the number of streams in calm.
  it('cost one write and ten messages a second that name each once while there is one version', async () => {
    const revision = (await objects.listObjects(STREAM_ORIGINS_KIND)).extract();
    const origins = startGateway('g1', ['1']);
    startGateway('g2', ['1']);
    const attemptIds = Array.from({length: 500}, (_, count) => `a${count}`);
    for (const attemptId of attemptIds) {
      begin(origins, attemptId, '1');
      await run(10);
    }
    await run();
    const after = (await objects.listObjects(STREAM_ORIGINS_KIND)).extract();
    expect(messageCount).toBeGreaterThan(0);
    expect(messageCount).toBeLessThanOrEqual(1 + clock.getNowMs() / 100);
    expect(sentAttemptIds.sort()).toEqual(attemptIds.sort());
    expect(revision).toMatchObject({revision: 1});
    expect(after).toMatchObject({revision: 3});
    expect(find(origins, 'unknown')).toEqual(only('1'));
  });

  it('are unknown before the stored ones are read, and to a gateway that is cut off', async () => {
    const origins = startGateway('g1', ['1']);
    expect(find(origins, 'a')).toEqual(unknown);
    await run();
    expect(find(origins, 'a')).toEqual(only('1'));
    isConnected = false;
    expect(find(origins, 'a')).toEqual(unknown);
  });

  it('are stored again in a store restored from an older copy', async () => {
    const copy = objects.takeCopy();
    begin(startGateway('g1', ['1', '2']), 'a', '1');
    await run();
    objects.restore(copy);
    await run();
    killAll();
    const restarted = startGateway('g1', ['2']);
    await run();
    expect(find(restarted, 'a')).toEqual(known('1'));
  });

  // Guards against streams joined from two services of a route, one version each.
  it('are known among the services of a split route, or unknown', async () => {
    const split = makeTarget(SERVICE, 'other');
    const [first, second] = ['g1', 'g2'].map(name => startGateway(name, ['1']));
    for (const origins of [first, second]) observeOther(origins, split);
    await run();
    begin(first, 'a', '1');
    await run(200);
    gateways.delete('g1');
    const chosen = {...split, service: 'other'};
    expect(find(second, 'a', chosen)).toEqual(known('1'));
    expect(find(second, 'c', chosen)).toEqual(unknown);
  });

  // Guards against a stream that goes on where its route has been moved to.
  it('are not taken for those of the service to which the route was moved', async () => {
    const moved = makeTarget('other');
    for (let kills = 0; kills < 2; kills += 1) {
      const origins = startGateway('g1', ['1']);
      if (kills === 0) observeOther(origins, target);
      observeOther(origins, moved);
      await run();
      expect(find(origins, 'c', moved)).toEqual(unknown);
      killAll();
    }
  });

  // Guards against a record that no gateway removes any more.
  it('are removed with their gateway also when the store is silent at first', async () => {
    startGateway('gone', ['1']);
    await run();
    killAll();
    const origins = startGateway('g1', ['2']);
    const listObjects = objects.listObjects.bind(objects);
    objects.listObjects = () =>
      Promise.resolve(
        Left({code: StoreFailureCode.NoAnswer, reason: 'silent'}),
      );
    origins.removeGateway('gone');
    await run();
    objects.listObjects = listObjects;
    await run();
    const listed = await objects.listObjects(STREAM_ORIGINS_KIND);
    expect(listed.unsafeCoerce().items.map(({name}) => name)).toEqual(['g1']);
  });

  // Guards against calls that add up while the store is silent.
  it('of one gateway are removed once at a time', async () => {
    const origins = startGateway('g1', ['1']);
    await run();
    let listCount = 0;
    objects.listObjects = () => {
      listCount += 1;
      return Promise.resolve(
        Left({code: StoreFailureCode.NoAnswer, reason: 'silent'}),
      );
    };
    origins.removeGateway('gone');
    await run();
    const firstCount = listCount;
    origins.removeGateway('gone');
    await run();
    expect(listCount).toBeLessThanOrEqual(firstCount * 2);
  });

  it('are not asked for by requests that resume no stream', async () => {
    const origins = startGateway('g1', ['1', '2']);
    await run();
    const request = makeRequest('a');
    expect(origins.findOrigin(request, target, 0)).toBeUndefined();
  });
});
