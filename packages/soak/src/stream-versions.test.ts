import type {CallRecord} from '@siskinplank/platform-stand-ins';
import {afterAll, afterEach, beforeAll, describe, expect, it} from 'vitest';
import {
  MAX_SILENCE_MS,
  NEW,
  OLD,
  buildGatewayBundle,
  assertMostComplete,
  assertNoneJoined,
  getVersion,
  selectResumable,
  startVersionFleet,
} from './testing/resumed-streams';
import type {
  GatewayBundle,
  ResumedPair,
  VersionFleet,
} from './testing/resumed-streams';
import {wait} from './testing/single-gateway';
import type {SoakUpstream} from './upstreams';

const STREAM_COUNT = 16;
/** Streams of 4 s at least, since an event takes 25 ms. */
const EVENT_COUNT = 160;
/**
 * Longer than the first event of a stream takes, and the period in which two
 * gateways store origins.
 */
const STORED_MS = 1_000;

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
  ): Promise<void> => {
    fleet = await startVersionFleet({
      bundle,
      gatewayCount,
      versions,
      eventCount: EVENT_COUNT,
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
    expect(attempts(OLD).length).toBeGreaterThan(0);
    expect(
      attempts(OLD).filter(
        ({status, sentAtMs, endedAtMs}) =>
          status !== 503 || endedAtMs - sentAtMs >= MAX_SILENCE_MS,
      ),
    ).toEqual([]);
    assertMostComplete(attempts(NEW));
  }, 60_000);

  // Guards against refusals of unknown streams that only one version can have begun.
  it('go on after the end of all gateways where there is one version', async () => {
    await start(2, [OLD, OLD]);
    const pairs = await resumeAll(await killAll(await beginStreams()));
    assertNoneJoined(pairs);
    assertMostComplete(pairs.map(({again}) => again));
  }, 60_000);
}, 60_000);
