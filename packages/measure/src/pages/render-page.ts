/** Renders docs/MEASURES.md from the reports. */
import type {RunScore} from '../evaluate';
import type {PathReport} from '../path/measure-path';
import {PolicyName} from '../policies/names';
import {summarizeRuns} from '../report';
import type {MeasurementReport, Spread} from '../report';

/** Reports that were found. */
export interface FoundReports {
  deployments: readonly MeasurementReport[];
  path: PathReport | undefined;
  /** Measurements that were not run. */
  notRun: readonly string[];
}

/** A figure of each policy. */
export interface Figure {
  name: string;
  select: (score: RunScore) => number;
  format: (value: number) => string;
  /** File name part of its plot, if it is plotted. */
  plot?: string;
}

const ATTAINMENT_AIM = 1.5;
const MOVES_AIM = 0.5;
const FAIRNESS_AIM = 0.05;
const REFUSED_AIM = 0.001;
const ADDED_AIM = 3;
const THROUGHPUT_AIM = 0.5;

const formatShare = (value: number): string => `${(value * 100).toFixed(1)}%`;
const formatCount = (value: number): string => value.toFixed(0);
const formatMs = (value: number): string => `${value.toFixed(0)} ms`;

/** Figures in the order of the tables. */
export const FIGURES: readonly Figure[] = [
  {
    name: 'attainment',
    select: score => score.attainment,
    format: formatShare,
    plot: 'attainment',
  },
  {
    name: 'attained requests per accelerator and second',
    select: score => score.attainedPerAcceleratorSecond,
    format: value => value.toFixed(2),
  },
  {
    name: 'model loads',
    select: score => score.modelLoads,
    format: formatCount,
    plot: 'model-loads',
  },
  {
    name: 'worst-served account',
    select: score => score.worstAccount,
    format: formatShare,
    plot: 'worst-account',
  },
  {
    name: 'best-served account',
    select: score => score.bestAccount,
    format: formatShare,
  },
  {
    name: 'refused although inside the rate',
    select: score => score.refusedInsideShare,
    format: value => `${(value * 100).toFixed(2)}%`,
  },
  {
    name: 'largest use beyond rate and burst (tokens; at most 0)',
    select: score => score.largestExcessTokens,
    format: formatCount,
  },
  {
    name: 'first token p50',
    select: score => score.firstTokenP50Ms,
    format: formatMs,
  },
  {
    name: 'first token p95',
    select: score => score.firstTokenP95Ms,
    format: formatMs,
  },
  {
    name: 'between tokens p95',
    select: score => score.betweenTokensP95Ms,
    format: formatMs,
  },
  {
    name: "others' attainment while one account sends 5x",
    select: score => score.othersAttainmentInFlood,
    format: formatShare,
  },
  {
    name: "others' goodput meanwhile (tokens/s)",
    select: score => score.othersGoodputInFlood,
    format: formatCount,
  },
  {
    name: 'send lag p99 of the load generator',
    select: score => score.sendLagP99Ms,
    format: formatMs,
  },
];

function formatSpread(spread: Spread | undefined, figure: Figure): string {
  if (spread === undefined) return 'not run';
  const {median, least, largest} = spread;
  const text = figure.format(median);
  if (least === largest) return text;
  return `${text} (${figure.format(least)}–${figure.format(largest)})`;
}

function formatVerdict(isMet: boolean): string {
  return isMet ? 'met' : 'missed';
}

