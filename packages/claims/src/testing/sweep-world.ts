/** Simulation of sweepers and claimants that share a store, with true ages. */
import {
  LogLevel,
  createLogger,
  createManualClock,
  createMetrics,
  createRandom,
} from '@siskinplank/foundation';
import type {Clock, ManualClock} from '@siskinplank/foundation';
import {ResourceKind} from '@siskinplank/resources';
import type {ClaimSweep} from '@siskinplank/resources';
import {createClaimRegistry} from '../registry';
import type {AgeMark} from '../sweep/ages';
import {createClaimSweeper} from '../sweep/sweeper';
import type {ClaimSweeper} from '../sweep/sweeper';
import type {ClaimRegistry} from '../types';
import {FreezableStore} from './freezable-store';
import {MemoryStore} from './memory-store';

/** Retention in all worlds. */
export const RETENTION_MS = 100_000;
const SLICE_MS = 500;

const logger = createLogger({
  level: LogLevel.Error,
  getWallMs: () => 0,
  write: () => undefined,
});

/** A sweeping process with its own clock. */
export interface SweepingProcess {
  sweeper: ClaimSweeper;
  store: FreezableStore;
  /** Whether the process considers itself the owner of all shards. */
  isOwner: boolean;
}

/** Simulated store, clock and processes of a test. */
export interface SweepWorld {
  store: MemoryStore;
  clock: ManualClock;
  /** True ages of the claims that were deleted, in milliseconds. */
  deletedAges: number[];
  /** Stored marks whose age exceeded the true time since their revision. */
  overestimatedMarks: AgeMark[];
  addProcess(options?: {
    clockRate?: number;
    deletesPerSecond?: number;
  }): SweepingProcess;
  addRegistry(name: string): ClaimRegistry;
  /** Advances the clock; calls in progress that are not frozen continue. */
  runFor(durationMs: number): Promise<void>;
}

function createSkewedClock(
  clock: ManualClock,
  store: FreezableStore,
  rate: number,
  offsetMs: number,
): Clock {
  return {
    ...clock,
    startTimer: (delayMs, callback) =>
      clock.startTimer(delayMs, () => store.runThawed(callback)),
    getNowMs: () => offsetMs + clock.getNowMs() * rate,
    // Far off, because wall-clock times of hosts must never be compared.
    getWallMs: () => offsetMs * 1_000_000,
  };
}

/** Creates a world without processes. */
export function createSweepWorld(seed: number): SweepWorld {
  const random = createRandom(seed);
  const store = new MemoryStore(random);
  const clock = createManualClock();
  const changedAtMs = new Map<number, number>();
  const deletedAges: number[] = [];
  let nonces = 0;
  let processes = 0;
  const overestimatedMarks: AgeMark[] = [];
  store.onWritten = ({kind, version, value}) => {
    changedAtMs.set(version, clock.getNowMs());
    if (kind !== ResourceKind.ClaimSweep) return;
    const isOverestimated = ({revision, ageMs}: AgeMark): boolean =>
      ageMs > clock.getNowMs() - (changedAtMs.get(revision) ?? Infinity);
    overestimatedMarks.push(
      ...(value as ClaimSweep).marks.filter(isOverestimated),
    );
  };
  store.onDeleted = ({kind, version}) => {
    if (kind !== ResourceKind.Claim) return;
    deletedAges.push(clock.getNowMs() - (changedAtMs.get(version) ?? Infinity));
  };
  return {
    store,
    clock,
    deletedAges,
    overestimatedMarks,
    addProcess: ({clockRate = 1, deletesPerSecond = 160} = {}) => {
      processes += 1;
      const freezableStore = new FreezableStore(store);
      const offsetMs = random.getNext() * 1e9;
      const process: SweepingProcess = {
        store: freezableStore,
        isOwner: true,
        sweeper: createClaimSweeper({
          store: freezableStore,
          clock: createSkewedClock(clock, freezableStore, clockRate, offsetMs),
          random,
          logger,
          metrics: createMetrics(),
          processName: `entry-${processes}`,
          incarnation: '1',
          retentionMs: RETENTION_MS,
          deletesPerSecond,
          callsPerSecond: 10_000,
          isOwner: () => process.isOwner,
        }),
      };
      process.sweeper.start();
      return process;
    },
    addRegistry: name =>
      createClaimRegistry({
        store,
        processName: name,
        incarnation: '1',
        nonceSource: () => `nonce-${(nonces += 1)}`,
        clock,
        logger,
        random,
        isClaimantAlive: () => true,
      }),
    runFor: async durationMs => {
      for (let passedMs = 0; passedMs < durationMs; passedMs += SLICE_MS) {
        clock.runFor(Math.min(SLICE_MS, durationMs - passedMs));
        await new Promise(resolve => setImmediate(resolve));
      }
    },
  };
}
