/** Cost of the idempotency claims that the platform holds and of deleting them. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {createManualClock, createMetrics} from '@siskinplank/foundation';
import {PlatformErrorCode, PlatformStore} from '@siskinplank/platform-client';
import type {
  ObjectList,
  ObjectVersion,
  PlatformError,
  VersionPage,
  WatchBatch,
} from '@siskinplank/platform-client';
import {ClaimState, ResourceKind} from '@siskinplank/resources';
import type {ResourceValue, StoredObject} from '@siskinplank/resources';
// These parts are private to their packages; only their cost is read here.
import {makeClaimName} from '../../../claims/src/registry';
import {computePeriods} from '../../../claims/src/sweep/ages';
import {createSweepMetrics} from '../../../claims/src/sweep/metrics';
import {createShardSweeper} from '../../../claims/src/sweep/shard-sweeper';
import {makeSweepName} from '../../../claims/src/sweep/shards';
import {versionPageReplySchema} from '../../../platform-client/src/wire';
import {silentLogger} from './fixtures';
import {measureCall} from './timing';
import type {FigureSink} from './types';

const GROUP = 'claims';
const RETENTION_MS = 86_400_000;
const SHARD = 'a';
const RESPONSE_BYTES = [0, 1_000, 10_000, 100_000];
const PAGE_ITEMS = [50, 125, 250, 500];
const SHARD_CLAIMS = [4_000, 16_000, 64_000, 256_000];
/** Part of a shard that is old when a pass takes an eighth of the retention. */
const OLD_SHARE = 1 / 9;
const DELETES_PER_SECOND = 100 / 16;

const FAILURE: PlatformError = {
  code: PlatformErrorCode.Invalid,
  message: 'not modelled',
};

/** Platform with the names of one shard, and a count of what is called. */
class ShardStore extends PlatformStore {
  pages = 0;
  pageBytes = 0;
  deletes = 0;
  saves = 0;
  private sweep: StoredObject | undefined;

  constructor(
    private readonly items: readonly ObjectVersion[],
    private revision: number,
  ) {
    super();
  }

  override getObject<K extends ResourceKind>() {
    const sweep = this.sweep as StoredObject<K> | undefined;
    return Promise.resolve(Right(sweep));
  }

  override putObject<K extends ResourceKind>(
    kind: K,
    name: string,
    value: ResourceValue<K>,
  ): Promise<Either<PlatformError, StoredObject<K>>> {
    this.saves += 1;
    this.revision += 1;
    const object = {kind, name, version: this.revision, value};
    this.sweep = object as unknown as StoredObject;
    return Promise.resolve(Right(object));
  }

  override listVersions(
    _kind: ResourceKind,
    after: string,
    limit: number,
  ): Promise<Either<PlatformError, VersionPage>> {
    let low = 0;
    let high = this.items.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.items[middle].name > after) high = middle;
      else low = middle + 1;
    }
    const page = {
      revision: this.revision,
      items: this.items.slice(low, low + limit),
    };
    const text = JSON.stringify(page);
    this.pages += 1;
    this.pageBytes += text.length;
    return Promise.resolve(
      Right(versionPageReplySchema.parse(JSON.parse(text))),
    );
  }

  override deleteObject(): Promise<Either<PlatformError, void>> {
    this.deletes += 1;
    return Promise.resolve(Right(undefined));
  }

  override listObjects<K extends ResourceKind>() {
    return Promise.resolve(Left<PlatformError, ObjectList<K>>(FAILURE));
  }

  override watchObjects() {
    return Promise.resolve(Left<PlatformError, WatchBatch>(FAILURE));
  }

  override listHosts() {
    return Promise.resolve(Left<PlatformError, never>(FAILURE));
  }

  override isAvailable(): boolean {
    return true;
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }
}

/** Names of one shard in order, with versions in no order. */
function makeItems(count: number): ObjectVersion[] {
  return Array.from({length: count}, (_, index) => ({
    name: SHARD + makeClaimName('account', `key-${index}`).slice(1),
    version: 100_000_000 + index,
  })).sort((left, right) => (left.name < right.name ? -1 : 1));
}

