import fc from 'fast-check';
import {request} from 'undici';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import type {ConfigurationReplica} from '@siskinplank/configuration';
import {
  LogLevel,
  createLogger,
  createMetrics,
  createRandom,
  createSystemClock,
} from '@siskinplank/foundation';
import {FreshnessState} from '@siskinplank/messages';
import {createPlatformClient} from '@siskinplank/platform-client';
import type {StoredObject} from '@siskinplank/resources';
import {reservePort, startPlatformStandIn} from '@siskinplank/stand-ins';
import {createAdminServer} from './index';

const TOKEN = 'bootstrap-token-of-the-test';
const SERVICE = '/siskinplank.admin.v1.AdminService/';
const ACCOUNT = {
  kind: 'ClientAccount',
  name: 'parish',
  clientAccount: {rateTokensPerSecond: 100, burstTokens: 500},
};

/** Replica that holds only the objects written by this process. */
function createLocalReplica(): ConfigurationReplica {
  const objects = new Map<string, StoredObject>();
  return {
    getRevision: () => objects.size,
    getFreshness: () => ({state: FreshnessState.Confirmed, ageMs: 0}),
    getObject: ((kind: string, name: string) =>
      objects.get(`${kind}/${name}`)) as ConfigurationReplica['getObject'],
    listObjects: ((kind: string) =>
      [...objects.values()].filter(
        object => object.kind === kind,
      )) as unknown as ConfigurationReplica['listObjects'],
    subscribe: () => () => undefined,
    start: () => undefined,
    stop: () => Promise.resolve(),
    waitForRevision: () => Promise.resolve(true),
    applyLocalWrite: object =>
      void objects.set(`${object.kind}/${object.name}`, object as StoredObject),
  };
}

/** JSON of a response, as far as the tests look into it. */
interface ResponseJson {
  code: string;
  message: string;
  outcome: string;
  key: string & {withdrawnAtMs: number};
  keyId: string;
  token: string;
  resource: {clientAccount: {rateTokensPerSecond: number}};
  details: Array<{debug: {current: {clientAccount: object}}}>;
  keys: Array<{keyId: string}>;
  records: Array<{version: string}>;
}

async function createFixture() {
  const platform = await startPlatformStandIn();
  const clock = createSystemClock();
  const lines: string[] = [];
  const logger = createLogger({
    level: LogLevel.Debug,
    getWallMs: clock.getWallMs,
    write: line => lines.push(line),
  });
  const store = createPlatformClient({
    address: {host: '127.0.0.1', port: platform.port},
    timeoutMs: 500,
    callsPerSecond: 1_000,
    clock,
    random: createRandom(1),
    logger,
    metrics: createMetrics(),
    writerId: 'test',
  });
  const port = await reservePort();
  const server = createAdminServer(
    {host: '127.0.0.1', port},
    {
      processName: 'entry-1',
      store,
      configuration: createLocalReplica(),
      membership: {
        start: () => undefined,
        stop: () => undefined,
        listMembers: () => [],
        getMember: () => undefined,
        setOwnState: () => undefined,
        subscribe: () => () => undefined,
      },
      clock,
      logger,
      hashKey: Buffer.from('hash-key-of-the-test'),
      bootstrapToken: TOKEN,
      listLoads: () => [],
    },
  );
  (await server.start()).unsafeCoerce();
  const send = async (
    method: string,
    body: string,
    token: string = TOKEN,
  ): Promise<{status: number; body: ResponseJson}> => {
    const response = await request(
      `http://127.0.0.1:${port}${SERVICE}${method}`,
      {
        method: 'POST',
        headers: {
          'content-type': 'application/json',
          authorization: `Bearer ${token}`,
        },
        body,
      },
    );
    const text = await response.body.text();
    const parsed: unknown = text.startsWith('{') ? JSON.parse(text) : {};
    return {status: response.statusCode, body: parsed as ResponseJson};
  };
  const call = (method: string, body: object, token?: string) =>
    send(method, JSON.stringify(body), token);
  const close = async (): Promise<void> => {
    await server.stop();
    await store.close();
    await platform.close();
  };
  return {platform, lines, call, send, close};
}

