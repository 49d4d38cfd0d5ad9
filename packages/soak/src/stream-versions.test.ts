import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {makeCountedAttemptId} from '@siskinplank/platform-stand-ins';
import type {CallRecord} from '@siskinplank/platform-stand-ins';
import {spawnManagedProcess} from '@siskinplank/proof';
import {afterAll, afterEach, beforeAll, describe, expect, it} from 'vitest';
import type {SoakGateway} from './gateways';
import {startGatewayFleet} from './testing/gateway-fleet';
import type {GatewayFleet} from './testing/gateway-fleet';
import {wait} from './testing/single-gateway';
import {MEMORY_MB, MODELS, MODEL_MB} from './upstreams';
import type {SoakUpstream, SoakUpstreamOptions} from './upstreams';

/** That of the deployment; V8 refuses code caches of other flags. */
const MAX_HEAP_FLAG = '--max-old-space-size=160';
const OLD = '1';
const NEW = '2';
const MODEL = MODELS[0];
const STREAM_COUNT = 16;
/** Streams of 4 s at least, since an event takes 25 ms. */
const EVENT_COUNT = 160;
/** Callers give a stream up after this time without an event. */
const MAX_SILENCE_MS = 2_000;
const BEGIN_TIMEOUT_MS = 10_000;
const POLL_MS = 20;
/**
 * Longer than the first event of a stream takes, and the period in which two
 * gateways store origins.
 */
const STORED_MS = 1_000;

/** A stream and the attempt that resumed it. */
interface ResumedPair {
  first: CallRecord;
  again: CallRecord;
}