function measureClaimBytes(sink: FigureSink): void {
  const name = makeClaimName('account', 'key');
  const points = RESPONSE_BYTES.map(size => {
    const value = JSON.stringify({
      name,
      account: 'plaksne',
      bodyHash: name,
      nonce: name.slice(0, 32),
      claimant: `entry-1/${name.slice(0, 32)}`,
      state: ClaimState.Completed,
      createdAtMs: 1_790_000_000_000,
      response: {
        status: 200,
        contentType: 'application/json',
        body: Buffer.alloc(size).toString('base64'),
        truncated: false,
      },
    });
    return {size, value: Buffer.byteLength(value)};
  });
  sink.addSeries(GROUP, 'stored claim', 'response bytes', points, 'B');
}

function measurePages(sink: FigureSink): void {
  const bytes: Array<{size: number; value: number}> = [];
  const decoding: Array<{size: number; value: number}> = [];
  for (const size of PAGE_ITEMS) {
    const text = JSON.stringify({revision: 1, items: makeItems(size)});
    bytes.push({size, value: text.length});
    const decode = (): unknown =>
      versionPageReplySchema.parse(JSON.parse(text));
    decoding.push({size, value: measureCall(decode).medianUs});
  }
  sink.addSeries(GROUP, 'page of names', 'claims', bytes, 'B');
  sink.addSeries(GROUP, 'decoding a page', 'claims', decoding, 'us');
}

/** Steps until a pass over the shard has ended. */
async function runPass(
  store: ShardStore,
): Promise<{durationMs: number; processorMs: number}> {
  const clock = createManualClock();
  const periods = computePeriods(RETENTION_MS);
  let isEnded = false;
  let durationMs = 0;
  const sweeper = createShardSweeper({
    shard: SHARD,
    store,
    clock,
    logger: silentLogger,
    metrics: {
      ...createSweepMetrics(createMetrics()),
      recordPass: (_shard, _claims, passMs) => {
        isEnded = true;
        durationMs = passMs;
      },
    },
    holder: 'entry-1/1',
    periods,
    getDeleteIntervalMs: () => 1_000 / DELETES_PER_SECOND,
  });
  const started = process.cpuUsage();
  while (!isEnded) clock.runFor((await sweeper.step()) + 1);
  const used = process.cpuUsage(started);
  return {durationMs, processorMs: (used.user + used.system) / 1_000};
}

/** One pass over a shard of which a ninth is old. */
async function measurePasses(sink: FigureSink): Promise<void> {
  const series = new Map<string, Array<{size: number; value: number}>>();
  const add = (name: string, size: number, value: number): void => {
    series.set(name, [...(series.get(name) ?? []), {size, value}]);
  };
  for (const size of SHARD_CLAIMS) {
    const store = new ShardStore(makeItems(size), 200_000_000);
    const revision = 100_000_000 + Math.round(size * OLD_SHARE);
    await store.putObject(ResourceKind.ClaimSweep, makeSweepName(SHARD), {
      name: makeSweepName(SHARD),
      holder: '',
      cursor: '',
      marks: [{revision, ageMs: RETENTION_MS}],
    });
    const {durationMs, processorMs} = await runPass(store);
    add('pass, pages', size, store.pages);
    add('pass, page bytes', size, store.pageBytes);
    add('pass, deletions', size, store.deletes);
    add('pass, saves', size, store.saves);
    add('pass, duration in s', size, durationMs / 1_000);
    add('pass, processor ms', size, processorMs);
  }
  for (const [name, points] of series) {
    sink.addSeries(GROUP, name, 'claims of a shard', points, '');
  }
}

/** Measures claims, pages and passes. */
export async function measureClaimSweep(sink: FigureSink): Promise<void> {
  measureClaimBytes(sink);
  measurePages(sink);
  await measurePasses(sink);
}
