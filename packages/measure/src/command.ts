/** Command line of the measurements. */
import {writeFileSync} from 'node:fs';
import {cac} from 'cac';
import {z} from 'zod';
import {DEPLOYMENTS, DeploymentName} from './deployments';
import type {Deployment} from './deployments';
import {scoreRun} from './evaluate';
import {measurePath} from './path/measure-path';
import {PolicyName} from './policies/names';
import {createReport, formatRun} from './report';
import type {MeasurementReport, ReportedRun} from './report';
import {MeasuredFault, runPolicy} from './run-policy';
import {makeTrace} from './trace';

const EXIT_DONE = 0;
const EXIT_USAGE = 2;
/** A run with a larger 99th percentile of the send lag does not count. */
const MAX_SEND_LAG_MS = 25;
const MILLISECONDS_IN_SECOND = 1_000;

const optionsSchema = z.object({
  deployment: z.enum(DeploymentName),
  policy: z.enum(PolicyName).optional(),
  seed: z.int().default(1),
  seeds: z.int().min(1).max(100).default(1),
  json: z.string().optional(),
  fault: z.enum(MeasuredFault).optional(),
  seconds: z.number().min(5).max(120).default(40),
  warmUpSeconds: z.number().min(1).max(60).default(10),
});

type MeasureOptions = z.output<typeof optionsSchema>;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

async function measurePolicy(
  deployment: Deployment,
  policy: PolicyName,
  seed: number,
  options: MeasureOptions,
): Promise<ReportedRun> {
  const trace = makeTrace(deployment, seed, {
    warmUpMs: options.warmUpSeconds * MILLISECONDS_IN_SECOND,
    durationMs: options.seconds * MILLISECONDS_IN_SECOND,
  });
  const result = await runPolicy(deployment, trace, policy, options.fault);
  const score = scoreRun(trace, result, deployment.engines);
  const isDiscarded = score.sendLagP99Ms > MAX_SEND_LAG_MS;
  return {policy, seed, isDiscarded, score};
}

async function measureAll(options: MeasureOptions): Promise<MeasurementReport> {
  const deployment = DEPLOYMENTS[options.deployment];
  const seeds = Array.from(
    {length: options.seeds},
    (_, index) => options.seed + index,
  );
  const policies =
    options.policy === undefined ? Object.values(PolicyName) : [options.policy];
  const report = createReport({
    deployment: deployment.name,
    accelerators: deployment.engines,
    fault: options.fault,
    seeds,
    warmUpMs: options.warmUpSeconds * MILLISECONDS_IN_SECOND,
    durationMs: options.seconds * MILLISECONDS_IN_SECOND,
  });
  for (const seed of seeds) {
    for (const policy of policies) {
      const run = await measurePolicy(deployment, policy, seed, options);
      report.runs.push(run);
      print(formatRun(run));
      // Written after each run, so that an interrupted measurement is kept.
      if (options.json !== undefined) {
        writeFileSync(options.json, `${JSON.stringify(report, null, 2)}\n`);
      }
    }
  }
  return report;
}

/** Runs the measurements; returns the exit status. */
export async function runMeasureCommand(
  argv: readonly string[],
): Promise<number> {
  const command = cac('measure');
  command.option('--deployment <name>', 'plaksne or banat');
  command.option('--policy <name>', 'One policy in place of all');
  command.option('--path', 'Measure the path in place of the policies');
  command.option('--seed <number>', 'First seed of the traces');
  command.option('--seeds <number>', 'Number of seeds');
  command.option('--seconds <number>', 'Measured time of a run');
  command.option('--warm-up-seconds <number>', 'Time before the measured one');
  command.option('--fault <name>', 'upstream-killed or platform-down');
  command.option('--json <file>', 'File for the report');
  command.help();
  const {options} = command.parse([...argv], {run: false});
  if (options.help === true) return EXIT_DONE;
  if (options.path === true) {
    const report = await measurePath();
    const text = JSON.stringify(report, null, 2);
    print(text);
    const file = options.json as string | undefined;
    if (file !== undefined) writeFileSync(file, `${text}\n`);
    return EXIT_DONE;
  }
  const parsed = optionsSchema.safeParse(options);
  if (!parsed.success) {
    process.stderr.write(`${z.prettifyError(parsed.error)}\n`);
    return EXIT_USAGE;
  }
  await measureAll(parsed.data);
  return EXIT_DONE;
}
