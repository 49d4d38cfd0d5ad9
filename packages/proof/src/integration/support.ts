/** Objects and calls that the integration tests share. */
import {createSystemClock, makeSecureId} from '@siskinplank/foundation';
import {ResourceKind, formatKey, hashSecret} from '@siskinplank/resources';
import type {ClientAccount, Model} from '@siskinplank/resources';
import type {Cluster, EntryNode, SeedObject} from '../cluster/types';

const clock = createSystemClock();
const POLL_MS = 50;
/** Longest time until an accepted change is in force everywhere. */
export const IN_FORCE_LIMIT_MS = 7_000;
const DEFAULT_WAIT_MS = 15_000;
const SECRET_BYTES = 24;
const KEY_ID_BYTES = 8;

/** Waits until `check` holds; rejects with what `describe` gives. */
export async function waitUntil(
  check: () => boolean | Promise<boolean>,
  limitMs: number = DEFAULT_WAIT_MS,
  describe: () => string = () => 'the condition does not hold',
): Promise<void> {
  const deadlineMs = clock.getNowMs() + limitMs;
  while (!(await check())) {
    if (clock.getNowMs() > deadlineMs) {
      return Promise.reject(new Error(`${describe()} after ${limitMs} ms`));
    }
    await clock.waitMs(POLL_MS);
  }
}

/** Makes a client account to be stored before the start. */
export function makeAccount(
  name: string,
  fields: Partial<ClientAccount> = {},
): SeedObject {
  const value = {rateTokensPerSecond: 5_000, burstTokens: 50_000, ...fields};
  return {kind: ResourceKind.ClientAccount, name, value: {name, ...value}};
}

/** Makes a model to be stored before the start. */
export function makeModel(
  name: string,
  fields: Partial<Model> = {},
): SeedObject {
  const value = {memoryMiB: 1_000, ...fields};
  return {kind: ResourceKind.Model, name, value: {name, ...value}};
}

/** Stores a key of `account` and returns it as the caller presents it. */
export async function putKey(
  cluster: Cluster,
  account: string,
): Promise<string> {
  const keyId = makeSecureId(KEY_ID_BYTES);
  const secret = makeSecureId(SECRET_BYTES);
  const hashKey = Buffer.from(cluster.secrets.keyHashSecret, 'utf8');
  await cluster.putObject({
    kind: ResourceKind.ApiKey,
    name: keyId,
    value: {
      name: keyId,
      account,
      secretHash: hashSecret(hashKey, secret),
      createdAtMs: clock.getWallMs(),
    },
  });
  return formatKey(keyId, secret);
}

/** Reads the status of a call that needs a key and no upstream. */
async function probeKey(entry: EntryNode, key: string): Promise<number> {
  const response = await fetch(`${entry.callerUrl}/v1/models`, {
    headers: {authorization: `Bearer ${key}`},
  });
  await response.arrayBuffer();
  return response.status;
}

/** Stores a key and waits until all entry processes accept it. */
export async function issueKey(
  cluster: Cluster,
  account: string,
): Promise<string> {
  const key = await putKey(cluster, account);
  await Promise.all(
    cluster.entries.map(entry =>
      waitUntil(
        async () => (await probeKey(entry, key)) === 200,
        IN_FORCE_LIMIT_MS,
        () => `${entry.name} does not accept the key`,
      ),
    ),
  );
  return key;
}

/** Body and options of `sendJson`. */
export interface PostOptions {
  headers?: Record<string, string>;
  signal?: AbortSignal;
}

/** Sends a JSON body with a bearer key. */
export function sendJson(
  url: string,
  key: string,
  body: unknown,
  options: PostOptions = {},
): Promise<Response> {
  return fetch(url, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${key}`,
      'content-type': 'application/json',
      ...options.headers,
    },
    body: typeof body === 'string' ? body : JSON.stringify(body),
    signal: options.signal,
  });
}

/** Makes the body of a chat completion. */
export function makeChat(
  model: string,
  content: string,
  maxTokens = 8,
): Record<string, unknown> {
  const messages = [{role: 'user', content}];
  return {model, messages, max_tokens: maxTokens};
}
