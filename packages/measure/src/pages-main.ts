/** Writes docs/MEASURES.md and its plots from docs/measures/*.json. */
import {
  existsSync,
  mkdirSync,
  readFileSync,
  readdirSync,
  writeFileSync,
} from 'node:fs';
import {join} from 'node:path';
import {WORKSPACE_ROOT} from '@siskinplank/proof';
import {
  FIGURES,
  formatReportName,
  listPolicies,
  renderPage,
} from './pages/render-page';
import {renderBarPlot} from './pages/render-plot';
import type {PathReport} from './path/measure-path';
import {PolicyName} from './policies/names';
import {summarizeRuns} from './report';
import type {MeasurementReport} from './report';

const DOCS = join(WORKSPACE_ROOT, 'docs');
const MEASURES = join(DOCS, 'measures');
const PATH_FILE = join(MEASURES, 'path.json');
const FULL_SEEDS = 10;
const DEPLOYMENT_NAMES = [
  'plaksne',
  'banat',
  'plaksne-upstream-killed',
  'plaksne-platform-down',
  'banat-upstream-killed',
  'banat-platform-down',
];

function readJson<T>(file: string): T {
  return JSON.parse(readFileSync(file, 'utf8')) as T;
}

function writePlots(report: MeasurementReport): void {
  const name = formatReportName(report);
  for (const {name: title, plot, select, format} of FIGURES) {
    if (plot === undefined) continue;
    const bars = listPolicies(report).flatMap(policy => {
      const spread = summarizeRuns(report.runs, policy, select);
      return spread === undefined ? [] : [{label: policy, spread}];
    });
    if (bars.length === 0) continue;
    mkdirSync(join(DOCS, 'plots'), {recursive: true});
    const text = renderBarPlot(`${name}: ${title}`, bars, format);
    writeFileSync(join(DOCS, 'plots', `${name}-${plot}.svg`), text);
  }
}

function listNotRun(reports: readonly MeasurementReport[]): string[] {
  const texts: string[] = [];
  for (const name of DEPLOYMENT_NAMES) {
    const report = reports.find(found => formatReportName(found) === name);
    if (report === undefined) {
      texts.push(`${name}: no run`);
      continue;
    }
    const counted = listPolicies(report);
    const missing = Object.values(PolicyName).filter(
      policy => !counted.includes(policy),
    );
    if (missing.length > 0) {
      texts.push(`${name}: no counted run of ${missing.join(', ')}`);
    }
    if (report.seeds.length < FULL_SEEDS) {
      texts.push(`${name}: ${report.seeds.length} of ${FULL_SEEDS} seeds`);
    }
  }
  return texts;
}

function main(): void {
  const deployments = readdirSync(MEASURES)
    .filter(file => file.endsWith('.json') && file !== 'path.json')
    .map(file => readJson<MeasurementReport>(join(MEASURES, file)));
  const path = existsSync(PATH_FILE)
    ? readJson<PathReport>(PATH_FILE)
    : undefined;
  deployments.forEach(writePlots);
  const notRun = listNotRun(deployments);
  if (path === undefined) notRun.push('path: no run');
  const page = renderPage({deployments, path, notRun});
  writeFileSync(join(DOCS, 'MEASURES.md'), page);
}

main();