describe('admin service', () => {
  let fixture: Awaited<ReturnType<typeof createFixture>>;

  beforeEach(async () => {
    fixture = await createFixture();
  });

  afterEach(() => fixture.close());

  it('creates a resource, reports no change and updates it', async () => {
    const {call} = fixture;
    const created = await call('ApplyResource', {resource: ACCOUNT});
    expect(created.body).toMatchObject({outcome: 'created'});
    const repeated = await call('ApplyResource', {resource: ACCOUNT});
    expect(repeated.body).toMatchObject({outcome: 'unchanged'});
    const changed = {
      ...ACCOUNT,
      clientAccount: {rateTokensPerSecond: 200, burstTokens: 500},
    };
    const updated = await call('ApplyResource', {resource: changed});
    expect(updated.body.resource.clientAccount.rateTokensPerSecond).toBe(200);
  });

  it('returns the current value on a version conflict', async () => {
    const {call} = fixture;
    await call('ApplyResource', {resource: ACCOUNT});
    const changed = {
      ...ACCOUNT,
      clientAccount: {rateTokensPerSecond: 1, burstTokens: 1},
    };
    const refused = await call('ApplyResource', {
      resource: changed,
      expectedVersion: '0',
    });
    expect(refused.body.code).toBe('aborted');
    expect(refused.body.details[0].debug.current.clientAccount).toMatchObject({
      rateTokensPerSecond: 100,
    });
    const kept = await call('GetResource', {
      kind: 'ClientAccount',
      name: 'parish',
    });
    expect(kept.body.resource.clientAccount.rateTokensPerSecond).toBe(100);
  });

  it('writes nothing in a dry run', async () => {
    const {call} = fixture;
    const dry = await call('ApplyResource', {resource: ACCOUNT, dryRun: true});
    expect(dry.body.outcome).toBe('created');
    const read = await call('GetResource', {
      kind: 'ClientAccount',
      name: 'parish',
    });
    expect(read.body.code).toBe('not_found');
  });

  it('returns a key once and stores only its hash', async () => {
    const {call, lines} = fixture;
    await call('ApplyResource', {resource: ACCOUNT});
    const issued = await call('IssueKey', {account: 'parish'});
    const secret = String(issued.body.key).split('-')[2];
    const listed = await call('ListKeys', {account: 'parish'});
    expect(listed.body.keys[0].keyId).toBe(issued.body.keyId);
    const seen = await request(
      `http://127.0.0.1:${fixture.platform.port}/v1/objects/ApiKey`,
    );
    const stored = await seen.body.text();
    expect(stored).toContain(issued.body.keyId);
    expect(stored + JSON.stringify(listed.body) + lines.join()).not.toContain(
      secret,
    );
  });

  it('withdraws a key and records who did it', async () => {
    const {call} = fixture;
    await call('ApplyResource', {resource: ACCOUNT});
    const issued = await call('IssueKey', {account: 'parish'});
    const withdrawn = await call('WithdrawKey', {keyId: issued.body.keyId});
    expect(withdrawn.body.key.withdrawnAtMs).toBeGreaterThan(0);
    const audit = await call('ListAuditRecords', {limit: 1});
    expect(audit.body.records[0]).toMatchObject({
      operator: 'bootstrap',
      action: 'withdraw-key',
      target: issued.body.keyId,
    });
    expect(Number(audit.body.records[0].version)).toBeGreaterThan(0);
  });

  it('rejects invalid tokens and changes by viewers', async () => {
    const {call} = fixture;
    const refused = await call('ListKeys', {}, 'wrong-token');
    expect(refused.body.code).toBe('unauthenticated');
    const issued = await call('IssueOperatorToken', {
      name: 'clerk',
      role: 'viewer',
    });
    const listed = await call('ListKeys', {}, issued.body.token);
    expect(listed.status).toBe(200);
    const change = await call(
      'ApplyResource',
      {resource: ACCOUNT},
      issued.body.token,
    );
    expect(change.body.code).toBe('permission_denied');
  });

  it('reports each invalid field and missing reference', async () => {
    const {call} = fixture;
    const invalid = await call('ApplyResource', {
      resource: {...ACCOUNT, clientAccount: {rateTokensPerSecond: -1}},
    });
    expect(invalid.body.message).toContain('rateTokensPerSecond');
    expect(invalid.body.message).toContain('burstTokens');
    const dangling = await call('ApplyResource', {
      resource: {
        kind: 'Adapter',
        name: 'names-lv',
        adapter: {model: 'missing', memoryMiB: 1},
      },
    });
    expect(dangling.body.message).toContain('Model "missing" does not exist');
  });

  it('returns client errors for arbitrary bodies', async () => {
    const {send, call} = fixture;
    await fc.assert(
      fc.asyncProperty(fc.string({maxLength: 100}), async body => {
        const response = await send('ApplyResource', body);
        expect(response.status).toBeGreaterThanOrEqual(400);
        expect(response.status).toBeLessThan(500);
      }),
      {numRuns: 30},
    );
    expect((await call('GetStatus', {})).status).toBe(200);
  });
});
