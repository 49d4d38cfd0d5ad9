/** Claims as platform objects with conditional writes, identified by nonce. */
import {createHash} from 'node:crypto';
import {createRandom, isFinalStatus} from '@siskinplank/foundation';
import type {Clock, Logger, Random} from '@siskinplank/foundation';
import {PlatformErrorCode} from '@siskinplank/platform-client';
import type {
  ExpectedVersion,
  PlatformError,
  PlatformStore,
} from '@siskinplank/platform-client';
import {ClaimState, ResourceKind} from '@siskinplank/resources';
import type {Claim, StoredObject} from '@siskinplank/resources';
import {StepResult, createBackgroundWork} from './background';
import {
  CLAIM_LOST,
  CLAIM_OUTCOME_UNKNOWN,
  CLAIM_REPAIRED,
  CLAIM_WRITES_ABANDONED,
  CLAIM_WRITE_POSTPONED,
  CLAIM_WRITE_REFUSED,
} from './events';
import {ClaimOutcomeType} from './types';
import type {
  ClaimOutcome,
  ClaimRegistry,
  ClaimResponse,
  HeldClaim,
} from './types';

/** Dependencies of a claim registry. */
export interface ClaimRegistryOptions {
  store: PlatformStore;
  processName: string;
  incarnation: string;
  /** Makes a value that no other claim attempt has ever had. */
  nonceSource: () => string;
  clock: Clock;
  logger: Logger;
  /** Whether the process that made a claim may still be running it. */
  isClaimantAlive: (claimant: string, nowMs: number) => boolean;
  /** Jitter of the background writes. */
  random?: Random;
}

/** Larger bodies are not stored; as base64 they must fit into a 1 MB value. */
export const MAX_STORED_BODY_BYTES = 524_288;

/** Lost attempts to claim a key after which it counts as in progress. */
const MAX_CLAIM_ATTEMPTS = 4;

/** Time that a graceful shutdown waits for background writes. */
const STOP_WAIT_MS = 5_000;

/** Errors of calls that were not sent, so nothing can have been written. */
const UNSENT_CODES: ReadonlySet<PlatformErrorCode> = new Set([
  PlatformErrorCode.CircuitOpen,
  PlatformErrorCode.BudgetExceeded,
  PlatformErrorCode.Invalid,
]);

type StoredClaim = StoredObject<ResourceKind.Claim>;

/** Makes the object name of a claim, a SHA-256 hash in hexadecimal. */
export function makeClaimName(account: string, idempotencyKey: string): string {
  return createHash('sha256')
    .update(account)
    .update('\0')
    .update(idempotencyKey)
    .digest('hex');
}

