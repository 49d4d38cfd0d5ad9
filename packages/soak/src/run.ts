/** One soak: starts all processes, injects faults under load, runs the checks. */
import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {createRandom} from '@siskinplank/foundation';
import {isReady, startStoreStandIn} from '@siskinplank/platform-stand-ins';
import type {StandInAccount} from '@siskinplank/platform-stand-ins';
import {WORKSPACE_ROOT} from '@siskinplank/proof';
import {getMonotonicMs} from '@siskinplank/stand-ins';
import {checkDeployment, checkHistory} from './checks';
import {RECOVERY_MS} from './checks/bounds';
import {StopVerdict, describeCut, checkCalls} from './checks/stops';
import {createFaultInjector} from './faults';
import {createSoakGateway} from './gateways';
import type {SoakGateway} from './gateways';
import {createHistory} from './history';
import type {History, Violation} from './history';
import {SoakPlan} from './plan';
import {createSetup} from './setups';
import {startProcessorQuota} from './testing/processor-quota';
import {createSoakUpstream} from './upstreams';
import type {SoakUpstream} from './upstreams';

export interface SoakOptions {
  seed: number;
  seconds: number;
  plan: SoakPlan;
  /** Directory for settings and logs. */
  directory: string;
}

export interface SoakResult {
  requestCount: number;
  faultCount: number;
  violations: Violation[];
  /** Further figures of the plan. */
  summary: readonly string[];
}

/** Time after the last fault: the recovery, and requests that test it. */
const CALM_MS = RECOVERY_MS + 2_500;
/** Heap of a gateway, as in `deploy/system.toml`. */
const MAX_HEAP_MB = 160;
/** Period and least lateness at which a turn of this process is recorded. */
const TURN_PERIOD_MS = 50;
const MIN_LATE_MS = 200;
const READY_POLL_MS = 100;
/** Longer bodies are cut off in the files of a soak. */
const MAX_WRITTEN_LENGTH = 200;
/** Cuts of one verdict that are described. */
const MAX_DESCRIBED = 30;
const DESCRIBED_VERDICTS: readonly StopVerdict[] = [
  StopVerdict.LastPart,
  StopVerdict.Excused,
  StopVerdict.NoStop,
];
const READY_TIMEOUT_MS = 20_000;

function wait(forMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, forMs));
}

async function waitUntilReady(gateway: SoakGateway): Promise<boolean> {
  const endsAtMs = getMonotonicMs() + READY_TIMEOUT_MS;
  while (getMonotonicMs() < endsAtMs) {
    if (await isReady(gateway.readinessPort)) return true;
    await wait(READY_POLL_MS);
  }
  return false;
}

/** Turn of this process that came late; upstreams and callers stood still. */
interface LateTurn {
  atMs: number;
  lateMs: number;
}

/** Records late turns until the result is called. */
function recordLateTurns(getNowMs: () => number): () => LateTurn[] {
  const turns: LateTurn[] = [];
  let expectedMs = getNowMs() + TURN_PERIOD_MS;
  const timer = setInterval(() => {
    const atMs = getNowMs();
    const lateMs = atMs - expectedMs;
    if (lateMs > MIN_LATE_MS) turns.push({atMs, lateMs});
    expectedMs = atMs + TURN_PERIOD_MS;
  }, TURN_PERIOD_MS);
  return () => {
    clearInterval(timer);
    return turns;
  };
}

/** Counts the verdicts on the calls, and describes each cut around a stop. */
function summarizeCuts(
  history: History,
  lateTurns: readonly LateTurn[],
): string[] {
  const judged = checkCalls(history);
  const counts = new Map<StopVerdict, number>();
  for (const {verdict} of judged) {
    counts.set(verdict, (counts.get(verdict) ?? 0) + 1);
  }
  const stopped = history.processes.filter(({endSignal}) => endSignal === null);
  return [
    `${history.stops.length} stops, ${history.runs.length} runs, ${history.processes.length} processes, ${stopped.length} ended by themselves`,
    `${lateTurns.length} late turns of the soak, the longest ${Math.round(Math.max(0, ...lateTurns.map(({lateMs}) => lateMs)))} ms`,
    [...counts].map(([verdict, count]) => `${verdict}: ${count}`).join(', '),
    ...DESCRIBED_VERDICTS.flatMap(verdict =>
      judged
        .filter(item => item.verdict === verdict)
        .slice(0, MAX_DESCRIBED)
        .map(item => describeCut(history, item)),
    ),
  ];
}

