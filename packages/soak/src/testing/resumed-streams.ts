/** Streams before two software versions that callers resume, for tests. */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {makeCountedAttemptId} from '@siskinplank/platform-stand-ins';
import type {CallRecord} from '@siskinplank/platform-stand-ins';
import {spawnManagedProcess} from '@siskinplank/proof';
import {getMonotonicMs} from '@siskinplank/stand-ins';
import {expect} from 'vitest';
import type {SoakGateway} from '../gateways';
import {MEMORY_MB, MODELS, MODEL_MB} from '../upstreams';
import type {SoakUpstream, SoakUpstreamOptions} from '../upstreams';
import {startGatewayFleet} from './gateway-fleet';
import type {GatewayFleet} from './gateway-fleet';
import {wait} from './single-gateway';

export const OLD = '1';
export const NEW = '2';
/** Callers give a stream up after this time without an event. */
export const MAX_SILENCE_MS = 2_000;
/** That of the deployment; V8 refuses code caches of other flags. */
const MAX_HEAP_FLAG = '--max-old-space-size=160';
const MODEL = MODELS[0];
const CONDITION_TIMEOUT_MS = 10_000;
const POLL_MS = 20;
const LOAD_MS = 400;

/** A gateway bundled into one file. */
export interface GatewayBundle {
  /** Arguments of node that start it. */
  program: readonly string[];
  remove(): void;
}

/** A stream and the attempt that resumed it. */
export interface ResumedPair {
  first: CallRecord;
  again: CallRecord;
}

/** What `startVersionFleet` needs. */
export interface VersionFleetOptions {
  bundle: GatewayBundle;
  gatewayCount: number;
  /** Those of the upstreams. */
  versions: readonly string[];
  /** Models of each upstream at the start; the one of the streams by default. */
  models?: ReadonlyArray<readonly string[]>;
  /** Time of a load; 400 ms by default, which is configured as 500 ms. */
  loadMs?: number;
  /** Events of each stream; one takes 25 ms. */
  eventCount: number;
  hasLinkProxies?: boolean;
}

/** A fleet before upstreams of several software versions. */
export interface VersionFleet extends Omit<GatewayFleet, 'sendStream'> {
  /** Streams that have ended, in that order. */
  ended: readonly CallRecord[];
  sendStream(
    name: string,
    gateway: SoakGateway,
    resumed?: CallRecord,
  ): Promise<CallRecord>;
  /** Sends streams to gateways in turn, and waits until all have begun. */
  beginStreams(
    prefix: string,
    count: number,
    receivers: readonly SoakGateway[],
  ): Promise<Array<Promise<CallRecord>>>;
  /** Resumes streams at gateways in turn. */
  resumeAll(
    prefix: string,
    broken: readonly CallRecord[],
    receivers: readonly SoakGateway[],
  ): Promise<ResumedPair[]>;
  /** Adds an upstream that has loaded the model. */
  addVersion(softwareVersion: string): Promise<SoakUpstream>;
  /** Reads a gauge or counter without labels. */
  readMetric(gateway: SoakGateway, name: string): Promise<number>;
  killGateways(killed: readonly SoakGateway[]): Promise<void>;
}

/** Bundles a gateway, which starts in a fraction of the time of the sources. */
export async function buildGatewayBundle(): Promise<GatewayBundle> {
  const directory = mkdtempSync(join(tmpdir(), 'siskinplank-'));
  const build = spawnManagedProcess({
    name: 'build',
    command: process.execPath,
    args: ['scripts/build-gateway.mjs', directory],
    logFile: join(directory, 'build.log'),
  });
  expect(await build.waitForExit()).toMatchObject({code: 0});
  return {
    program: [MAX_HEAP_FLAG, join(directory, 'gateway.cjs')],
    remove: () => rmSync(directory, {recursive: true, force: true}),
  };
}

/** Waits until a condition holds; resolves to false if it never does. */
export async function waitUntil(
  isMet: () => boolean | Promise<boolean>,
): Promise<boolean> {
  const endsAtMs = getMonotonicMs() + CONDITION_TIMEOUT_MS;
  while (getMonotonicMs() < endsAtMs) {
    if (await isMet()) return true;
    await wait(POLL_MS);
  }
  return false;
}

/** Lists the software versions that wrote the events of a stream. */
export function getVersion({softwareVersions = []}: CallRecord): string {
  return softwareVersions.join(' and ');
}

