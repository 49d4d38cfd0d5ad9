/** Claims under races, lost replies, delayed writes, crashes and outages. */
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  LogLevel,
  createLogger,
  createManualClock,
  createRandom,
} from '@siskinplank/foundation';
import type {ManualClock} from '@siskinplank/foundation';
import {MAX_STORED_BODY_BYTES, createClaimRegistry} from './registry';
import {MemoryStore} from './testing/memory-store';
import {ClaimOutcomeType} from './types';
import type {ClaimOutcome, ClaimRegistry, HeldClaim} from './types';

const logger = createLogger({
  level: LogLevel.Error,
  getWallMs: () => 0,
  write: () => undefined,
});

const response = {
  status: 201,
  contentType: 'text/plain',
  body: new TextEncoder().encode('two brass plates'),
};

interface World {
  store: MemoryStore;
  clock: ManualClock;
  dead: Set<string>;
  makeRegistry(name: string): ClaimRegistry;
}

function createWorld(seed: number): World {
  const random = createRandom(seed);
  const store = new MemoryStore(random);
  const clock = createManualClock();
  const dead = new Set<string>();
  let nonces = 0;
  const makeNonce = (): string => `nonce-${(nonces += 1)}`;
  return {
    store,
    clock,
    dead,
    makeRegistry: name =>
      createClaimRegistry({
        store,
        processName: name,
        incarnation: '1',
        nonceSource: makeNonce,
        clock,
        logger,
        random,
        isClaimantAlive: claimant => !dead.has(claimant),
      }),
  };
}

function acquire(
  registry: ClaimRegistry,
  bodyHash = 'body',
): Promise<ClaimOutcome> {
  return registry.acquire({
    account: 'plaksne',
    idempotencyKey: 'order-17',
    bodyHash,
    wallMs: 0,
  });
}

async function acquireHeld(registry: ClaimRegistry): Promise<HeldClaim> {
  const outcome = await acquire(registry);
  expect(outcome.type).toBe(ClaimOutcomeType.Acquired);
  return (outcome as {claim: HeldClaim}).claim;
}

async function runClock(clock: ManualClock, rounds: number): Promise<void> {
  for (let round = 0; round < rounds; round += 1) {
    clock.runFor(1_000);
    await new Promise(resolve => setImmediate(resolve));
  }
}

describe('createClaimRegistry', () => {
  // Guards against a request that runs again when its response was lost.
  it('replays the response of a completed claim', async () => {
    const world = createWorld(1);
    const first = world.makeRegistry('entry-1');
    await first.complete(await acquireHeld(first), response);
    const outcome = await acquire(world.makeRegistry('entry-2'));
    expect(outcome).toMatchObject({type: ClaimOutcomeType.Replay});
    const replayed = (outcome as {response: typeof response}).response;
    expect(Buffer.from(replayed.body).toString()).toBe('two brass plates');
  });

  // Guards against a second run during the first, against a reused key with
  // another body, and against an assumed outcome when the claimant died.
  it('distinguishes running, mismatched and unresolved claims', async () => {
    const world = createWorld(2);
    await acquireHeld(world.makeRegistry('entry-1'));
    const second = world.makeRegistry('entry-2');
    expect((await acquire(second)).type).toBe(ClaimOutcomeType.InProgress);
    expect((await acquire(second, 'other')).type).toBe(
      ClaimOutcomeType.BodyMismatch,
    );
    world.dead.add('entry-1/1');
    expect((await acquire(second)).type).toBe(ClaimOutcomeType.Unresolved);
  });

  // Guards against a truncated body that is replayed as if it were complete.
  it('does not replay a body that was too large to store', async () => {
    const world = createWorld(3);
    const first = world.makeRegistry('entry-1');
    const body = new Uint8Array(MAX_STORED_BODY_BYTES + 1);
    await first.complete(await acquireHeld(first), {...response, body});
    expect((await acquire(first)).type).toBe(
      ClaimOutcomeType.RanWithoutResponse,
    );
  });

  // Guards against an answer with a status that Node.js can't write or that is
  // none, from an object of another version or writer.
  it.each([0, 99, 101, 199, 600, 999])(
    'does not replay a response with status %s',
    async status => {
      const world = createWorld(5);
      const first = world.makeRegistry('entry-1');
      await first.complete(await acquireHeld(first), {...response, status});
      expect((await acquire(first)).type).toBe(
        ClaimOutcomeType.RanWithoutResponse,
      );
    },
  );

  // Guards against a response that is not stored after a platform outage.
  it('completes a claim in the background after an outage', async () => {
    const world = createWorld(4);
    const first = world.makeRegistry('entry-1');
    const claim = await acquireHeld(first);
    world.store.isDown = true;
    await first.complete(claim, response);
    await runClock(world.clock, 60);
    expect((await acquire(first)).type).toBe(
      ClaimOutcomeType.PlatformUnavailable,
    );
    world.store.isDown = false;
    await runClock(world.clock, 60);
    expect((await acquire(first)).type).toBe(ClaimOutcomeType.Replay);
  });

  // Guards against a key that stays blocked by a claim whose request never ran.
  it('releases a key whose claim write had an unknown outcome', async () => {
    // Adjacent seeds give similar first numbers, so they are spread.
    for (let round = 0; round < 60; round += 1) {
      const world = createWorld(Math.imul(round, 0x9e3779b1));
      const first = world.makeRegistry('entry-1');
      world.store.faultShare = 1;
      expect((await acquire(first)).type).toBe(
        ClaimOutcomeType.PlatformUnavailable,
      );
      world.store.faultShare = 0;
      await runClock(world.clock, 5);
      world.store.applyDelayedWrites();
      await acquireHeld(world.makeRegistry('entry-2'));
    }
  });

  // Guards against two runs under any interleaving of claimants, lost replies,
  // delayed writes, releases and crashes.
  it('lets at most one claimant run the request', async () => {
    const stepArbitrary = fc.record({
      process: fc.integer({min: 0, max: 3}),
      action: fc.constantFrom('run', 'release', 'crash'),
      late: fc.boolean(),
    });
    const runSteps = async (
      seed: number,
      faultShare: number,
      steps: ReadonlyArray<{process: number; action: string; late: boolean}>,
    ): Promise<void> => {
      const world = createWorld(seed);
      world.store.faultShare = faultShare;
      const registries = [0, 1, 2, 3].map(index =>
        world.makeRegistry(`entry-${index}`),
      );
      let runs = 0;
      const runStep = async (step: (typeof steps)[number]): Promise<void> => {
        const registry = registries[step.process];
        const outcome = await acquire(registry);
        if (outcome.type === ClaimOutcomeType.Replay) expect(runs).toBe(1);
        if (step.late) world.store.applyDelayedWrites();
        if (outcome.type !== ClaimOutcomeType.Acquired) return;
        if (step.action === 'release') return registry.release(outcome.claim);
        runs += 1;
        if (step.action === 'run') {
          return registry.complete(outcome.claim, response);
        }
        world.dead.add(`entry-${step.process}/1`);
      };
      const running = Promise.all(steps.map(runStep));
      await runClock(world.clock, 20);
      await running;
      world.store.applyDelayedWrites();
      for (const step of steps) await runStep(step);
      expect(runs).toBeLessThanOrEqual(1);
    };
    await fc.assert(
      fc.asyncProperty(
        fc.integer(),
        fc.double({min: 0, max: 0.7, noNaN: true}),
        fc.array(stepArbitrary, {minLength: 2, maxLength: 12}),
        runSteps,
      ),
      {numRuns: 300},
    );
  });
});
