/** Platform calls and bytes of modelled fleets in calm and under faults. */
import {createSystemClock} from '@siskinplank/foundation';
import {MessageType} from '@siskinplank/messages';
import {ResourceKind} from '@siskinplank/resources';
import {LATER_SIZE, makeObject} from './fixtures';
import {createModelFleet} from './model-fleet';
import type {ModelFleet} from './model-fleet';
import type {FigureSink} from './types';

const COUNTED_TYPES = [
  MessageType.Heartbeat,
  MessageType.MemberDigest,
  MessageType.ConfigDigest,
  MessageType.ConfigDelta,
] as const;
const WRITES: ReadonlySet<string> = new Set(['put', 'delete']);
const SEED_OBJECTS = 50;
const START_SPREAD_MS = 2_000;
const SETTLE_MS = 40_000;
const CALM_MS = 20_000;
const OUTAGE_MS = 60_000;
const RETURN_MS = 15_000;
const CUT_MS = 40_000;
const SPREAD_WAIT_MS = 7_000;
const SPREAD_STEP_MS = 20;

/** Calls of the time since the last reading, by kind and in the worst second. */
function takeCalls(fleet: ModelFleet, seconds: number) {
  const {calls} = fleet.platform;
  const totals = new Map<string, number>();
  let worstWrites = 0;
  let worstReads = 0;
  for (const bySecond of calls.values()) {
    let writes = 0;
    let reads = 0;
    for (const [kind, count] of bySecond) {
      totals.set(kind, (totals.get(kind) ?? 0) + count);
      if (WRITES.has(kind)) writes += count;
      else reads += count;
    }
    worstWrites = Math.max(worstWrites, writes);
    worstReads = Math.max(worstReads, reads);
  }
  calls.clear();
  const rates = [...totals].map(
    ([kind, count]) => [kind, count / seconds] as const,
  );
  return {rates, worstWrites, worstReads};
}

/** Series of figures over fleet sizes, by name. */
type Series = Map<
  string,
  {unit: string; points: Array<{size: number; value: number}>}
>;

function addPoint(
  series: Series,
  name: string,
  unit: string,
  size: number,
  value: number,
): void {
  const known = series.get(name) ?? {unit, points: []};
  known.points.push({size, value});
  series.set(name, known);
}

async function runPhase(
  fleet: ModelFleet,
  series: Series,
  phase: string,
  durationMs: number,
): Promise<void> {
  const size = fleet.nodes.length;
  fleet.platform.calls.clear();
  fleet.platform.conflicts = 0;
  for (const node of fleet.nodes) node.network.resetTraffic();
  await fleet.clock.runFor(durationMs);
  const seconds = durationMs / 1_000;
  const {rates, worstWrites, worstReads} = takeCalls(fleet, seconds);
  const add = (name: string, unit: string, value: number): void =>
    addPoint(series, `${name} ${phase}`, unit, size, value);
  for (const kind of ['get', 'list', 'watch', 'hosts', 'put']) {
    const rate = rates.find(([found]) => found === kind)?.[1] ?? 0;
    add(`${kind} calls`, 'calls/s', rate);
  }
  add('most writes in a second', 'calls', worstWrites);
  add('most reads in a second', 'calls', worstReads);
  add('lost conditional writes', 'calls/s', fleet.platform.conflicts / seconds);
  const traffic = fleet.nodes
    .filter(node => node.isUp)
    .map(({network}) => network.nodeTraffic)
    .map(({sentBytes, receivedBytes}) => (sentBytes + receivedBytes) / seconds)
    .sort((a, b) => a - b);
  const mean = traffic.reduce((sum, value) => sum + value, 0) / traffic.length;
  add('bytes of a process, mean', 'B/s', mean);
  add('bytes of a process, most', 'B/s', traffic[traffic.length - 1]);
  for (const type of COUNTED_TYPES) {
    const bytes = fleet.nodes.map(
      ({network}) => network.nodeTraffic.byType.get(type) ?? 0,
    );
    const messages = fleet.nodes.map(
      ({network}) => network.nodeTraffic.messagesByType.get(type) ?? 0,
    );
    add(`bytes of ${type}, most`, 'B/s', Math.max(...bytes) / seconds);
    const rate = Math.max(...messages) / seconds;
    add(`messages of ${type}, most`, 'messages/s', rate);
  }
}

