/** The report of a measurement: one JSON document and a printed summary. */
import {cpus, loadavg, totalmem} from 'node:os';
import {createSystemClock} from '@siskinplank/foundation';
import {COMPRESSION} from './deployments';
import type {DeploymentName} from './deployments';
import type {RunScore} from './evaluate';
import type {PolicyName} from './policies/names';
import type {MeasuredFault} from './run-policy';
import {computeQuantile} from './send-request';

/** One run of one policy. */
export interface ReportedRun {
  policy: PolicyName;
  seed: number;
  /** Runs whose load generator lagged too much do not count. */
  isDiscarded: boolean;
  score: RunScore;
}

/** Machine that a measurement ran on. */
export interface MachineSize {
  cores: number;
  memoryGiB: number;
  /** Load average of one minute before the first run. */
  loadBefore: number;
}

/** A whole measurement of a deployment. */
export interface MeasurementReport {
  date: string;
  deployment: DeploymentName;
  accelerators: number;
  fault: MeasuredFault | undefined;
  seeds: number[];
  compression: number;
  warmUpMs: number;
  durationMs: number;
  machine: MachineSize;
  runs: ReportedRun[];
}

/** Median with the least and the largest value. */
export interface Spread {
  median: number;
  least: number;
  largest: number;
}

const BYTES_IN_GIB = 1024 ** 3;

/** Reads the size of the machine. */
export function readMachineSize(): MachineSize {
  return {
    cores: cpus().length,
    memoryGiB: Math.round(totalmem() / BYTES_IN_GIB),
    loadBefore: loadavg()[0],
  };
}

/** Date of the day in UTC. */
export function formatToday(): string {
  const wallMs = createSystemClock().getWallMs();
  return new Date(wallMs).toISOString().slice(0, 10);
}

/** Median, least and largest of the counted runs of a policy. */
export function summarizeRuns(
  runs: readonly ReportedRun[],
  policy: PolicyName,
  select: (score: RunScore) => number,
): Spread | undefined {
  const values = runs
    .filter(run => run.policy === policy && !run.isDiscarded)
    .map(({score}) => select(score));
  if (values.length === 0) return undefined;
  return {
    median: computeQuantile(values, 0.5),
    least: Math.min(...values),
    largest: Math.max(...values),
  };
}

function formatShare(value: number): string {
  return `${(value * 100).toFixed(1)}%`;
}

/** One line with the figures of a run. */
export function formatRun({
  policy,
  seed,
  isDiscarded,
  score,
}: ReportedRun): string {
  const parts = [
    policy.padEnd(12),
    `seed=${seed}`,
    `attainment=${formatShare(score.attainment)}`,
    `loads=${score.modelLoads}+${score.warmUpLoads}`,
    `worst=${formatShare(score.worstAccount)}`,
    `best=${formatShare(score.bestAccount)}`,
    `refused-inside=${score.refusedInside}/${score.insideRate}`,
    `excess=${score.largestExcessTokens.toFixed(0)}`,
    `first-token-p50=${score.firstTokenP50Ms.toFixed(0)}ms`,
    `first-token-p95=${score.firstTokenP95Ms.toFixed(0)}ms`,
    `between-p95=${score.betweenTokensP95Ms.toFixed(1)}ms`,
    `others-in-flood=${formatShare(score.othersAttainmentInFlood)}`,
    `lag-p99=${score.sendLagP99Ms.toFixed(1)}ms`,
    `loop-p99=${score.loopDelayP99Ms.toFixed(1)}ms`,
  ];
  if (score.attainmentAfterFault !== undefined) {
    parts.push(`after-fault=${formatShare(score.attainmentAfterFault)}`);
  }
  if (isDiscarded) parts.push('discarded');
  return `${parts.join('  ')}\n  ${JSON.stringify(score.codes)}`;
}

/** Creates a report without runs. */
export function createReport(
  fields: Pick<
    MeasurementReport,
    | 'deployment'
    | 'accelerators'
    | 'fault'
    | 'seeds'
    | 'warmUpMs'
    | 'durationMs'
  >,
): MeasurementReport {
  return {
    date: formatToday(),
    compression: COMPRESSION,
    machine: readMachineSize(),
    runs: [],
    ...fields,
  };
}
