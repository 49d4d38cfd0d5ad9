import {StoreFailureCode} from '@siskinplank/directory';
import {decodeMessage, encodeMessage} from '@siskinplank/messages';
import type {Message} from '@siskinplank/messages';
import {ORIGIN_KEEP_MS, OriginVerdictType} from '@siskinplank/stream-origins';
import type {OriginVerdict} from '@siskinplank/stream-origins';
import {Left} from 'purify-ts';
import {beforeEach, describe, expect, it} from 'vitest';
import type {AdmittedTarget} from './admission';
import {STREAM_ORIGINS_KIND} from './origin-store';
import type {StreamOrigins} from './stream-origins';
import {
  SERVICE,
  startStream,
  createOriginFleet,
  defaultTarget,
  listUpstreams,
  makeKnown,
  makeOnly,
  makeRequest,
  makeTarget,
  resumeStream,
} from './testing/origin-fleet';
import type {OriginFleet} from './testing/origin-fleet';

describe('origins of streams among gateways', () => {
  let fleet: OriginFleet;
  let objects: OriginFleet['objects'];
  let clock: OriginFleet['clock'];
  let gateways: OriginFleet['gateways'];

  beforeEach(() => {
    fleet = createOriginFleet();
    ({objects, clock, gateways} = fleet);
  });

  const run = (forMs?: number): Promise<void> => fleet.run(forMs);

  const startGateway = (
    name: string,
    versions: readonly string[],
  ): StreamOrigins => fleet.startGateway(name, versions);

  const killAll = (): void => fleet.killAll();

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

  const find = (
    origins: StreamOrigins,
    resumedAttemptId: string,
    chosen = defaultTarget,
  ): OriginVerdict | undefined => {
    const nowMs = clock.getNowMs();
    const request = makeRequest('later', resumedAttemptId);
    return origins.findOrigin(request, chosen, nowMs, nowMs);
  };

  /** Finds it as the request handler does, which may read the store again. */
  const resume = async (
    origins: StreamOrigins,
    resumedAttemptId: string,
    chosen = defaultTarget,
  ): Promise<OriginVerdict | undefined> => {
    const resumed = resumeStream(fleet, origins, resumedAttemptId, chosen);
    await run(100);
    return (await resumed).verdict;
  };

  const unknown = {type: OriginVerdictType.Unknown};

  it('are known to the others when their gateway is killed', async () => {
    const first = startGateway('g1', ['1', '2']);
    const second = startGateway('g2', ['1', '2']);
    await run();
    startStream(first, 'a', '1');
    startStream(first, 'b', '2');
    await run(200);
    gateways.delete('g1');
    expect(find(second, 'a')).toEqual(makeKnown('1'));
    expect(find(second, 'b')).toEqual(makeKnown('2'));
    expect(find(second, 'c')).toEqual(unknown);
  });

  // Guards against a record that a request replaces which starts from the beginning.
  it('stay those of an attempt that a request names without a last event', async () => {
    const origins = startGateway('g1', ['1', '2']);
    await run();
    startStream(origins, 'a', '1');
    const request = {...makeRequest('b', 'a'), lastEventId: undefined};
    origins.recordBegun(request, {service: SERVICE, softwareVersion: '2'});
    expect(find(origins, 'a')).toEqual(makeKnown('1'));
    expect(find(origins, 'b')).toEqual(makeKnown('2'));
  });

  // Guards against streams that are open when the second version comes.
  it('are sent also of streams that began before the second version', async () => {
    const first = startGateway('g1', ['1']);
    const second = startGateway('g2', ['1']);
    await run();
    startStream(first, 'a', '1');
    await run();
    first.observeUpstreams(listUpstreams(['1', '2']), clock.getNowMs());
    await run(200);
    expect(find(second, 'a')).toEqual(makeKnown('1'));
  });

  // Guards against streams refused after a freeze or a kill of their gateway.
  it('are known to the others though their gateway stands still before the second version comes', async () => {
    const first = startGateway('g1', ['1']);
    const second = startGateway('g2', ['1']);
    await run();
    startStream(first, 'a', '1');
    await run(200);
    gateways.delete('g1');
    second.observeUpstreams(listUpstreams(['1', '2']), clock.getNowMs());
    expect(find(second, 'a')).toEqual(makeKnown('1'));
  });

  // Guards against a gateway that refuses the streams of its former process.
  it('are returned to the next process of a gateway that was killed before the second version', async () => {
    const first = startGateway('g1', ['1']);
    const [second, third] = ['g2', 'g3'].map(name => startGateway(name, ['1']));
    await run();
    startStream(first, 'a', '1');
    await run(200);
    first.stop();
    const restarted = startGateway('g1', ['1']);
    second.handleConnected('g1');
    await run(200);
    gateways.delete('g3');
    for (const origins of [second, restarted]) {
      origins.observeUpstreams(listUpstreams(['1', '2']), clock.getNowMs());
      expect(find(origins, 'a')).toEqual(makeKnown('1'));
    }
    expect(find(third, 'a')).toEqual(makeKnown('1'));
  });

  // Guards against refusals at a gateway that started while another one stood still.
  it.each(['before', 'after'])(
    'are sent to a gateway that starts %s the loss of theirs is noticed',
    async order => {
      const first = startGateway('g1', ['1']);
      const second = startGateway('g2', ['1']);
      await run();
      startStream(first, 'a', '1');
      await run(200);
      gateways.delete('g1');
      if (order === 'after') second.handleLost();
      const third = startGateway('g3', ['1']);
      second.handleConnected('g3');
      if (order === 'before') second.handleLost();
      await run(200);
      third.observeUpstreams(listUpstreams(['1', '2']), clock.getNowMs());
      expect(find(third, 'a')).toEqual(makeKnown('1'));
    },
  );

  // Guards against origins whose keeper is lost with their gateway or after it.
  it.each(['with', 'after'])(
    'are sent to a gateway that starts when their keeper is lost %s their gateway',
    async order => {
      const first = startGateway('g1', ['1']);
      const [second, third] = ['g2', 'g3'].map(name =>
        startGateway(name, ['1']),
      );
      await run();
      startStream(first, 'a', '1');
      await run(200);
      gateways.delete('g1');
      if (order === 'after') second.handleLost();
      third.handleLost();
      await run(200);
      gateways.delete('g2');
      third.handleLost();
      const fourth = startGateway('g4', ['1']);
      third.handleConnected('g4');
      fourth.observeUpstreams(listUpstreams(['1', '2']), clock.getNowMs());
      expect(find(fourth, 'a')).toEqual(makeKnown('1'));
    },
  );

  it('are sent to a gateway that connects later', async () => {
    const first = startGateway('g1', ['1', '2']);
    startStream(first, 'a', '1');
    await run();
    const second = startGateway('g2', ['1', '2']);
    first.handleConnected('g2');
    expect(find(second, 'a')).toEqual(makeKnown('1'));
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
    startStream(first, 'a', '1');
    startStream(first, 'b', '2');
    await run();
    for (let kills = 0; kills < 2; kills += 1) {
      killAll();
      const restarted = ['g1', 'g2'].map(name => startGateway(name, ['2']));
      await run();
      for (const origins of restarted) {
        expect(find(origins, 'a')).toEqual(makeKnown('1'));
        expect(find(origins, 'b')).toEqual(makeKnown('2'));
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
    expect(await resume(origins, 'c')).toEqual(makeOnly('2'));
    await run();
    killAll();
    const restarted = startGateway('g1', ['2']);
    await run();
    expect(await resume(restarted, 'c')).toEqual(makeOnly('2'));
  });

  // Guards against a link that its receiver closes after each connect.
  it('are sent in messages that their receiver accepts', async () => {
    const origins = startGateway('g1', ['1']);
    const received: Message[] = [];
    gateways.set('g2', {
      handleMessage: (_peer: string, message: Message) =>
        received.push(message) > 0,
    } as Partial<StreamOrigins> as StreamOrigins);
    for (let count = 0; count <= 20_000; count += 1) {
      startStream(origins, `a${count}`, '1');
    }
    origins.handleConnected('g2');
    expect(received).toHaveLength(1);
    for (const message of received) {
      expect(decodeMessage(encodeMessage(message)).isRight()).toBe(true);
    }
  });

  // Guards against messages that grow with the number of streams in calm.
  it('cost one write and ten messages a second that name each once while there is one version', async () => {
    const revision = (await objects.listObjects(STREAM_ORIGINS_KIND)).extract();
    const origins = startGateway('g1', ['1']);
    startGateway('g2', ['1']);
    const attemptIds = Array.from({length: 500}, (_, count) => `a${count}`);
    for (const attemptId of attemptIds) {
      startStream(origins, attemptId, '1');
      await run(10);
    }
    await run();
    const after = (await objects.listObjects(STREAM_ORIGINS_KIND)).extract();
    expect(fleet.countMessages()).toBeGreaterThan(0);
    expect(fleet.countMessages()).toBeLessThanOrEqual(
      1 + clock.getNowMs() / 100,
    );
    expect(fleet.sentAttemptIds.sort()).toEqual(attemptIds.sort());
    expect(revision).toMatchObject({revision: 1});
    expect(after).toMatchObject({revision: 3});
    expect(await resume(origins, 'unknown')).toEqual(makeOnly('1'));
  });

  it('are unknown before the stored ones are read', async () => {
    const origins = startGateway('g1', ['1']);
    expect(find(origins, 'a')).toEqual(unknown);
    expect(await resume(origins, 'a')).toEqual(makeOnly('1'));
  });

  it('are stored again in a store restored from an older copy', async () => {
    const copy = objects.takeCopy();
    startStream(startGateway('g1', ['1', '2']), 'a', '1');
    await run();
    objects.restore(copy);
    await run();
    killAll();
    const restarted = startGateway('g1', ['2']);
    await run();
    expect(find(restarted, 'a')).toEqual(makeKnown('1'));
  });

  // Guards against streams joined from two services of a route, one version each.
  it('are known among the services of a split route, or unknown', async () => {
    const split = makeTarget(SERVICE, 'other');
    const [first, second] = ['g1', 'g2'].map(name => startGateway(name, ['1']));
    for (const origins of [first, second]) observeOther(origins, split);
    await run();
    startStream(first, 'a', '1');
    await run(200);
    gateways.delete('g1');
    const chosen = {...split, service: 'other'};
    expect(find(second, 'a', chosen)).toEqual(makeKnown('1'));
    expect(find(second, 'c', chosen)).toEqual(unknown);
  });

  // Guards against a stream that goes on where its route has been moved to.
  it('are not taken for those of the service to which the route was moved', async () => {
    const moved = makeTarget('other');
    for (let kills = 0; kills < 2; kills += 1) {
      const origins = startGateway('g1', ['1']);
      if (kills === 0) observeOther(origins, defaultTarget);
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
    expect(origins.findOrigin(request, defaultTarget, 0, 0)).toBeUndefined();
  });
});
