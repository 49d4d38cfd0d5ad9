/**
 * Fault injection for lease holders: frozen and killed processes, lost calls.
 * Unlike those of `DelayedStore`, calls may take longer than a lease, a lost
 * request may still arrive after its caller gave up, and a frozen process
 * receives replies only when it resumes.
 */
import {Left} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {Clock, ManualClock, Random} from '@siskinplank/foundation';
import type {ResourceKind, ResourceValue} from '@siskinplank/resources';
import {MemoryStore} from '@siskinplank/testing';
import type {MemoryPlatform} from '@siskinplank/testing';
import {PlatformErrorCode} from '../types';
import type {ExpectedVersion, PlatformError} from '../types';

/** Simulates a frozen process: timers and replies wait until it resumes. */
export class Freezer {
  isFrozen = false;
  /** Set for a killed process, which never resumes. */
  isKilled = false;
  private pending: Array<() => void> = [];
  run(callback: () => void): void {
    if (this.isFrozen) this.pending.push(callback);
    else callback();
  }
  resume(): void {
    if (this.isKilled) return;
    this.isFrozen = false;
    for (const callback of this.pending.splice(0)) this.run(callback);
  }
}

export const withFreezer = (clock: Clock, freezer: Freezer): Clock => ({
  ...clock,
  startTimer: (delayMs, callback) =>
    clock.startTimer(delayMs, () => freezer.run(callback)),
});

/** Delays calls and replies at random, and drops replies and requests. */
export class FaultyStore extends MemoryStore {
  constructor(
    platform: MemoryPlatform,
    private readonly trueClock: Clock,
    private readonly freezer: Freezer,
    private readonly random: Random,
    private readonly faults: {lossRate: number; slowRate: number},
  ) {
    super(platform, trueClock);
  }

  private async waitRandomly(): Promise<void> {
    const isSlow = this.random.getNext() < this.faults.slowRate;
    await this.trueClock.waitMs(this.random.getInteger(isSlow ? 1_500 : 30));
  }
  private async awaitThaw(): Promise<void> {
    await new Promise<void>(resolve => this.freezer.run(resolve));
  }
  private isLost(): boolean {
    return this.random.getNext() < this.faults.lossRate;
  }
  override async getObject<K extends ResourceKind>(kind: K, name: string) {
    await this.waitRandomly();
    const result = await super.getObject(kind, name);
    await this.waitRandomly();
    await this.awaitThaw();
    return result;
  }
  override async putObject<K extends ResourceKind>(
    kind: K,
    name: string,
    value: ResourceValue<K>,
    expected: ExpectedVersion,
  ) {
    const lost: Either<PlatformError, never> = Left({
      code: PlatformErrorCode.OutcomeUnknown,
      message: 'lost',
    });
    if (this.isLost()) {
      // The request arrives after the caller has given up.
      void this.waitRandomly().then(() =>
        super.putObject(kind, name, value, expected),
      );
      await this.awaitThaw();
      return lost;
    }
    await this.waitRandomly();
    const result = await super.putObject(kind, name, value, expected);
    await this.waitRandomly();
    await this.awaitThaw();
    return this.isLost() ? lost : result;
  }
}

export const runFor = async (
  clock: ManualClock,
  durationMs: number,
  onStep: () => void = () => undefined,
): Promise<void> => {
  for (let passedMs = 0; passedMs < durationMs; passedMs += 20) {
    clock.runFor(20);
    await new Promise(resolve => setImmediate(resolve));
    onStep();
  }
};
