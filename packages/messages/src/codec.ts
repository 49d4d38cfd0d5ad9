/** Encodes messages as msgpack maps; decodes and validates them. */
import {Packr} from 'msgpackr';
import {Either, Left, Right} from 'purify-ts';
import {dropDefaults} from './defaults';
import {messageSchema} from './types';
import type {Message} from './types';
import {MAX_VALUES, countValues} from './value-count';

/** Why a frame is not a valid message. */
export interface DecodeError {
  reason: string;
}

const MAX_REASON_LENGTH = 300;

const packr = new Packr({useRecords: false, encodeUndefinedAsNil: false});

/** Encodes one message. */
export function encodeMessage(message: Message): Uint8Array {
  return packr.pack(dropDefaults(message));
}

/** Unpacks msgpack bytes; the value is not validated. */
export function decodeFrame(frame: Uint8Array): Either<DecodeError, unknown> {
  if (countValues(frame) > MAX_VALUES) {
    return Left({reason: 'too many values'});
  }
  return Either.encase(() => packr.unpack(frame) as unknown).mapLeft(error => ({
    reason: error.message.slice(0, MAX_REASON_LENGTH),
  }));
}

/** Decodes and validates one message. */
export function decodeMessage(frame: Uint8Array): Either<DecodeError, Message> {
  return decodeFrame(frame).chain(value => {
    const result = messageSchema.safeParse(value);
    if (result.success) return Right(result.data);
    const reason = result.error.issues
      .map(issue => `${issue.path.join('.')}: ${issue.message}`)
      .join('; ')
      .slice(0, MAX_REASON_LENGTH);
    return Left({reason});
  });
}