/** Creates the claim registry of one process. */
export function createClaimRegistry(
  options: ClaimRegistryOptions,
): ClaimRegistry {
  const {store, clock, logger} = options;
  const claimant = `${options.processName}/${options.incarnation}`;
  const background = createBackgroundWork(
    clock,
    options.random ?? createRandom(),
  );
  /** Claims of this process that are held, written or repaired, by nonce. */
  const active = new Map<string, Claim>();

  const putClaim = (value: Claim, expected: ExpectedVersion) =>
    store.putObject(ResourceKind.Claim, value.name, value, expected);

  const readClaim = (name: string) => store.getObject(ResourceKind.Claim, name);

  /** Reads the current claim after a conflict; undefined if that fails. */
  const readConflicting = async (
    error: PlatformError,
    name: string,
  ): Promise<StoredClaim | null | undefined> => {
    if (error.current !== undefined) {
      return error.current as StoredClaim | null;
    }
    const result = await readClaim(name);
    return result.isLeft() ? undefined : (result.unsafeCoerce() ?? null);
  };

  /**
   * One attempt to release a claim whose write had an unknown outcome. Its
   * request was never run. A delayed write that may still arrive is made to
   * fail by changing the version that it expects.
   */
  const repairClaim = async (
    value: Claim,
    expected: ExpectedVersion,
  ): Promise<StepResult> => {
    const result = await readClaim(value.name);
    if (result.isLeft()) return StepResult.Again;
    const current = result.unsafeCoerce() as StoredClaim | undefined;
    const released = {...value, state: ClaimState.Released};
    const isOwnClaim = current?.value.nonce === value.nonce;
    const mayStillApply = (current?.version ?? 'absent') === expected;
    const isDone = isOwnClaim
      ? current.value.state !== ClaimState.Claimed
      : !mayStillApply;
    if (!isDone) {
      const written = await putClaim(released, current?.version ?? 'absent');
      if (written.isLeft()) return StepResult.Again;
    }
    active.delete(value.nonce);
    logger.log(CLAIM_REPAIRED, {claim: value.name});
    return StepResult.Done;
  };

  const resolveOutcome = (
    current: StoredClaim,
    bodyHash: string,
  ): ClaimOutcome | undefined => {
    const {value} = current;
    if (value.state === ClaimState.Released) return undefined;
    if (value.bodyHash !== bodyHash) {
      return {type: ClaimOutcomeType.BodyMismatch};
    }
    if (value.state === ClaimState.Completed) return makeReplay(value);
    if (value.state === ClaimState.Unknown) {
      return {type: ClaimOutcomeType.Unresolved};
    }
    const isRunning =
      value.claimant === claimant
        ? active.has(value.nonce)
        : options.isClaimantAlive(value.claimant, clock.getNowMs());
    return {
      type: isRunning
        ? ClaimOutcomeType.InProgress
        : ClaimOutcomeType.Unresolved,
    };
  };

  const tryClaim = async (
    value: Claim,
    expected: ExpectedVersion,
  ): Promise<ClaimOutcome | {current: StoredClaim | null}> => {
    active.set(value.nonce, value);
    const result = await putClaim(value, expected);
    if (result.isRight()) {
      const {version} = result.unsafeCoerce();
      return makeAcquired(value, version);
    }
    const error = result.extract() as PlatformError;
    if (error.code !== PlatformErrorCode.Conflict) {
      if (UNSENT_CODES.has(error.code)) {
        active.delete(value.nonce);
      } else {
        logger.log(CLAIM_OUTCOME_UNKNOWN, {claim: value.name});
        background.run(() => repairClaim(value, expected));
      }
      return {type: ClaimOutcomeType.PlatformUnavailable};
    }
    const current = await readConflicting(error, value.name);
    if (current?.value.nonce === value.nonce) {
      return makeAcquired(value, current.version);
    }
    active.delete(value.nonce);
    if (current === undefined) {
      return {type: ClaimOutcomeType.PlatformUnavailable};
    }
    return {current};
  };

  const acquire: ClaimRegistry['acquire'] = async request => {
    const name = makeClaimName(request.account, request.idempotencyKey);
    let expected: ExpectedVersion = 'absent';
    for (let attempt = 0; attempt < MAX_CLAIM_ATTEMPTS; attempt += 1) {
      const result = await tryClaim(
        {
          name,
          account: request.account,
          bodyHash: request.bodyHash,
          nonce: options.nonceSource(),
          claimant,
          state: ClaimState.Claimed,
          createdAtMs: request.wallMs,
        },
        expected,
      );
      if ('type' in result) return result;
      const {current} = result;
      const outcome =
        current === null
          ? undefined
          : resolveOutcome(current, request.bodyHash);
      if (outcome !== undefined) return outcome;
      expected = current?.version ?? 'absent';
    }
    return {type: ClaimOutcomeType.InProgress};
  };

  /** One attempt to write the final state of a held claim. */
  const writeState = async (
    value: Claim,
    position: {version: number},
  ): Promise<StepResult> => {
    const result = await putClaim(value, position.version);
    if (result.isRight()) return StepResult.Done;
    const error = result.extract() as PlatformError;
    if (error.code === PlatformErrorCode.Invalid) {
      logger.log(CLAIM_WRITE_REFUSED, {claim: value.name});
      return StepResult.Done;
    }
    if (error.code !== PlatformErrorCode.Conflict) return StepResult.Again;
    const current = await readConflicting(error, value.name);
    if (current === undefined) return StepResult.Again;
    if (current === null || current.value.nonce !== value.nonce) {
      // Normal after a release, when another process has claimed the key since.
      if (value.state !== ClaimState.Released) {
        logger.log(CLAIM_LOST, {claim: value.name});
      }
      return StepResult.Done;
    }
    if (current.value.state === value.state) return StepResult.Done;
    position.version = current.version;
    return StepResult.Again;
  };

  const writeFinalState = async (
    claim: HeldClaim,
    change: Pick<Claim, 'state' | 'response'>,
  ): Promise<void> => {
    const held = active.get(claim.nonce);
    if (held === undefined) return;
    const value = {...held, ...change};
    const position = {version: claim.version};
    const step = async (): Promise<StepResult> => {
      const result = await writeState(value, position);
      if (result === StepResult.Done) active.delete(claim.nonce);
      return result;
    };
    if ((await step()) === StepResult.Done) return;
    logger.log(CLAIM_WRITE_POSTPONED, {claim: claim.name});
    background.run(step);
  };

  return {
    acquire,
    complete: (claim, response) =>
      writeFinalState(claim, {
        state: ClaimState.Completed,
        response: encodeResponse(response),
      }),
    release: claim => writeFinalState(claim, {state: ClaimState.Released}),
    markUnknown: claim => writeFinalState(claim, {state: ClaimState.Unknown}),
    stop: async () => {
      const left = await background.stop(STOP_WAIT_MS);
      if (left > 0) logger.log(CLAIM_WRITES_ABANDONED, {claims: left});
    },
  };
}

function makeAcquired(value: Claim, version: number): ClaimOutcome {
  return {
    type: ClaimOutcomeType.Acquired,
    claim: {name: value.name, nonce: value.nonce, version},
  };
}

function makeReplay(value: Claim): ClaimOutcome {
  const {response} = value;
  const isComplete =
    response !== undefined &&
    !response.truncated &&
    isFinalStatus(response.status);
  if (!isComplete) {
    return {type: ClaimOutcomeType.RanWithoutResponse};
  }
  return {
    type: ClaimOutcomeType.Replay,
    response: {
      status: response.status,
      contentType: response.contentType,
      body: Buffer.from(response.body, 'base64'),
    },
  };
}

function encodeResponse(response: ClaimResponse): Claim['response'] {
  const isTooLarge = response.body.length > MAX_STORED_BODY_BYTES;
  return {
    status: response.status,
    contentType: response.contentType,
    // A truncated body cannot be replayed, so nothing of it is stored.
    body: isTooLarge ? '' : Buffer.from(response.body).toString('base64'),
    truncated: isTooLarge,
  };
}
