import type {ServingConfiguration} from '@siskinplank/serving';
import {ORIGIN_KEEP_MS, OriginVerdictType} from '@siskinplank/stream-origins';
import {beforeEach, describe, expect, it} from 'vitest';
import {STREAM_ORIGINS_KIND} from './origin-store';
import type {StreamOrigins} from './stream-origins';
import {
  startStream,
  createOriginFleet,
  defaultTarget,
  listUpstreams,
  makeKnown,
  makeOnly,
  makeTarget,
  resumeStream,
} from './testing/origin-fleet';
import type {OriginFleet, ResumedVerdict} from './testing/origin-fleet';

/** Callers wait for 2 s at least; a refusal has to leave time for another try. */
const MAX_WAIT_MS = 500;

describe('streams that callers resume at a gateway out of step', () => {
  let fleet: OriginFleet;
  let first: StreamOrigins;
  let second: StreamOrigins;
  const unknown = {type: OriginVerdictType.Unknown};

  beforeEach(async () => {
    fleet = createOriginFleet();
    fleet.directory.setEntry('old', listUpstreams(['1'])[0]);
    [first, second] = ['g1', 'g2'].map(name => fleet.startGateway(name, ['1']));
    await fleet.run();
  });

  /** A stream begins by a new version through a gateway that g2 can't reach. */
  const beginUnseen = async (forMs: number): Promise<void> => {
    const {gateways, directory, clock} = fleet;
    gateways.delete('g2');
    directory.setEntry('new', listUpstreams(['2'])[0]);
    first.observeUpstreams(listUpstreams(['1', '2']), clock.getNowMs());
    startStream(first, 'b', '2');
    await fleet.run(forMs);
  };

  const resume = async (
    resumedAttemptId: string,
    origins = second,
  ): Promise<ResumedVerdict> => {
    const resumed = resumeStream(fleet, origins, resumedAttemptId);
    await fleet.run(MAX_WAIT_MS);
    return resumed;
  };

  // Guards against a cut gateway that trusts its last contact with the store.
  it('are refused while the store is silent, at once if that is known', async () => {
    fleet.cut.add('g2');
    await beginUnseen(100);
    const {verdict, waitedMs} = await resume('b');
    expect(verdict).toEqual(unknown);
    expect(waitedMs).toBeLessThanOrEqual(MAX_WAIT_MS);
    expect(await resume('b')).toEqual({verdict: unknown, waitedMs: 0});
  });

  // Guards against a second wait, as the read is sent later than the first begins.
  it('are refused in time if the read has to wait for its period', async () => {
    const answered = resumeStream(fleet, second, 'a');
    await fleet.run(10);
    await answered;
    fleet.cut.add('g2');
    const resumed = resumeStream(fleet, second, 'b');
    await fleet.run(2 * MAX_WAIT_MS);
    expect((await resumed).waitedMs).toBeLessThanOrEqual(MAX_WAIT_MS);
  });

  // Guards against a gateway whose watch of the upstreams lags.
  it('are refused if the store shows a version that was not seen', async () => {
    fleet.cut.add('g1');
    await beginUnseen(100);
    expect((await resume('b')).verdict).toEqual(unknown);
  });

  // Guards against an answer from before a pause that is read after it.
  it('are not judged by a call that was sent before the request was read', async () => {
    fleet.cut.add('g1');
    fleet.unanswered.add('g2');
    const before = resumeStream(fleet, second, 'a');
    await fleet.run(100);
    await beginUnseen(0);
    const after = resumeStream(fleet, second, 'b');
    fleet.unanswered.delete('g2');
    await fleet.run(MAX_WAIT_MS);
    expect((await before).verdict).toEqual(makeOnly('1'));
    expect((await after).verdict).toEqual(unknown);
  });

  it('go on as the others have stored', async () => {
    await beginUnseen(1_000);
    expect((await resume('b')).verdict).toEqual(makeKnown('2'));
  });

  // Guards against a version that served and left while the gateway was cut off.
  it('are refused if the others have stored a version that was not seen', async () => {
    await beginUnseen(1_000);
    fleet.directory.setEntry('new', undefined);
    expect((await resume('c')).verdict).toEqual(unknown);
  });

  // Guards against a stream of the service to which its route was moved unseen.
  it.each([
    ['moved', makeTarget('other')],
    ['split', makeTarget('s', 'other')],
  ])(
    'are refused after their route was %s in a configuration that was not seen',
    async (_change, {route}) => {
      const {clock, directory, configurations, gateways} = fleet;
      directory.setEntry('other', {
        ...listUpstreams(['1'])[0],
        service: 'other',
      });
      for (const origins of [first, second]) {
        origins.observeRoutes([defaultTarget.route], clock.getNowMs());
      }
      await fleet.run();
      gateways.delete('g2');
      fleet.cut.add('g1');
      configurations.setEntry('main', {
        routes: [route],
      } as unknown as ServingConfiguration);
      expect((await resume('b')).verdict).toEqual(unknown);
    },
  );

  // Guards against a list that lacks upstreams whose entries expired in an outage.
  it('are refused right after an outage of the store', async () => {
    const {clock} = fleet;
    fleet.outageEndMs = clock.getNowMs();
    expect((await resume('c')).verdict).toEqual(unknown);
    await fleet.run(2_000);
    expect((await resume('c')).verdict).toEqual(makeOnly('1'));
  });

  // Guards against an answer that is read only when the entries are back.
  it('are refused if the read was sent right after an outage of the store', async () => {
    fleet.outageEndMs = fleet.clock.getNowMs() - 1_700;
    fleet.unanswered.add('g2');
    const resumed = resumeStream(fleet, second, 'c');
    await fleet.run(400);
    fleet.unanswered.delete('g2');
    await fleet.run(MAX_WAIT_MS);
    expect((await resumed).verdict).toEqual(unknown);
  });

  // Guards against a copy that lacks the entries and records of a later time.
  it('are refused while a store restored from an older copy lacks a version', async () => {
    const copy = fleet.objects.takeCopy();
    const entries = new Map(fleet.directory.items);
    await beginUnseen(200);
    fleet.objects.restore(copy);
    fleet.directory.restore(entries);
    expect((await resume('b')).verdict).toEqual(unknown);
  });

  // Guards against a record that counts as one without versions.
  it('are refused if the record of another gateway can not be read', async () => {
    await beginUnseen(1_000);
    const {objects} = fleet;
    const listed = await objects.listObjects(STREAM_ORIGINS_KIND);
    const record = listed.unsafeCoerce().items.find(({name}) => name === 'g1');
    const content = {versions: null};
    const revision = record?.revision ?? 0;
    await objects.replaceObject(STREAM_ORIGINS_KIND, 'g1', content, revision);
    fleet.directory.setEntry('new', undefined);
    expect((await resume('b')).verdict).toEqual(unknown);
  });

  // Guards against names that are also members of all objects.
  it('go on at the only version of a service named constructor', async () => {
    const service = 'constructor';
    const target = makeTarget(service);
    const upstream = {...listUpstreams(['1'])[0], service};
    fleet.directory.setEntry('odd', upstream);
    const resumed = resumeStream(fleet, second, 'a', target);
    await fleet.run(MAX_WAIT_MS);
    expect((await resumed).verdict).toMatchObject({origin: {service}});
  });

  // Guards against gateways that keep each other from forgetting a version.
  it('go on at the only version a while after the other one has left', async () => {
    await beginUnseen(1_000);
    fleet.directory.setEntry('old', undefined);
    fleet.gateways.set('g2', second);
    const versions = listUpstreams(['2']);
    for (let count = 0; count <= ORIGIN_KEEP_MS / 1_000; count += 1) {
      for (const origins of [first, second]) {
        origins.observeUpstreams(versions, fleet.clock.getNowMs());
        await resume('c', origins);
      }
    }
    await fleet.run();
    for (const origins of [first, second]) {
      expect((await resume('c', origins)).verdict).toEqual(makeOnly('2'));
    }
  });

  // Guards against refusals for good when no one removes the record of a gateway.
  it('go on at the only version a while after a gateway is gone that saw another one', async () => {
    await beginUnseen(1_000);
    first.stop();
    fleet.directory.setEntry('new', undefined);
    expect((await resume('c')).verdict).toEqual(unknown);
    await fleet.run(ORIGIN_KEEP_MS);
    second.observeUpstreams(listUpstreams(['1']), fleet.clock.getNowMs());
    expect((await resume('c')).verdict).toEqual(makeOnly('1'));
  });

  // Guards against calls in proportion to requests.
  it('cost at most ten reads a second, and one at each end', async () => {
    fleet.directory.listCount = 0;
    const resumed: Array<Promise<ResumedVerdict>> = [];
    for (let elapsedMs = 0; elapsedMs < 1_000; elapsedMs += 10) {
      resumed.push(resumeStream(fleet, second, 'c'));
      await fleet.run(10);
    }
    await fleet.run();
    await Promise.all(resumed);
    expect(fleet.directory.listCount).toBeLessThanOrEqual(12);
  });
});
