/** Starts a whole system as separate processes on loopback. */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {assertInvariant} from '@siskinplank/foundation';
import {ResourceKind, UpstreamType} from '@siskinplank/resources';
import type {Upstream} from '@siskinplank/resources';
import {releasePort, reservePort} from '@siskinplank/stand-ins';
import {spawnProduct, spawnStandIn} from './commands';
import {createStandInControl} from './control-client';
import {FleetRank, createFleet} from './fleet';
import type {Fleet} from './fleet';
import {createHostRegistry} from './hosts';
import {createFaultNetwork} from './network';
import type {FaultNetwork} from './network';

import {waitForReadyUrl} from './readiness';
import {createSettingsWriter} from './settings-files';
import type {
  Cluster,
  ClusterOptions,
  EngineSpec,
  EntryNode,
  EntrySpec,
  SeedObject,
  SideNode,
  StandInControl,
} from './types';
import {buildUpstream, chooseFailureDomain, planUpstreams} from './upstreams';
import type {UpstreamPlan} from './upstreams';

const DEFAULT_READY_TIMEOUT_MS = 30_000;

function listEntrySpecs(entries: number | EntrySpec[] = 1): EntrySpec[] {
  return typeof entries === 'number'
    ? Array.from({length: entries}, () => ({}))
    : entries;
}

/** Starts the system; on any failure nothing is left running. */
export async function startCluster(
  options: ClusterOptions = {},
): Promise<Cluster> {
  const directory = mkdtempSync(join(tmpdir(), 'siskinplank-'));
  const fleet = createFleet();
  const network = createFaultNetwork(options.hasProxies ?? true, () =>
    fleet.listRunning(),
  );
  const ports: number[] = [];
  const closeAll = async () => {
    const exits = await fleet.stop();
    await network.close();
    ports.forEach(releasePort);
    if (!options.keepsDirectory) {
      rmSync(directory, {recursive: true, force: true});
    }
    return exits;
  };
  try {
    const reserve = async (): Promise<number> => {
      const port = await reservePort();
      ports.push(port);
      return port;
    };
    const base = {options, directory, fleet, network, reserve};
    return await buildCluster(base, closeAll);
  } catch (error) {
    for (const {name} of fleet.listRunning()) await fleet.kill(name);
    await closeAll();
    return Promise.reject(error);
  }
}

interface ClusterBase {
  options: ClusterOptions;
  directory: string;
  fleet: Fleet;
  network: FaultNetwork;
  reserve: () => Promise<number>;
}

/** Starts stand-ins and keeps their control clients. */
function createStandInStarter(base: ClusterBase) {
  const controls = new Map<string, StandInControl>();
  /** Returns the port that other processes use. */
  const startStandIn = async (
    name: string,
    kind: string,
    options: object,
  ): Promise<number> => {
    const port = await base.reserve();
    const logFile = join(base.directory, `${name}.log`);
    await base.fleet.startProcess(name, FleetRank.StandIn, () =>
      spawnStandIn(name, kind, {...options, port}, logFile),
    );
    controls.set(name, createStandInControl(name, port));
    return base.network.addListener(name, port);
  };
  const getStandIn = (name: string): StandInControl => {
    const control = controls.get(name);
    assertInvariant(control !== undefined, `no stand-in ${name}`);
    return control;
  };
  return {startStandIn, getStandIn};
}

