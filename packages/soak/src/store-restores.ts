/** Copies of the store, and its return from one of them. */
import {StoreOutage} from '@siskinplank/platform-stand-ins';
import type {StoreCopy, StoreStandIn} from '@siskinplank/platform-stand-ins';
import type {History, StoreRestore} from './history';

/** What `createStoreRestores` needs. */
export interface StoreRestoresOptions {
  store: StoreStandIn;
  history: History;
  getNowMs(): number;
}

/** How the store returns. */
export interface RestoreInput {
  /** Least age of the copy. */
  copyAgeMs: number;
  awayMs: number;
  keepsWatches: boolean;
  /** Time from the return until the operator has written again. */
  configurationAfterMs: number;
  /** The same for half of the upstreams, and for the others. */
  upstreamsAfterMs: number;
  lateUpstreamsAfterMs: number;
}

/** Takes copies while it runs. */
export interface StoreRestores {
  /** Resolves when all that was lost is written again. */
  restore(input: RestoreInput): Promise<void>;
}

const COPY_PERIOD_MS = 500;
const MAX_COPIES = 20;

function wait(forMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, forMs));
}

/** Whether an upstream is one of the late half. */
function isLate(name: string): boolean {
  return name.charCodeAt(name.length - 1) % 2 === 1;
}

/** Starts to take copies. */
export function createStoreRestores(
  options: StoreRestoresOptions,
): StoreRestores {
  const {store, history, getNowMs} = options;
  const copies: Array<{atMs: number; copy: StoreCopy}> = [];
  const takeCopy = (): void => {
    copies.push({atMs: getNowMs(), copy: store.takeCopy()});
    if (copies.length > MAX_COPIES) copies.shift();
  };
  takeCopy();
  setInterval(takeCopy, COPY_PERIOD_MS).unref();

  return {
    restore: async input => {
      const awayAtMs = getNowMs();
      const {atMs, copy} =
        copies.findLast(({atMs}) => awayAtMs - atMs >= input.copyAgeMs) ??
        copies[0];
      const isOutage = !input.keepsWatches;
      if (isOutage) {
        store.setFault({outage: StoreOutage.Reset});
        await wait(input.awayMs);
      }
      const writeAgain = store.restore(copy, input);
      const record: StoreRestore = {
        copiedAtMs: atMs,
        awayAtMs,
        restoredAtMs: getNowMs(),
        configurationAgainAtMs: Infinity,
        upstreamsAgainAtMs: Infinity,
      };
      history.restores.push(record);
      // The next restore is from a copy of the new era.
      copies.length = 0;
      takeCopy();
      if (isOutage) store.setFault({});
      const writeConfiguration = async (): Promise<void> => {
        await wait(input.configurationAfterMs);
        writeAgain(kind => kind === 'config');
        record.configurationAgainAtMs = getNowMs();
      };
      const writeUpstreams = async (): Promise<void> => {
        await wait(input.upstreamsAfterMs);
        writeAgain((kind, name) => kind === 'servers' && !isLate(name));
        await wait(input.lateUpstreamsAfterMs - input.upstreamsAfterMs);
        writeAgain(kind => kind === 'servers');
        record.upstreamsAgainAtMs = getNowMs();
      };
      await Promise.all([writeConfiguration(), writeUpstreams()]);
    },
  };
}
