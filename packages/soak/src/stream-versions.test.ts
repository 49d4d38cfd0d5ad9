import type {CallRecord} from '@siskinplank/platform-stand-ins';
import {afterAll, afterEach, beforeAll, describe, expect, it} from 'vitest';
import {
  MAX_SILENCE_MS,
  NEW,
  OLD,
  buildGatewayBundle,
  assertMostComplete,
  assertNoneJoined,
  describeRecord,
  getVersion,
  selectResumable,
  startVersionFleet,
} from './testing/resumed-streams';
import type {
  GatewayBundle,
  ResumedPair,
  VersionFleet,
  VersionFleetOptions,
} from './testing/resumed-streams';
import {wait} from './testing/single-gateway';
import {MODELS} from './upstreams';
import type {SoakUpstream} from './upstreams';

const STREAM_COUNT = 16;
/** Streams of 4 s at least, since an event takes 25 ms. */
const EVENT_COUNT = 160;
/**
 * Longer than the first event of a stream takes, and the period in which two
 * gateways store origins.
 */
const STORED_MS = 1_000;
/** Longer than callers wait for the next event of a stream. */
const LONG_LOAD_MS = 12_000;
/** Time for gateways to see that an upstream closed its idle connections. */
const CLOSE_MS = 100;
/** Time for all gateways to learn that an upstream has ended. */
const NOTICE_MS = 500;

