import {createServer, validateHeaderValue} from 'node:http';
import type {Server, ServerResponse} from 'node:http';
import {BlockList} from 'node:net';
import type {AddressInfo} from 'node:net';
import {createStoreHealth} from '@siskinplank/directory';
import {createUpstreamTable} from '@siskinplank/dispatch';
import {createSystemClock} from '@siskinplank/foundation';
import type {Logger} from '@siskinplank/foundation';
import {createConnectionPool} from '@siskinplank/http-exchange';
import {MessageType, decodeMessage, encodeMessage} from '@siskinplank/messages';
import {createPlatformPorts, createStoreClient} from '@siskinplank/platform';
import type {StoreClient} from '@siskinplank/platform';
import {createReceiveBudget} from '@siskinplank/receive-buffers';
import type {Upstream} from '@siskinplank/serving';
import fc from 'fast-check';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {createUpstreamView} from './upstream-view';

const RUNS = 500;
const TIMEOUT_MS = 60_000;
const STORE_TIMEOUT_MS = 2_000;
const SOUND_IDS = ['sound-1', 'sound-2'];
const SOUND_FIELDS: Readonly<Record<string, string>> = {
  service: '"desk"',
  address: '"10.0.0.1:80"',
  zone: '"a"',
  version: '"1"',
  slots: '32',
  state: '"ready"',
  cold_remaining_ms: '0',
  sequence: '0',
  born: '1700000000000',
  models: '[{"name":"m0","version":1,"adapters":["a1"]}]',
  remaining_ms: '1000',
};

function renderRecord(fields: Readonly<Record<string, string>>): string {
  const pairs = Object.entries(fields).map(
    ([name, text]) => `${JSON.stringify(name)}:${text}`,
  );
  return `{${pairs.join(',')}}`;
}

function renderObject(name: string, spec: string): string {
  const metadata = renderRecord({name: JSON.stringify(name), revision: '3'});
  return renderRecord({metadata, spec});
}

/** Text of JSON values, also of those that are hard to represent. */
const jsonText = fc.oneof(
  fc.json(),
  fc.double().map(number => String(number).replace(/NaN|Infinity/, '1e400')),
  fc.constantFrom(
    '1e400',
    '-1e400',
    '1e308',
    '9007199254740993',
    '-1',
    '0.5',
    'null',
    '"\\ud800"',
    '"__proto__"',
    '["__proto__"]',
    '{"__proto__":null,"constructor":1}',
    '"\\u0000\\r\\n"',
    `${'['.repeat(20_000)}${']'.repeat(20_000)}`,
    `"${'x'.repeat(100_000)}"`,
  ),
);

const oddNames = fc.oneof(
  fc.string(),
  fc.constantFrom('constructor', '__proto__', 'a/b', 'toString', 'i\r\nx: y'),
);

const addressText = fc
  .tuple(fc.array(fc.nat(300), {minLength: 4, maxLength: 4}), fc.nat(99_999))
  .map(([bytes, port]) => `"${bytes.join('.')}:${port}"`);

const modelsText = fc
  .array(
    fc.record({
      name: oddNames,
      version: fc.oneof(fc.nat(), fc.double(), fc.maxSafeInteger()),
      adapters: fc.array(oddNames, {maxLength: 3}),
    }),
    {maxLength: 3},
  )
  .map(models => JSON.stringify(models));

const oddField = fc.oneof(
  fc.tuple(fc.constantFrom(...Object.keys(SOUND_FIELDS)), jsonText),
  fc.tuple(fc.string(), jsonText),
  fc.tuple(fc.constant('address'), addressText),
  fc.tuple(fc.constant('models'), modelsText),
);

/** A sound record, some fields of which have other values. */
function makeOddRecord(
  sound: Readonly<Record<string, string>>,
): fc.Arbitrary<string> {
  const changed = fc.array(oddField, {maxLength: 2});
  const names = Object.keys(sound);
  return fc
    .tuple(changed, fc.subarray(names, {minLength: names.length - 1}))
    .map(([fields, kept]) =>
      renderRecord({
        ...Object.fromEntries(kept.map(name => [name, sound[name]])),
        ...Object.fromEntries(fields),
      }),
    );
}

const oddObject = fc.oneof(
  jsonText,
  fc
    .tuple(oddNames, makeOddRecord(SOUND_FIELDS))

    .map(([name, spec]) => renderObject(name, spec)),
  fc
    .tuple(makeOddRecord({name: '"odd"', revision: '3'}), jsonText)
    .map(([metadata, spec]) => renderRecord({metadata, spec})),
);

const SILENT_LOGGER: Logger = {
  log: (_event, fields) => {
    expect(JSON.stringify(fields).length).toBeLessThan(5_000);
  },
  withFields: () => SILENT_LOGGER,
};

/** Throws if a request can't be sent to the upstream. */
function checkUsable({id, address, models = []}: Upstream): void {
  new BlockList().addAddress(address.host);
  expect(address.port).toBeGreaterThan(0);
  expect(address.port).toBeLessThan(65_536);
  validateHeaderValue('X-Id', id);
  expect(id).toBe(id.trim());
  for (const {version} of models) {
    expect(Number.isSafeInteger(version)).toBe(true);
  }
}