/** Runs one soak; extended so that it ends CALM_MS after the last fault. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const random = createRandom(options.seed);
  const setup = createSetup(options.plan, options.seed);
  const startedAtMs = getMonotonicMs();
  const getNowMs = (): number => getMonotonicMs() - startedAtMs;
  const history = createHistory(setup.memoryMb);
  const endLateTurns = recordLateTurns(getNowMs);
  const store = await startStoreStandIn(random.getNext);

  const accounts = setup.makeAccounts();
  const callerAccounts = accounts.map(({name, keys}) => ({
    name,
    keys: [...keys],
  }));
  let version = 1;
  const putConfiguration = (): void => {
    version += 1 + random.getInteger(3);
    store.putConfiguration(setup.encode(version, accounts));
  };
  const recordLimit = ({name, ratePerSecond, burst}: StandInAccount): void =>
    void history.limits.push({
      account: name,
      ratePerSecond,
      burst,
      fromMs: getNowMs(),
    });
  putConfiguration();
  accounts.forEach(recordLimit);

  const upstreams: SoakUpstream[] = [];
  for (const [index, upstreamOptions] of setup.upstreams.entries()) {
    const upstream = await createSoakUpstream(
      upstreamOptions.service,
      index,
      store,
      history,
      random,
      getNowMs,
      upstreamOptions,
    );
    upstream.register();
    upstreams.push(upstream);
  }
  const program = [
    `--max-old-space-size=${MAX_HEAP_MB}`,
    join(WORKSPACE_ROOT, 'target/gateway.cjs'),
  ];
  const gateways: SoakGateway[] = [];
  for (const [index, gatewayOptions] of setup.gateways.entries()) {
    gateways.push(
      await createSoakGateway(
        index,
        store.port,
        program,
        options.directory,
        gatewayOptions,
        getNowMs,
      ),
    );
  }
  for (const gateway of gateways) gateway.start();
  const areReady = await Promise.all(gateways.map(waitUntilReady));

  const {processorFraction} = setup;
  const quotas =
    processorFraction === undefined
      ? []
      : gateways.map(gateway =>
          startProcessorQuota(gateway, processorFraction),
        );

  const poisonedParts = new Set<string>();
  let poisonCount = 0;
  const faultInjector = createFaultInjector({
    gateways,
    upstreams,
    store,
    history,
    getNowMs,
    withdrawKey: variant => {
      const index = Math.floor(variant * accounts.length);
      const account = accounts[index];
      if (account.keys.length <= 1) return;
      const [key, ...keys] = account.keys;
      accounts[index] = {...account, keys};
      putConfiguration();
      history.withdrawnKeys.set(key, getNowMs());
    },
    poisonPrompts: () => {
      poisonCount += 1;
      const part = `poison-${poisonCount}`;
      poisonedParts.add(part);
      for (const {standIn} of upstreams) {
        standIn.setPoisonedParts(poisonedParts);
      }
      return traffic.addPoison(part);
    },
    changeLimit: variant => {
      const index = Math.floor(variant * accounts.length);
      const account = accounts[index];
      const factor = random.getNext() < 0.5 ? 0.5 : 1.5;
      const ratePerSecond = Math.round(account.ratePerSecond * factor);
      accounts[index] = {...account, ratePerSecond};
      putConfiguration();
      recordLimit(accounts[index]);
    },
  });

  const traffic = setup.startTraffic({
    gateways,
    accounts: callerAccounts,
    history,
    random,
    hostName: setup.hostName,
    getNowMs,
  });
  const lengthMs = options.seconds * 1_000;
  const soakStartMs = getNowMs();
  const faults = setup.planFaults(random, {
    plan: options.plan,
    gatewayCount: gateways.length,
    upstreamCount: upstreams.length,
    lengthMs,
    calmMs: CALM_MS,
  });
  await Promise.all(
    faults.map(async fault => {
      await wait(fault.atMs);
      await faultInjector.inject(fault);
    }),
  );
  // Stops and drains may end after their planned time; recovery starts then.
  const lastFaultMs = Math.max(
    soakStartMs,
    ...history.faults.map(({toMs}) => toMs),
  );
  const endsAtMs = Math.max(soakStartMs + lengthMs, lastFaultMs + CALM_MS);
  await wait(Math.max(0, endsAtMs - getNowMs()));
  await traffic.stop();
  const ended = gateways.filter(gateway => !gateway.isRunning());
  await Promise.all(gateways.map(gateway => gateway.stop()));
  await Promise.all(quotas.map(quota => quota.end()));
  for (const {standIn, proxy} of upstreams) {
    await proxy.close();
    await standIn.close();
  }
  for (const {storeProxy} of gateways) await storeProxy.close();
  await store.close();

  const lateTurns = endLateTurns();
  writeFileSync(
    join(options.directory, 'calls.json'),
    JSON.stringify(
      {
        lateTurns,
        stops: history.stops,
        calls: history.calls,
        runs: history.runs,
      },
      (_key, value: unknown) =>
        typeof value === 'string' ? value.slice(0, MAX_WRITTEN_LENGTH) : value,
    ),
  );
  writeFileSync(
    join(options.directory, 'faults.json'),
    JSON.stringify(history.faults, undefined, 1),
  );
  history.processes.push(
    ...gateways.flatMap(gateway => gateway.listProcesses()),
  );
  const isDeployment = options.plan === SoakPlan.Deployment;
  const check = isDeployment ? checkDeployment : checkHistory;
  const violations = check(history);
  for (const {name} of ended) {
    violations.push({check: 'ended', detail: `${name} ended by itself`});
  }
  if (areReady.includes(false)) {
    violations.push({check: 'start', detail: 'a gateway was never ready'});
  }
  return {
    requestCount: history.calls.length,
    faultCount: history.faults.length,
    violations,
    summary: isDeployment
      ? [setup.description, ...summarizeCuts(history, lateTurns)]
      : [],
  };
}
