/** Steps of operators who change one object at the same time. */
import {z} from 'zod';
import {getMonotonicMs} from '@siskinplank/stand-ins';
import {failStep} from '../context';
import type {ScenarioContext} from '../context';
import {sendAdminCall, toResource} from '../operator';
import {defineStep} from '../types';
import {isTrafficStopped} from './balanced';
import {readMetric} from './wait';

/** Above the time of a reading on a busy machine. */
const READ_LIMIT_MS = 1_000;
const REVISION_METRIC = 'siskinplank_configuration_revision';

const changeSchema = z.strictObject({
  entry: z.string(),
  spec: z.record(z.string(), z.unknown()),
  /** Sends the version before the first race in place of the newest one. */
  isOutdated: z.boolean().default(false),
});

const raceSchema = z.strictObject({
  kind: z.string(),
  name: z.string(),
  /** Sent at the same time; their specifications must all differ. */
  changes: z.array(changeSchema).min(1),
});

type RaceInput = z.output<typeof raceSchema>;

async function sendEntryCall(
  {cluster}: ScenarioContext,
  entry: string,
  procedure: string,
  body: unknown,
) {
  const node = cluster.entries.find(({name}) => name === entry);
  if (node === undefined) return failStep(`no entry is named ${entry}`);
  const token = cluster.secrets.bootstrapToken;
  return sendAdminCall(node.adminUrl, token, procedure, body);
}

async function readVersion(
  {kind, name, changes}: RaceInput,
  context: ScenarioContext,
): Promise<number> {
  const [{entry}] = changes;
  const body = {kind, name};
  const result = await sendEntryCall(context, entry, 'GetResource', body);
  const {resource} = result.body as {resource?: {version?: string}};
  if (resource?.version === undefined) {
    return failStep(`GetResource: ${JSON.stringify(result.body)}`);
  }
  return Number(resource.version);
}

/** Lets operators change one object at the versions that they have read. */
export const operatorsRaceStep = defineStep(
  raceSchema,
  async (input, context) => {
    const {kind, name, changes} = input;
    const newest = await readVersion(input, context);
    const first = context.operatorCalls.find(
      call => call.kind === kind && call.name === name,
    );
    const sendChange = async (change: (typeof changes)[number]) => {
      const {entry, spec, isOutdated} = change;
      const expectedVersion = isOutdated
        ? (first?.expectedVersion ?? newest)
        : newest;
      const result = await sendEntryCall(context, entry, 'ApplyResource', {
        resource: toResource(kind, name, spec),
        expectedVersion: String(expectedVersion),
      });
      return {kind, name, entry, expectedVersion, spec, result};
    };
    context.operatorCalls.push(...(await Promise.all(changes.map(sendChange))));
  },
);

const watchRevisionsSchema = z.strictObject({
  /** Ends earlier at a `stopTraffic` step. */
  forMs: z.int().positive(),
  everyMs: z.int().positive().default(250),
  /** Passes over readings that fail, as of a frozen or ended process. */
  mayFail: z.boolean().default(false),
});

async function sampleRevisions(
  {forMs, everyMs, mayFail}: z.output<typeof watchRevisionsSchema>,
  context: ScenarioContext,
): Promise<void> {
  const {cluster, clock, revisionSamples} = context;
  const names = [...cluster.entries, ...cluster.sides].map(({name}) => name);
  const endMs = clock.getNowMs() + forMs;
  const sampleOne = async (process: string): Promise<void> => {
    const metric = {process, name: REVISION_METRIC, contains: ''};
    const {pid} = cluster.getProcess(process);
    const limitMs = mayFail ? READ_LIMIT_MS : undefined;
    const revision = await readMetric(metric, context, limitMs).catch(error =>
      mayFail ? undefined : failStep(String(error)),
    );
    // An answer between two incarnations belongs to neither for certain.
    if (revision === undefined || pid !== cluster.getProcess(process).pid) {
      return;
    }
    const samples = revisionSamples.get(process) ?? [];
    samples.push({atMs: getMonotonicMs(), revision, pid});
    revisionSamples.set(process, samples);
  };
  while (!isTrafficStopped(context) && clock.getNowMs() < endMs) {
    await Promise.all(names.map(sampleOne));
    await clock.waitMs(everyMs);
  }
}

/** Reads the revision of every process again and again in the background. */
export const watchRevisionsStep = defineStep(
  watchRevisionsSchema,
  (input, context) =>
    void context.background.push(sampleRevisions(input, context)),
);
