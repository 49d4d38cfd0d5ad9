/**
 * Conditional writes with lost replies. The precondition makes it safe to send
 * the same write again: at most one of them takes effect. If a sent write gets
 * no reply, its outcome is determined by reading the object back.
 */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {BudgetUse} from './calls';
import type {CallFailure} from './calls';
import {PlatformErrorCode} from './types';
import type {PlatformError} from './types';
import type {HttpReply} from './http-call';

/** Attempts to send a write; repeated only while it is known not applied. */
const WRITE_ATTEMPTS = 3;

/** Current object when the outcome of a write is determined. */
export type FoundObject = {version: number; value: unknown} | undefined;

/** What the current object shows about the outcome of a write. */
export enum WriteEvidence {
  /** The object has the written state. */
  Applied = 'applied',
  /** The object still has the expected version. */
  Untouched = 'untouched',
  /** The object was changed otherwise, before or after the write. */
  Changed = 'changed',
}

/** Callbacks that send and check one conditional write. */
export interface WriteSteps<T> {
  send(use: BudgetUse): Promise<Either<CallFailure, HttpReply>>;
  readBack(): Promise<Either<PlatformError, FoundObject>>;
  compare(found: FoundObject): WriteEvidence;
  /** Parses a reply other than a conflict. */
  parseReply(reply: HttpReply): Either<PlatformError, T>;
  /** Parses the current object in a conflict reply. */
  parseConflict(reply: HttpReply): Either<PlatformError, FoundObject>;
  makeResult(found: FoundObject): T;
  makeConflict(found: FoundObject): PlatformError;
  /** Called when a sent write got no usable reply. */
  onReplyLost(): void;
}

const HTTP_CONFLICT = 409;

const makeUnknownOutcome = (message: string): PlatformError => ({
  code: PlatformErrorCode.OutcomeUnknown,
  message,
});

/** Runs a write until its outcome is known or cannot be determined. */
export async function resolveWriteOutcome<T>(
  steps: WriteSteps<T>,
): Promise<Either<PlatformError, T>> {
  let isAmbiguous = false;
  const conclude = (found: FoundObject): Either<PlatformError, T> => {
    const conflict = steps.makeConflict(found);
    if (!isAmbiguous) return Left(conflict);
    if (steps.compare(found) === WriteEvidence.Applied) {
      return Right(steps.makeResult(found));
    }
    // The lost write may have been applied and overwritten since.
    return Left({...conflict, code: PlatformErrorCode.OutcomeUnknown});
  };

  for (let attempt = 0; attempt < WRITE_ATTEMPTS; attempt += 1) {
    const sent = await steps.send(
      isAmbiguous ? BudgetUse.Forced : BudgetUse.Normal,
    );
    if (sent.isRight()) {
      const reply = sent.extract() as HttpReply;
      if (reply.status === HTTP_CONFLICT) {
        return steps.parseConflict(reply).chain(conclude);
      }
      const parsed = steps.parseReply(reply);
      const isSettled = parsed.isRight() || reply.status !== 200;
      if (isSettled && !isAmbiguous) return parsed;
      if (parsed.isRight()) return parsed;
    } else {
      const failure = sent.extract() as CallFailure;
      if (failure.isUnsent && !isAmbiguous) return Left(failure);
    }
    isAmbiguous = true;
    steps.onReplyLost();
    const found = await steps.readBack();
    if (found.isLeft())
      return Left(makeUnknownOutcome('could not read the object back'));
    const state = found.extract() as FoundObject;
    if (steps.compare(state) !== WriteEvidence.Untouched)
      return conclude(state);
  }
  return Left(makeUnknownOutcome('no reply to repeated writes'));
}