async function buildCluster(
  base: ClusterBase,
  closeAll: Cluster['stop'],
): Promise<Cluster> {
  const {options, directory, fleet, network, reserve} = base;
  const writer = createSettingsWriter(directory);
  const {startStandIn, getStandIn} = createStandInStarter(base);
  const plans = planUpstreams(options.engines ?? [], options.services ?? []);
  const readyUrls = new Map<string, string>();
  const entries: EntryNode[] = [];
  const sides: SideNode[] = [];
  const upstreams: Upstream[] = [];

  const {collector, weightStore} = options;
  const [platformPort, collectorPort, weightStorePort] = await Promise.all([
    startStandIn('platform', 'platform', options.platform ?? {}),
    collector ? startStandIn('collector', 'collector', {}) : undefined,
    weightStore && startStandIn('weight-store', 'weight-store', weightStore),
  ]);
  const platform = getStandIn('platform');
  const hosts = createHostRegistry(platform);
  const weightStoreUrl =
    weightStorePort === undefined
      ? undefined
      : `http://127.0.0.1:${weightStorePort}`;

  const putObject = async ({kind, name, value}: SeedObject): Promise<void> => {
    const path = `/v1/objects/${kind}/${encodeURIComponent(name)}`;
    const response = await fetch(`http://127.0.0.1:${platform.port}${path}`, {
      method: 'PUT',
      headers: {'content-type': 'application/json', 'if-none-match': '*'},
      body: JSON.stringify(value),
    });
    assertInvariant(response.ok, `seed ${kind} ${name}: ${response.status}`);
  };
  const startProduct = async (
    name: string,
    role: 'entry' | 'side',
    settingsFile: string,
  ): Promise<void> => {
    const rank = role === 'entry' ? FleetRank.Entry : FleetRank.Side;
    const args = [role, '--settings', settingsFile];
    await fleet.startProcess(name, rank, () =>
      spawnProduct(
        name,
        args,
        join(directory, `${name}.log`),
        options.productMain,
      ),
    );
  };
  const planLink = async (
    name: string,
    role: 'entry' | 'side',
    {failureDomain, region}: {failureDomain: string; region: string},
  ) => {
    const linkPort = await reserve();
    const advertisedPort = await network.addListener(name, linkPort);
    hosts.addHost({
      name,
      role,
      address: '127.0.0.1',
      port: advertisedPort,
      failureDomain,
      region,
      state: 'live',
    });
    const addresses = {linkPort, advertisedPort, platformPort, collectorPort};
    return {name, failureDomain, region, ...addresses};
  };
  const planSide = async (plan: UpstreamPlan): Promise<void> => {
    const {name: upstream, sideName, spec} = plan;
    const isEngine = plan.type === UpstreamType.Engine;
    const standInOptions = isEngine
      ? {weightStoreUrl, ...(spec as EngineSpec).options}
      : spec.options;
    const standInPort = await startStandIn(upstream, plan.type, {
      name: upstream,
      ...standInOptions,
    });
    const common = await planLink(sideName, 'side', plan);
    const httpPort = await reserve();
    upstreams.push(buildUpstream(plan, standInPort, common.advertisedPort));
    const settingsFile = writer.writeSide({...common, httpPort, upstream}, [
      options.sideSettings,
      spec.settings,
    ]);
    const {failureDomain, region} = plan;
    const httpUrl = `http://127.0.0.1:${httpPort}`;
    readyUrls.set(sideName, httpUrl);
    sides.push({
      name: sideName,
      failureDomain,
      region,
      httpUrl,
      upstream,
      settingsFile,
    });
  };
  const planEntry = async (spec: EntrySpec, index: number): Promise<void> => {
    const name = spec.name ?? `entry-${index + 1}`;
    const failureDomain = spec.failureDomain ?? chooseFailureDomain(index);
    const region = spec.region ?? 'default';
    const common = await planLink(name, 'entry', {failureDomain, region});
    const [callerPort, adminPort] = [await reserve(), await reserve()];
    const settingsFile = writer.writeEntry({...common, callerPort, adminPort}, [
      options.entrySettings,
      spec.settings,
    ]);
    const callerUrl = `http://127.0.0.1:${callerPort}`;
    const adminUrl = `http://127.0.0.1:${adminPort}`;
    readyUrls.set(name, callerUrl);
    entries.push({
      name,
      failureDomain,
      region,
      callerUrl,
      adminUrl,
      settingsFile,
    });
  };

  await Promise.all(plans.map(planSide));
  await Promise.all(listEntrySpecs(options.entries).map(planEntry));
  await hosts.publishHosts();
  if (options.seedsUpstreams ?? true) {
    for (const value of upstreams) {
      await putObject({kind: ResourceKind.Upstream, name: value.name, value});
    }
  }
  for (const object of options.objects ?? []) await putObject(object);
  for (const {name, settingsFile} of entries) {
    await startProduct(name, 'entry', settingsFile);
  }
  for (const {name, settingsFile} of sides) {
    await startProduct(name, 'side', settingsFile);
  }
  const waitForReady = async (
    names: readonly string[] = [...readyUrls.keys()],
  ): Promise<void> => {
    const timeoutMs = options.readyTimeoutMs ?? DEFAULT_READY_TIMEOUT_MS;
    await Promise.all(
      names.map(name => {
        const url = readyUrls.get(name);
        assertInvariant(url !== undefined, `no process ${name}`);
        return waitForReadyUrl(url, fleet.getProcess(name), timeoutMs);
      }),
    );
  };
  if (options.waitsForReady ?? true) await waitForReady();

  let commandCount = 0;
  let stopped: ReturnType<Cluster['stop']> | undefined;
  return {
    directory,
    secrets: writer.secrets,
    entries,
    sides,
    platform,
    collector: collector ? getStandIn('collector') : undefined,
    getStandIn,
    getProcess: fleet.getProcess,
    listUpstreams: () => upstreams,
    putObject,
    setHostState: hosts.setHostState,
    removeHost: hosts.removeHost,
    kill: fleet.kill,
    term: fleet.term,
    freeze: name => fleet.getProcess(name).sendSignal('SIGSTOP'),
    thaw: name => fleet.getProcess(name).sendSignal('SIGCONT'),
    restart: fleet.restart,
    waitForReady,
    getProxy: network.getProxy,
    getLink: network.getLink,
    partition: network.partition,
    heal: network.heal,
    runCommand: async args => {
      commandCount += 1;
      const name = `command-${commandCount}`;
      const logFile = join(directory, `${name}.log`);
      const command = spawnProduct(name, args, logFile);
      const exit = await command.waitForExit();
      return {exit, lines: command.listLines()};
    },
    stop: () => (stopped ??= closeAll()),
  };
}
