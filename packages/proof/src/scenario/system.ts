/** Starts the system of a scenario and issues the keys of its accounts. */
import {join} from 'node:path';
import {ResourceKind} from '@siskinplank/resources';
import {startCluster} from '../cluster/cluster';
import {WORKSPACE_ROOT} from '../cluster/managed-process';
import type {Cluster, EngineSpec, SeedObject} from '../cluster/types';
import {failStep, waitUntil} from './context';
import type {IssuedKey} from './context';
import {sendAdminCall} from './operator';
import type {Scenario} from './schema';

const VARIANT_DIRECTORY = join(WORKSPACE_ROOT, 'packages/proof/src/variants');
const READY_LIMIT_MS = 60_000;
const HTTP_OK = 200;

/** Main file of a variant. */
export function getVariantMain(name: string): string {
  return join(VARIANT_DIRECTORY, `${name}.main.ts`);
}

function listObjects({accounts, system}: Scenario): SeedObject[] {
  const accountObjects = accounts.map(account => ({
    kind: ResourceKind.ClientAccount,
    name: account.name,
    value: account,
  }));
  const objects = system.objects.map(({kind, name, spec}) => ({
    kind,
    name,
    value: {name, ...spec},
  }));
  return [...accountObjects, ...objects];
}

/** Starts the processes; with a variant, its main file runs the roles. */
export function startSystem(
  scenario: Scenario,
  variant?: string,
): Promise<Cluster> {
  const {system} = scenario;
  return startCluster({
    entries: system.entries,
    engines: system.engines as EngineSpec[],
    services: system.services as EngineSpec[],
    platform: system.platform,
    weightStore: system.weightStore,
    collector: system.collector,
    entrySettings: system.entrySettings,
    sideSettings: system.sideSettings,
    objects: listObjects(scenario),
    readyTimeoutMs: READY_LIMIT_MS,
    ...(variant === undefined ? {} : {productMain: getVariantMain(variant)}),
  });
}

async function issueKey(cluster: Cluster, account: string): Promise<IssuedKey> {
  const {adminUrl} = cluster.entries[0];
  const token = cluster.secrets.bootstrapToken;
  let issued: IssuedKey | undefined;
  await waitUntil(`a key for ${account}`, async () => {
    const {isOk, body} = await sendAdminCall(adminUrl, token, 'IssueKey', {
      account,
    });
    const {key, keyId, code} = body as Partial<IssuedKey> & {code?: string};
    // On a busy machine the circuit to the platform may be open at the start.
    if (code === 'unavailable') return false;
    if (!isOk || key === undefined || keyId === undefined) {
      return failStep(`no key for ${account}: ${JSON.stringify(body)}`);
    }
    issued = {key, keyId};
    return true;
  });
  return issued ?? failStep(`no key for ${account}`);
}

/** Issues a key for each account and waits until all entry processes accept it. */
export async function issueKeys(
  cluster: Cluster,
  {accounts}: Scenario,
): Promise<Map<string, IssuedKey>> {
  const keys = new Map<string, IssuedKey>();
  for (const {name} of accounts) keys.set(name, await issueKey(cluster, name));
  for (const [account, {key}] of keys) {
    for (const {name, callerUrl} of cluster.entries) {
      await waitUntil(`${name} knows the key of ${account}`, async () => {
        const response = await fetch(`${callerUrl}/v1/models`, {
          headers: {authorization: `Bearer ${key}`},
        });
        await response.text();
        return response.status === HTTP_OK;
      });
    }
  }
  return keys;
}