describe('streams before two software versions', () => {
  let bundle: GatewayBundle;
  let fleet: VersionFleet;

  beforeAll(async () => {
    bundle = await buildGatewayBundle();
  }, 60_000);

  afterAll(() => bundle.remove());

  afterEach(() => fleet.close());

  const start = async (
    gatewayCount: number,
    versions: readonly string[],
    options: Partial<VersionFleetOptions> = {},
  ): Promise<void> => {
    fleet = await startVersionFleet({
      bundle,
      gatewayCount,
      versions,
      eventCount: EVENT_COUNT,
      ...options,
    });
  };

  const beginStreams = async (): Promise<Array<Promise<CallRecord>>> => {
    const streams = await fleet.beginStreams('s', STREAM_COUNT, fleet.gateways);
    await wait(STORED_MS);
    return streams;
  };

  /** Kills all gateways and starts them again; resolves to what was broken. */
  const killAll = async (
    streams: ReadonlyArray<Promise<CallRecord>>,
  ): Promise<CallRecord[]> => {
    await fleet.killGateways(fleet.gateways);
    await fleet.startGateways(fleet.gateways);
    return selectResumable(await Promise.all(streams));
  };

  /** Resumes streams at the gateways in turn, beginning with the second one. */
  const resumeAll = (broken: readonly CallRecord[]): Promise<ResumedPair[]> => {
    const [first, ...others] = fleet.gateways;
    return fleet.resumeAll('again-', broken, [...others, first]);
  };

  /**
   * Begins streams beside a release. One of the two upstreams of the old version
   * has their model, the other one has room for it.
   */
  const beginBesideRelease = async (
    gatewayCount: number,
    loadMs?: number,
  ): Promise<Array<Promise<CallRecord>>> => {
    const [model, other, ...others] = MODELS;
    const models = [[model], [other], others];
    await start(gatewayCount, [OLD, OLD, NEW], {models, loadMs});
    // Copies are not made ahead while upstreams of a release join.
    await fleet.addVersion(NEW);
    await wait(STORED_MS);
    const streams = await beginStreams();
    const holders = new Set(fleet.history.runs.map(({serverId}) => serverId));
    const [holder, , , added] = fleet.upstreams;
    expect(holders).toEqual(
      new Set([holder.standIn.getId(), added.standIn.getId()]),
    );
    return streams;
  };

  const isOld = (record: CallRecord): boolean => getVersion(record) === OLD;

  const assertRefusedAtOnce = (attempts: readonly CallRecord[]): void => {
    expect(attempts.length).toBeGreaterThan(0);
    const others = attempts.filter(
      ({status, sentAtMs, endedAtMs}) =>
        status !== 503 || endedAtMs - sentAtMs >= MAX_SILENCE_MS,
    );
    expect(others.map(describeRecord)).toEqual([]);
  };

  const selectUpstreams = (softwareVersion: string): SoakUpstream[] => {
    const ids = fleet.history.runs
      .filter(run => run.softwareVersion === softwareVersion)
      .map(({serverId}) => serverId);
    return fleet.upstreams.filter(({standIn}) => ids.includes(standIn.getId()));
  };

  // Guards against streams joined within one response after a crash of an upstream.
  it('go on within their responses at the version that began them', async () => {
    await start(1, [OLD, OLD, NEW, NEW]);
    const streams = await beginStreams();
    const [crashed] = selectUpstreams(OLD);
    const broken = fleet.history.runs
      .filter(({serverId}) => serverId === crashed.standIn.getId())
      .map(({attemptId}) => attemptId);
    crashed.standIn.crash();
    const records = await Promise.all(streams);
    const versions = records.map(getVersion);
    expect(new Set(versions)).toEqual(new Set([OLD, NEW]));
    assertMostComplete(
      records.filter(({attemptId}) => broken.includes(attemptId)),
    );
  }, 60_000);

  // Guards against streams joined at the gateway to which their callers turn.
  it('go on at another gateway at the version that began them', async () => {
    await start(2, [OLD, NEW]);
    const streams = await beginStreams();
    const [killed, other] = fleet.gateways;
    await fleet.killGateways([killed]);
    const first = await Promise.all(
      streams.filter((_, index) => index % 2 === 0),
    );
    const broken = selectResumable(first);
    expect(new Set(broken.map(getVersion))).toEqual(new Set([OLD, NEW]));
    const pairs = await fleet.resumeAll('again-', broken, [other]);
    assertNoneJoined(pairs);
    assertMostComplete(pairs.map(({again}) => again));
    await Promise.all(streams);
  }, 60_000);

  // Guards against streams joined when no gateway remembers them.
  it('go on after the end of all gateways at the version that began them', async () => {
    await start(2, [OLD, NEW]);
    const broken = await killAll(await beginStreams());
    expect(new Set(broken.map(getVersion))).toEqual(new Set([OLD, NEW]));
    const pairs = await resumeAll(broken);
    assertNoneJoined(pairs);
    assertMostComplete(pairs.map(({again}) => again));
  }, 60_000);

  // Guards against streams of a version that left unseen, joined to the other.
  it('are refused at once when their version left with all gateways', async () => {
    await start(2, [OLD, NEW]);
    const streams = await beginStreams();
    for (const upstream of selectUpstreams(OLD)) {
      upstream.standIn.crash();
      upstream.removeEntry();
    }
    const pairs = await resumeAll(await killAll(streams));
    assertNoneJoined(pairs);
    const attempts = (version: string): CallRecord[] =>
      pairs
        .filter(({first}) => getVersion(first) === version)
        .map(({again}) => again);
    assertRefusedAtOnce(attempts(OLD));
    assertMostComplete(attempts(NEW));
  }, 60_000);

  // Guards against refusals of unknown streams that only one version can have begun.
  it('go on after the end of all gateways where there is one version', async () => {
    await start(2, [OLD, OLD]);
    const pairs = await resumeAll(await killAll(await beginStreams()));
    assertNoneJoined(pairs);
    assertMostComplete(pairs.map(({again}) => again));
  }, 60_000);

  // Guards against refusals of streams that a short load at their version serves.
  it('go on at their version after its last copy has ended, where an upstream of it has room', async () => {
    const streams = await beginBesideRelease(2);
    const ordering = await Promise.all(
      fleet.gateways.map(gateway =>
        fleet.readMetric(gateway, 'gateway_is_ordering'),
      ),
    );
    const leader = ordering.indexOf(1);
    fleet.upstreams[0].standIn.crash();
    await fleet.killGateways([fleet.gateways[1 - leader]]);
    const first = await Promise.all(
      streams.filter((_, index) => index % 2 !== leader),
    );
    const pairs = await fleet.resumeAll('again-', selectResumable(first), [
      fleet.gateways[leader],
    ]);
    const kept = await Promise.all(
      streams.filter((_, index) => index % 2 === leader),
    );
    assertNoneJoined(pairs);
    expect(new Set(kept.map(getVersion))).toEqual(new Set([OLD, NEW]));
    const resumed = pairs.filter(pair => isOld(pair.first));
    assertMostComplete(resumed.map(({again}) => again));
    assertMostComplete(kept.filter(isOld));
  }, 60_000);

  // Guards against streams that wait for a load that ends after their callers left.
  it('are refused at once where a load at their version takes too long', async () => {
    const streams = await beginBesideRelease(1, LONG_LOAD_MS);
    const [holder] = fleet.upstreams;
    holder.standIn.crash();
    holder.removeEntry();
    const broken = selectResumable(await Promise.all(streams));
    expect(new Set(broken.map(getVersion))).toEqual(new Set([OLD]));
    const pairs = await resumeAll(broken);
    assertRefusedAtOnce(pairs.map(({again}) => again));
  }, 60_000);

  // Guards against requests to ended upstreams for as long as the store lists them.
  it('are no longer sent to an upstream whose address another one has', async () => {
    await start(2, [OLD, OLD, NEW], {eventCount: 4});
    const [{standIn}] = fleet.upstreams;
    standIn.crash();
    standIn.restart();
    await wait(CLOSE_MS);
    const fromMs = fleet.getNowMs() + NOTICE_MS;
    const streams: Array<Promise<CallRecord>> = [];
    for (let index = 0; index < 120; index += 1) {
      const gateway = fleet.gateways[index % fleet.gateways.length];
      streams.push(fleet.sendStream(`s${index}`, gateway));
      await wait(25);
    }
    const records = await Promise.all(streams);
    const rejected = fleet.history.arrivals.filter(
      ({upstreamId}) => upstreamId === standIn.getId(),
    );
    expect(rejected.filter(({atMs}) => atMs > fromMs).length).toBe(0);
    assertMostComplete(records);
  }, 60_000);
}, 60_000);
