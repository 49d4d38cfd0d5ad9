/** Checks on changes that operators made at the same time. */
import {isDeepStrictEqual} from 'node:util';
import {z} from 'zod';
import type {RevisionSample} from '../context';
import type {OperatorCall} from '../operator';
import {listVersions} from '../platform-history';
import type {AcceptedVersion} from '../platform-history';
import {defineCheck, describeTooFew} from '../types';

/** Bound of INV-12. */
const BOUND_MS = 7_000;
const CONFLICT_CODE = 'aborted';
const UNKNOWN_CODE = 'unknown';

interface ResourceMessage {
  version?: string;
  [field: string]: unknown;
}

/** Whether `value` has all fields of `spec`. */
function isValueOf(value: object, spec: Record<string, unknown>): boolean {
  const fields = value as Record<string, unknown>;
  return Object.entries(spec).every(([key, wanted]) =>
    isDeepStrictEqual(fields[key], wanted),
  );
}

function findCurrent({result}: OperatorCall): ResourceMessage | undefined {
  const {details = []} = result.body as {
    details?: Array<{debug?: {current?: ResourceMessage}}>;
  };
  return details[0]?.debug?.current;
}

function toSpecField(kind: string): string {
  return kind[0].toLowerCase() + kind.slice(1);
}

function checkConflict(
  call: OperatorCall,
  versions: readonly AcceptedVersion[],
): string[] {
  const current = findCurrent(call);
  const shown = versions.find(
    ({version}) => version === Number(current?.version),
  );
  if (shown === undefined || shown.version <= call.expectedVersion) {
    return ['a conflict without the current version'];
  }
  const spec = current?.[toSpecField(call.kind)] as Record<string, unknown>;
  return isValueOf(shown.value, spec)
    ? []
    : [`a conflict with another value: ${JSON.stringify(spec)}`];
}

/**
 * Compares the answer to a change with what the platform accepted: a change
 * replaces only the version that its operator had read.
 */
export function checkOperatorCall(
  call: OperatorCall,
  versions: readonly AcceptedVersion[],
): string[] {
  const {expectedVersion, result} = call;
  const index = versions.findIndex(({value}) => isValueOf(value, call.spec));
  const problems: string[] = [];
  const replaced = versions.at(index - 1);
  if (index > 0 && replaced?.version !== expectedVersion) {
    problems.push(`overwrote version ${replaced?.version}`);
  }
  if (result.isOk) {
    const {resource} = result.body as {resource?: ResourceMessage};
    const version = versions.at(index)?.version;
    if (index < 0) problems.push('was confirmed but not accepted');
    else if (Number(resource?.version) !== version) {
      problems.push(`was confirmed as version ${resource?.version}`);
    }
    return problems;
  }
  const {code} = result.body;
  if (index >= 0 && code !== UNKNOWN_CODE) {
    problems.push(`was accepted but answered with ${String(code)}`);
  }
  if (code === CONFLICT_CODE) problems.push(...checkConflict(call, versions));
  return problems;
}

/** No operator's change overwrote one that the operator had not seen. */
export const changesKeptCheck = defineCheck(
  z.strictObject({
    /** Least number of confirmed changes. */
    confirmedAtLeast: z.int().min(1).default(1),
    /** Least number of changes refused with the current value. */
    conflictsAtLeast: z.int().min(1).default(1),
  }),
  async ({confirmedAtLeast, conflictsAtLeast}, context) => {
    const {operatorCalls: calls} = context;
    const problems: string[] = [];
    for (const call of calls) {
      const {kind, name, entry, expectedVersion} = call;
      const versions = await listVersions(context, kind, name);
      const found = checkOperatorCall(call, versions);
      const text = `${entry}: change of ${name} at ${expectedVersion}`;
      problems.push(...found.map(problem => `${text} ${problem}`));
    }
    const confirmed = calls.filter(({result}) => result.isOk).length;
    const conflicts = calls.filter(
      ({result}) => result.body.code === CONFLICT_CODE,
    ).length;
    return [
      ...problems,
      ...describeTooFew('confirmed changes', confirmed, confirmedAtLeast),
      ...describeTooFew('conflicts', conflicts, conflictsAtLeast),
    ];
  },
);

/**
 * Checks the readings of one process. An incarnation has the bound from its
 * first reading on, as it starts without any configuration.
 */
export function listRevisionProblems(
  samples: readonly RevisionSample[],
  last: {version: number; atMs: number},
  boundMs: number,
): string[] {
  const firstMs = new Map<number, number>();
  for (const {pid, atMs} of samples) {
    if (!firstMs.has(pid)) firstMs.set(pid, atMs);
  }
  const hasFallen = samples.some(({revision, pid}, index) => {
    const former = samples.at(index - 1);
    return index > 0 && former?.pid === pid && revision < former.revision;
  });
  const behind = samples.find(({atMs, pid, revision}) => {
    const fromMs = Math.max(last.atMs, firstMs.get(pid) ?? atMs);
    return atMs > fromMs + boundMs && revision < last.version;
  });
  return [
    ...(hasFallen ? ['went back to an old revision'] : []),
    ...(behind === undefined
      ? []
      : [`stayed at ${behind.revision} before ${last.version}`]),
  ];
}

/**
 * The revision of no process falls, and each process reaches the last version
 * of the object within the bound.
 */
export const revisionsKeptCheck = defineCheck(
  z.strictObject({
    kind: z.string(),
    name: z.string(),
    boundMs: z.number().default(BOUND_MS),
    /** Least number of readings of each process after the bound. */
    readAtLeast: z.int().min(0).default(1),
  }),
  async ({kind, name, boundMs, readAtLeast}, context) => {
    const last = (await listVersions(context, kind, name)).at(-1);
    if (last === undefined) return [`${kind} ${name} was never written`];
    const {cluster, revisionSamples} = context;
    const problems: string[] = [];
    for (const node of [...cluster.entries, ...cluster.sides]) {
      const samples = revisionSamples.get(node.name) ?? [];
      const late = samples.filter(({atMs}) => atMs > last.atMs + boundMs);
      problems.push(
        ...listRevisionProblems(samples, last, boundMs).map(
          problem => `${node.name} ${problem}`,
        ),
      );
      const what = `readings of ${node.name}`;
      problems.push(...describeTooFew(what, late.length, readAtLeast));
    }
    return problems;
  },
);