function renderAims(report: MeasurementReport): string[] {
  const median = (
    policy: PolicyName,
    select: (score: RunScore) => number,
  ): number | undefined => summarizeRuns(report.runs, policy, select)?.median;
  const own = PolicyName.Siskinplank;
  const attainment = median(own, score => score.attainment);
  const fixed = median(PolicyName.Static, score => score.attainment);
  const loads = median(own, score => score.modelLoads);
  const greedyLoads = median(PolicyName.Greedy, score => score.modelLoads);
  const worst = median(own, score => score.worstAccount);
  const best = median(own, score => score.bestAccount);
  const refused = median(own, score => score.refusedInsideShare);
  const excess = summarizeRuns(
    report.runs,
    own,
    score => score.largestExcessTokens,
  )?.largest;
  const lines: string[] = [];
  const addLine = (
    aim: string,
    value: number | undefined,
    text: (value: number) => string,
    isMet: (value: number) => boolean,
  ): void => {
    const cells =
      value === undefined
        ? ['not run', '']
        : [text(value), formatVerdict(isMet(value))];
    lines.push(`| ${aim} | ${cells.join(' | ')} |`);
  };
  const divide = (a?: number, b?: number): number | undefined =>
    a === undefined || b === undefined ? undefined : a / Math.max(b, 1e-9);
  addLine(
    `attainment per accelerator ≥ ${ATTAINMENT_AIM}x static`,
    divide(attainment, fixed),
    value => `${value.toFixed(2)}x`,
    value => value >= ATTAINMENT_AIM,
  );
  addLine(
    `model loads ≤ ${MOVES_AIM} of greedy`,
    divide(loads, greedyLoads),
    value => value.toFixed(2),
    value => value <= MOVES_AIM,
  );
  addLine(
    `worst-served account within ${FAIRNESS_AIM * 100}% of the best`,
    divide(worst, best),
    value => `${formatShare(1 - value)} below`,
    value => value >= 1 - FAIRNESS_AIM,
  );
  addLine(
    `refused inside the rate < ${REFUSED_AIM * 100}%`,
    refused,
    value => `${(value * 100).toFixed(2)}%`,
    value => value < REFUSED_AIM,
  );
  addLine(
    'never over rate and burst',
    excess,
    value => `${value.toFixed(0)} tokens`,
    value => value <= 0,
  );
  return ['| aim | measured | |', '| --- | --- | --- |', ...lines, ''];
}

/** Policies that a report has counted runs of. */
export function listPolicies(report: MeasurementReport): PolicyName[] {
  return Object.values(PolicyName).filter(policy =>
    report.runs.some(run => run.policy === policy && !run.isDiscarded),
  );
}

/** Name of a report in file names. */
export function formatReportName(report: MeasurementReport): string {
  const {deployment, fault} = report;
  return fault === undefined ? deployment : `${deployment}-${fault}`;
}

/** Discarded runs are shown, but no target is evaluated on them. */
function renderDiscarded(report: MeasurementReport): string[] {
  const discarded = report.runs.filter(run => run.isDiscarded);
  if (discarded.length === 0) return [];
  const rows = discarded.map(({policy, seed, score}) => {
    const cells = [
      policy,
      String(seed),
      formatShare(score.attainment),
      formatCount(score.modelLoads),
      formatShare(score.worstAccount),
      formatShare(score.bestAccount),
      `${score.refusedInside} of ${score.insideRate}`,
      formatCount(score.largestExcessTokens),
      formatMs(score.sendLagP99Ms),
    ];
    return `| ${cells.join(' | ')} |`;
  });
  return [
    'Discarded runs, for information only:',
    '',
    '| policy | seed | attainment | model loads | worst account | best account | refused inside | beyond the limit | send lag p99 |',
    '| --- | --- | --- | --- | --- | --- | --- | --- | --- |',
    ...rows,
    '',
  ];
}

function renderCounted(report: MeasurementReport): string[] {
  const name = formatReportName(report);
  const policies = listPolicies(report);
  if (policies.length === 0) return [];
  const rows = FIGURES.map(figure => {
    const cells = policies.map(policy =>
      formatSpread(summarizeRuns(report.runs, policy, figure.select), figure),
    );
    return `| ${figure.name} | ${cells.join(' | ')} |`;
  });
  return [
    'Medians, with least and largest of several seeds in parentheses:',
    '',
    `| | ${policies.join(' | ')} |`,
    `| --- |${policies.map(() => ' --- |').join('')}`,
    ...rows,
    '',
    ...FIGURES.filter(({plot}) => plot !== undefined).map(
      ({plot, name: title}) => `![${title}](plots/${name}-${plot}.svg)`,
    ),
    '',
  ];
}