describe('streams before two software versions', () => {
  let directory: string;
  let fleet: GatewayFleet;

  // The bundle starts in a fraction of the time of the sources.
  beforeAll(async () => {
    directory = mkdtempSync(join(tmpdir(), 'siskinplank-'));
    const build = spawnManagedProcess({
      name: 'build',
      command: process.execPath,
      args: ['scripts/build-gateway.mjs', directory],
      logFile: join(directory, 'build.log'),
    });
    expect(await build.waitForExit()).toMatchObject({code: 0});
  }, 60_000);

  afterAll(() => rmSync(directory, {recursive: true, force: true}));

  afterEach(() => fleet.close());

  const start = async (
    gatewayCount: number,
    versions: readonly string[],
  ): Promise<void> => {
    const engines = versions.map((softwareVersion): SoakUpstreamOptions => ({
      softwareVersion,
      engine: {
        memoryMb: MEMORY_MB,
        modelSizesMb: new Map(MODELS.map(name => [name, MODEL_MB])),
        initialModels: [MODEL],
        loadMs: 400,
      },
    }));
    fleet = await startGatewayFleet({
      gatewayCount,
      engineCount: versions.length,
      engines,
      program: [MAX_HEAP_FLAG, join(directory, 'gateway.cjs')],
    });
  };

  const sendStream = (
    name: string,
    gateway: SoakGateway,
    resumed?: CallRecord,
  ): Promise<CallRecord> =>
    fleet.sendStream({
      attemptId: makeCountedAttemptId(name, EVENT_COUNT),
      gateway,
      model: MODEL,
      promptParts: [name],
      maxSilenceMs: MAX_SILENCE_MS,
      ...(resumed !== undefined && {
        resumed: {
          attemptId: resumed.attemptId,
          lastEventId: resumed.lastEventId ?? 0,
        },
      }),
    });

  /** Sends streams to the gateways in turn, and waits until all have begun. */
  const beginStreams = async (): Promise<Array<Promise<CallRecord>>> => {
    const {gateways, history} = fleet;
    const streams = Array.from({length: STREAM_COUNT}, (_, index) =>
      sendStream(`s${index}`, gateways[index % gateways.length]),
    );
    const endsAtMs = fleet.getNowMs() + BEGIN_TIMEOUT_MS;
    while (history.runs.length < STREAM_COUNT && fleet.getNowMs() < endsAtMs) {
      await wait(POLL_MS);
    }
    await wait(STORED_MS);
    return streams;
  };

  const killGateways = async (
    killed: readonly SoakGateway[],
  ): Promise<void> => {
    for (const gateway of killed) gateway.send('SIGKILL');
    await Promise.all(killed.map(gateway => gateway.waitForExit()));
  };

  /** Kills all gateways and starts them again; resolves to what was broken. */
  const killAll = async (
    streams: ReadonlyArray<Promise<CallRecord>>,
  ): Promise<CallRecord[]> => {
    await killGateways(fleet.gateways);
    await fleet.startGateways(fleet.gateways);
    return selectResumable(await Promise.all(streams));
  };

  const selectResumable = (records: readonly CallRecord[]): CallRecord[] =>
    records.filter(
      ({isComplete, lastEventId = 0}) => !isComplete && lastEventId > 0,
    );

  /** Resumes streams at the gateways in turn, beginning with the second one. */
  const resumeAll = (broken: readonly CallRecord[]): Promise<ResumedPair[]> => {
    const {gateways} = fleet;
    return Promise.all(
      broken.map(async (first, index) => {
        const gateway = gateways[(index + 1) % gateways.length];
        const again = await sendStream(`again-${index}`, gateway, first);
        return {first, again};
      }),
    );
  };

  const getVersion = ({softwareVersions = []}: CallRecord): string =>
    softwareVersions.join(' and ');

  const expectNoneJoined = (pairs: readonly ResumedPair[]): void => {
    const joined = pairs.filter(({first, again}) => {
      const versions = [first, again].flatMap(
        ({softwareVersions = []}) => softwareVersions,
      );
      return new Set(versions).size > 1;
    });
    expect(joined).toEqual([]);
    expect(pairs.flatMap(({again}) => again.faults)).toEqual([]);
  };

  /** More than half of the streams that callers may resume have to go on. */
  const expectMostComplete = (records: readonly CallRecord[]): void => {
    const complete = records.filter(
      ({status, isComplete}) => status === 200 && isComplete,
    );
    expect(records.length).toBeGreaterThan(0);
    expect(complete.length).toBeGreaterThan(records.length / 2);
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
    expectMostComplete(
      records.filter(({attemptId}) => broken.includes(attemptId)),
    );
  }, 60_000);

  // Guards against streams joined at the gateway to which their callers turn.
  it('go on at another gateway at the version that began them', async () => {
    await start(2, [OLD, NEW]);
    const streams = await beginStreams();
    const [killed, other] = fleet.gateways;
    await killGateways([killed]);
    const first = await Promise.all(
      streams.filter((_, index) => index % 2 === 0),
    );
    const broken = selectResumable(first);
    expect(new Set(broken.map(getVersion))).toEqual(new Set([OLD, NEW]));
    const pairs = await Promise.all(
      broken.map(async (record, index) => ({
        first: record,
        again: await sendStream(`again-${index}`, other, record),
      })),
    );
    expectNoneJoined(pairs);
    expectMostComplete(pairs.map(({again}) => again));
    await Promise.all(streams);
  }, 60_000);

  // Guards against streams joined when no gateway remembers them.
  it('go on after the end of all gateways at the version that began them', async () => {
    await start(2, [OLD, NEW]);
    const broken = await killAll(await beginStreams());
    expect(new Set(broken.map(getVersion))).toEqual(new Set([OLD, NEW]));
    const pairs = await resumeAll(broken);
    expectNoneJoined(pairs);
    expectMostComplete(pairs.map(({again}) => again));
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
    expectNoneJoined(pairs);
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
    expectMostComplete(attempts(NEW));
  }, 60_000);

  // Guards against refusals of unknown streams that only one version can have begun.
  it('go on after the end of all gateways where there is one version', async () => {
    await start(2, [OLD, OLD]);
    const pairs = await resumeAll(await killAll(await beginStreams()));
    expectNoneJoined(pairs);
    expectMostComplete(pairs.map(({again}) => again));
  }, 60_000);
}, 60_000);