/** Time until a change is in every replica that is up, and on how many. */
async function measureSpread(
  fleet: ModelFleet,
  series: Series,
  phase: string,
): Promise<void> {
  const object = makeObject(
    ResourceKind.ClientAccount,
    1,
    LATER_SIZE,
    fleet.platform.revision,
  );
  fleet.platform.putDirectly(object.kind, object.name, object.value);
  const {revision} = fleet.platform;
  const startMs = fleet.clock.getNowMs();
  const behind = (): number =>
    fleet.nodes.filter(
      node => node.isUp && node.replica.getRevision() < revision,
    ).length;
  while (behind() > 0 && fleet.clock.getNowMs() - startMs < SPREAD_WAIT_MS) {
    await fleet.clock.runFor(SPREAD_STEP_MS);
  }
  const size = fleet.nodes.length;
  const spreadMs = fleet.clock.getNowMs() - startMs;
  addPoint(series, `spread of a change ${phase}`, 'ms', size, spreadMs);
  addPoint(
    series,
    `replicas behind after 7 s ${phase}`,
    'replicas',
    size,
    behind(),
  );
}

/** One fleet through all phases. */
async function runFleet(series: Series, processes: number): Promise<void> {
  const entries = Math.round((processes * LATER_SIZE.entries) / 1_330);
  const fleet = createModelFleet(entries, processes - entries);
  for (let index = 0; index < SEED_OBJECTS; index += 1) {
    const {kind, name, value} = makeObject(
      ResourceKind.ClientAccount,
      index,
      LATER_SIZE,
    );
    fleet.platform.putDirectly(kind, name, value);
  }
  const wallClock = createSystemClock();
  const startedMs = wallClock.getNowMs();
  const start = fleet.startAll(START_SPREAD_MS);
  await start;
  await runPhase(fleet, series, 'after a common start', RETURN_MS);
  await fleet.clock.runFor(SETTLE_MS);
  await runPhase(fleet, series, 'in calm', CALM_MS);
  await measureSpread(fleet, series, 'in calm');
  fleet.platform.isDown = true;
  fleet.platform.notifyWaiters();
  await runPhase(fleet, series, 'in an outage', OUTAGE_MS);
  fleet.platform.isDown = false;
  await runPhase(fleet, series, 'after an outage', RETURN_MS);
  await measureSpread(fleet, series, 'after an outage');
  fleet.hub.setReach((a, b) => a.region === b.region);
  fleet.setPlatformReach(identity => identity.region === 'region-a');
  await runPhase(fleet, series, 'with regions cut', CUT_MS);
  fleet.hub.setReach(() => true);
  fleet.setPlatformReach(() => true);
  await runPhase(fleet, series, 'after a region cut', RETURN_MS);
  await measureSpread(fleet, series, 'after a region cut');
  const lost = fleet.nodes[0].identity.failureDomain;
  for (const node of fleet.nodes) {
    if (node.identity.failureDomain === lost) await fleet.stopNode(node);
  }
  await runPhase(fleet, series, 'after a lost domain', RETURN_MS);
  await measureSpread(fleet, series, 'after a lost domain');
  const wallMs = wallClock.getNowMs() - startedMs;
  process.stdout.write(
    `modelled ${processes} processes in ${Math.round(wallMs / 1_000)} s\n`,
  );
}

/** Runs fleets of the given sizes and reports the slopes. */
export async function measureFleets(
  sink: FigureSink,
  sizes: readonly number[],
): Promise<void> {
  const series: Series = new Map();
  for (const size of sizes) await runFleet(series, size);
  for (const [name, {unit, points}] of series) {
    sink.addSeries('fleet', name, 'processes', points, unit);
  }
}