function renderDeployment(report: MeasurementReport): string[] {
  const name = formatReportName(report);
  const discarded = report.runs.filter(run => run.isDiscarded).length;
  const {machine} = report;
  const seconds = report.durationMs / 1_000;
  return [
    `## ${name}`,
    '',
    `Date ${report.date}; ${machine.cores} cores, ${machine.memoryGiB} GiB, load average before the first run ${machine.loadBefore.toFixed(1)}; seeds ${report.seeds.join(', ')}; ${seconds} s measured after ${report.warmUpMs / 1_000} s of warm-up; model times compressed to ${report.compression}; ${report.accelerators} accelerators; ${discarded} of ${report.runs.length} runs discarded because the load generator lagged.`,
    '',
    ...(machine.loadBefore > machine.cores / 2
      ? ['The machine was shared with other work: these are trial figures.', '']
      : []),
    ...renderAims(report),
    ...renderCounted(report),
    ...renderDiscarded(report),
  ];
}

function renderPath(path: PathReport): string[] {
  const {direct, bare, product, memory, machine} = path;
  const late = memory.filter(({requests}) => requests >= 2_000);
  const first = late[0];
  const last = late[late.length - 1];
  const formatLatency = ({p50Ms, p99Ms}: typeof direct): string =>
    `${p50Ms.toFixed(2)} ms | ${p99Ms.toFixed(2)} ms`;
  return [
    '## Path',
    '',
    `Date ${path.date}; ${machine.cores} cores, ${machine.memoryGiB} GiB, load average before ${machine.loadBefore.toFixed(1)}. ${path.smallRequests} small requests at ${path.requestsPerSecond}/s; ${path.streams} streams at the same time.`,
    '',
    ...(machine.loadBefore > machine.cores / 2
      ? ['The machine was shared with other work: these are trial figures.', '']
      : []),
    '| small requests | p50 | p99 |',
    '| --- | --- | --- |',
    `| engine stand-in alone | ${formatLatency(direct)} |`,
    `| bare undici hop | ${formatLatency(bare)} |`,
    `| entry and side process | ${formatLatency(product)} |`,
    '',
    '| aim | measured | |',
    '| --- | --- | --- |',
    `| both hops add at p99 ≤ ${ADDED_AIM}x the bare hop's p99 | ${path.addedRatio.toFixed(2)}x | ${formatVerdict(path.addedRatio <= ADDED_AIM)} |`,
    `| streamed tokens/s ≥ ${THROUGHPUT_AIM} of the bare hop's | ${path.productTokensPerSecond.toFixed(0)} of ${path.bareTokensPerSecond.toFixed(0)}: ${path.throughputRatio.toFixed(2)} | ${formatVerdict(path.throughputRatio >= THROUGHPUT_AIM)} |`,
    `| memory flat from 2,000 to 10,000 requests | entry ${first.entryMiB.toFixed(0)} → ${last.entryMiB.toFixed(0)} MiB, side ${first.sideMiB.toFixed(0)} → ${last.sideMiB.toFixed(0)} MiB | |`,
    '',
  ];
}

/** Renders the page. */
export function renderPage(found: FoundReports): string {
  return [
    '# Measures',
    '',
    'Written by `npx tsx packages/measure/src/pages-main.ts` from `docs/measures/*.json`; do not edit.',
    '',
    'Each policy gets the same seeded trace, replayed against real processes on loopback with engine stand-ins. A request counts as attained when it is awaited and its first token comes within 1.7 s and its tokens at most 78 ms apart at p95 of the request (both compressed), or when it is for overnight and answered by its deadline. Only requests within their account’s rate count, judged from outside by a reference bucket. Model loads are counted at the engine stand-ins after the warm-up.',
    '',
    ...found.deployments.flatMap(renderDeployment),
    ...(found.path === undefined ? [] : renderPath(found.path)),
    '## Not run',
    '',
    ...found.notRun.map(text => `- ${text}`),
    '',
  ].join('\n');
}