/** Selects streams that broke after their first event. */
export function selectResumable(records: readonly CallRecord[]): CallRecord[] {
  return records.filter(
    ({isComplete, lastEventId = 0}) => !isComplete && lastEventId > 0,
  );
}

/** Describes a record in one line, for the messages of failed tests. */
export function describeRecord(record: CallRecord): string {
  const {attemptId, gateway, status, isComplete, lastEventId} = record;
  const ms = Math.round(record.endedAtMs - record.sentAtMs);
  const versions = getVersion(record);
  return `${attemptId} at ${gateway}: status ${status} after ${ms} ms, complete ${isComplete}, last event ${lastEventId}, versions ${versions}`;
}

/** Expects that no stream was joined from two versions. */
export function assertNoneJoined(pairs: readonly ResumedPair[]): void {
  const joined = pairs.filter(({first, again}) => {
    const versions = [first, again].flatMap(
      ({softwareVersions = []}) => softwareVersions,
    );
    return new Set(versions).size > 1;
  });
  expect(
    joined.map(({first, again}) => [first, again].map(describeRecord)),
  ).toEqual([]);
  expect(pairs.flatMap(({again}) => again.faults)).toEqual([]);
}

/** More than half of the streams that callers may resume have to go on. */
export function assertMostComplete(records: readonly CallRecord[]): void {
  const complete = records.filter(
    ({status, isComplete}) => status === 200 && isComplete,
  );
  expect(records.length).toBeGreaterThan(0);
  const rest = records.filter(record => !complete.includes(record));
  expect(complete.length, rest.map(describeRecord).join('\n')).toBeGreaterThan(
    records.length / 2,
  );
}

function makeEngine(
  softwareVersion: string,
  loadMs = LOAD_MS,
  initialModels: readonly string[] = [MODEL],
): SoakUpstreamOptions {
  return {
    softwareVersion,
    engine: {
      memoryMb: MEMORY_MB,
      modelSizesMb: new Map(MODELS.map(name => [name, MODEL_MB])),
      initialModels,
      loadMs,
    },
  };
}

/** Starts the fleet and waits until all gateways are ready. */
export async function startVersionFleet(
  options: VersionFleetOptions,
): Promise<VersionFleet> {
  const {versions, eventCount, loadMs} = options;
  const fleet = await startGatewayFleet({
    gatewayCount: options.gatewayCount,
    engineCount: versions.length,
    engines: versions.map((softwareVersion, index) =>
      makeEngine(softwareVersion, loadMs, options.models?.[index]),
    ),
    storeLoadMs: loadMs,
    program: options.bundle.program,
    hasLinkProxies: options.hasLinkProxies,
  });
  const {history} = fleet;

  const ended: CallRecord[] = [];
  const sendStream = async (
    name: string,
    gateway: SoakGateway,
    resumed?: CallRecord,
  ): Promise<CallRecord> => {
    const record = await fleet.sendStream({
      attemptId: makeCountedAttemptId(name, eventCount),
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
    ended.push(record);
    return record;
  };

  return {
    ...fleet,
    ended,
    sendStream,
    beginStreams: async (prefix, count, receivers) => {
      const runCount = history.runs.length + count;
      const streams = Array.from({length: count}, (_, index) =>
        sendStream(`${prefix}${index}`, receivers[index % receivers.length]),
      );
      await waitUntil(() => history.runs.length >= runCount);
      return streams;
    },
    resumeAll: (prefix, broken, receivers) =>
      Promise.all(
        broken.map(async (first, index) => {
          const gateway = receivers[index % receivers.length];
          const again = await sendStream(`${prefix}${index}`, gateway, first);
          return {first, again};
        }),
      ),
    addVersion: softwareVersion =>
      fleet.addEngine(makeEngine(softwareVersion, loadMs)),
    readMetric: async ({metricsPort}, name) => {
      const response = await fetch(`http://127.0.0.1:${metricsPort}/metrics`);
      const text = await response.text();
      const line = text
        .split('\n')
        .find(candidate => candidate.startsWith(`siskinplank_${name} `));
      return Number(line?.split(' ')[1] ?? NaN);
    },
    killGateways: async killed => {
      for (const gateway of killed) gateway.send('SIGKILL');
      await Promise.all(killed.map(gateway => gateway.waitForExit()));
    },
  };
}