/** What a gateway tells its peers of these upstreams. */
function encodeState(upstreams: readonly Upstream[]): Uint8Array {
  const table = createUpstreamTable();
  table.setUpstreams(upstreams);
  for (const {id, models = []} of upstreams) {
    table.open(id, '', 1, 2);
    for (const {name} of models) table.open(id, name, 1, 2);
    table.recordFault(id, 1, 0);
  }
  const open = table.collectLocalLoad(true);
  const faults = table.collectLocalFaults(0);
  const peerTable = createUpstreamTable();
  peerTable.setUpstreams(upstreams);
  peerTable.setPeerLoad('peer', open);
  peerTable.setPeerFaults('peer', faults, 0);
  for (const {id} of upstreams) {
    const entry = peerTable.getEntry(id);
    expect(entry?.open.requests).toBeGreaterThan(0);
    expect(entry?.getFaultWeight(0)).toBeGreaterThan(0);
  }
  peerTable.setPeerFaults('peer', {}, 0);
  peerTable.setPeerLoad('peer', {});
  for (const {id} of upstreams) {
    const entry = peerTable.getEntry(id);
    expect(entry?.open.requests).toBe(0);
    expect(entry?.getFaultWeight(0)).toBe(0);
  }
  const poison = {endings: [], sound: [], blames: [], deadlyRequests: []};
  return encodeMessage({
    type: MessageType.GatewayState,
    sequence: 1,
    isLeaving: false,
    directoryRevision: 1,
    memberCount: 1,
    configurationVersion: 1,
    orderToken: 1,
    isOrdering: false,
    open,
    demand: {},
    waitingStreams: {},
    poolCapacity: 0,
    faults,
    leaving: upstreams.map(({id, startedAtMs}) => [
      id,
      startedAtMs,
      1,
      1,
      false,
    ]),
    poison,
    limits: {},
    unitNeeds: {},
  });
}

describe('upstreams beside any odd entry', () => {
  const clock = createSystemClock();
  const pool = createConnectionPool({
    receiveBudget: createReceiveBudget({maxBytes: 33_554_432}),
    clock,
    connectTimeoutMs: 500,
    defaultIdleMs: 1_000,
  });
  let server: Server;
  let client: StoreClient;
  let odd = '';
  let changes: string[] = [];
  let waiting: ServerResponse | undefined;

  beforeAll(async () => {
    server = createServer((request, response) => {
      const isWatch = request.url?.includes('watch=') === true;
      if (!isWatch) {
        const sound = SOUND_IDS.map(id =>
          renderObject(id, renderRecord(SOUND_FIELDS)),
        );
        response.end(
          `{"items":[${[sound[0], odd, sound[1]].join(',')}],"as_of":5}`,
        );
        return;
      }
      const events = changes.map(object => `{"object":${object}}`);
      changes = [];
      if (events.length === 0) waiting = response;
      else response.end(`{"events":[${events.join(',')}],"as_of":7}`);
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const {port} = server.address() as AddressInfo;
    client = createStoreClient({
      receiveBudget: createReceiveBudget({maxBytes: 33_554_432}),
      address: `127.0.0.1:${port}`,
      timeoutMs: STORE_TIMEOUT_MS,
      clock,
    });
  });

  afterAll(async () => {
    await client.close();
    server.closeAllConnections();
    server.close();
  });

  it(
    'stay in use, are followed, and can be told to peers',
    async () => {
      const directory = createPlatformPorts(client, pool, clock).upstreams;
      const run = async (object: string): Promise<void> => {
        odd = object;
        const late = renderObject('sound-3', renderRecord(SOUND_FIELDS));
        changes = [object, late];
        const states: string[][] = [];
        let finish = (): void => undefined;
        const finished = new Promise<void>(resolve => {
          finish = resolve;
        });
        const view = createUpstreamView({
          directory,
          watchWaitMs: STORE_TIMEOUT_MS,
          retryDelayMs: 1,
          storeHealth: createStoreHealth(),
          clock,
          logger: SILENT_LOGGER,
          getEra: () => 1,
          countGateways: () => 1,
          onChange: usable => {
            states.push(usable.map(({id}) => id));
            if (states.length === 2) finish();
          },
        });
        view.start();
        await finished;
        view.stop();
        waiting?.destroy();
        waiting = undefined;
        expect(states[0]).toEqual(expect.arrayContaining(SOUND_IDS));
        const expected = [...SOUND_IDS, 'sound-3'];
        expect(states[1]).toEqual(expect.arrayContaining(expected));
        for (const upstream of view.listUsable()) checkUsable(upstream);
        const state = decodeMessage(encodeState(view.listUsable()));
        expect(state.isRight()).toBe(true);
      };
      await fc.assert(fc.asyncProperty(oddObject, run), {
        numRuns: RUNS,
        endOnFailure: true,
      });
    },
    TIMEOUT_MS,
  );
});
