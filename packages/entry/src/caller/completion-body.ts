/** Parses the body of a completion request for routing and admission. */
import {Either, Left, Right} from 'purify-ts';
import {z} from 'zod';
import {RefusalCode} from '@siskinplank/resources';
import {makeRefusal} from '../refusals';
import type {Refusal} from '../refusals';

/** Fields of a completion request that decide routing and admission. */
export interface CompletionBody {
  model: string;
  isStream: boolean;
  /** Largest number of tokens that the caller requested for each choice. */
  maxTokens: number | undefined;
  choices: number;
  /** Prompt or messages, for the token estimate and the prefix hashes. */
  prompt: Buffer;
}

/** Kind of completion, which decides the field of the prompt. */
export enum CompletionType {
  Chat = 'chat',
  Text = 'text',
}

const MAX_CHOICES = 128;

const tokenCountSchema = z.int().positive().nullish();
const commonShape = {
  model: z.string().min(1).max(256),
  stream: z.boolean().nullish(),
  max_tokens: tokenCountSchema,
  max_completion_tokens: tokenCountSchema,
  n: z.int().min(1).max(MAX_CHOICES).nullish(),
  best_of: z.int().min(1).max(MAX_CHOICES).nullish(),
};
const chatSchema = z.looseObject({
  ...commonShape,
  messages: z.array(z.looseObject({role: z.string()})).min(1),
});
const textSchema = z.looseObject({
  ...commonShape,
  prompt: z.union([z.string(), z.array(z.unknown()).min(1)]),
});

/** Parses and checks a completion body. */
export function parseCompletionBody(
  type: CompletionType,
  body: Uint8Array,
): Either<Refusal, CompletionBody> {
  return Either.encase(
    () =>
      JSON.parse(
        new TextDecoder('utf-8', {fatal: true}).decode(body),
      ) as unknown,
  )
    .mapLeft(() => makeInvalid('The body is not valid JSON in UTF-8.'))
    .chain(value => checkBody(type, value));
}

function checkBody(
  type: CompletionType,
  value: unknown,
): Either<Refusal, CompletionBody> {
  const result =
    type === CompletionType.Chat
      ? chatSchema.safeParse(value)
      : textSchema.safeParse(value);
  if (!result.success) {
    const issue = result.error.issues[0];
    const param = issue.path.join('.');
    return Left(makeInvalid(`${param || 'body'}: ${issue.message}`, param));
  }
  const data = result.data;
  const prompt = 'messages' in data ? data.messages : data.prompt;
  return Right({
    model: data.model,
    isStream: data.stream ?? false,
    maxTokens: data.max_completion_tokens ?? data.max_tokens ?? undefined,
    choices: Math.max(data.n ?? 1, data.best_of ?? 1),
    prompt: Buffer.from(
      typeof prompt === 'string' ? prompt : JSON.stringify(prompt),
    ),
  });
}

function makeInvalid(message: string, param?: string): Refusal {
  return makeRefusal(RefusalCode.InvalidRequest, message, {
    param: param === '' ? undefined : param,
  });
}
