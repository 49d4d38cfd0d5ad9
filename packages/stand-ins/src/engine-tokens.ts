/** Deterministic completions, so that a test can check a whole response. */
import {createHash} from 'node:crypto';

/** Input that determines a completion. */
export interface CompletionInput {
  model: string;
  /** Empty or absent for the base model. */
  adapter?: string;
  /** Text of a completion, or `formatChatPrompt` of a chat. */
  prompt: string;
  maxTokens: number;
}

/** A whole completion. */
export interface ExpectedCompletion {
  /** Concatenated, the tokens are the text. */
  tokens: string[];
  finishReason: 'length' | 'stop';
}

/** A message of a chat as callers send it. */
export interface ChatMessage {
  role: string;
  content: unknown;
}

const VOCABULARY =
  'alder amber anvil apple arch ash bark beam birch blade bough brass brook cedar chisel clay cliff cloud copper coral cork crown dew dusk elm ember fern field finch flint forge frost gale glade grain granite grove hazel heath hedge holly iris iron ivy jade juniper kelp lake larch lathe leaf ledge lily lime linden loam maple marble marsh meadow mist moss oak ochre olive onyx opal osier pearl pebble pine plank plum poplar quartz quill rain reed ridge river rowan rust sage sand shale shore silver siskin slate sorrel spruce stone storm straw thorn tide timber tin topaz vale vine walnut wave wheat willow wren yarrow yew'.split(
    ' ',
  );
const MIN_NATURAL_TOKENS = 4;
const NATURAL_TOKEN_RANGE = 1_021;
const BYTES_IN_DIGEST = 32;
/** Bytes of prompt that share one entry of the prefix cache. */
export const PREFIX_BLOCK_BYTES = 256;
/** Tokens by which a block counts towards the capacity of the cache. */
export const PREFIX_BLOCK_TOKENS = 64;
const PREFIX_HASH_LENGTH = 16;

/** Splits a text into the tokens that the engine counts. */
export function extractTokens(text: string): string[] {
  return text.match(/\S+/g) ?? [];
}

/** Joins the messages of a chat into the prompt of the engine. */
export function formatChatPrompt(messages: readonly ChatMessage[]): string {
  return messages
    .map(({role, content}) => {
      const text =
        typeof content === 'string' ? content : JSON.stringify(content);
      return `${role}: ${text}`;
    })
    .join('\n');
}

/**
 * Computes the completion that an engine produces. It ends after a number of
 * tokens that depends on the prompt, or at `maxTokens`.
 */
export function computeExpectedCompletion(
  input: CompletionInput,
): ExpectedCompletion {
  const {model, adapter = '', prompt, maxTokens} = input;
  const seed = createHash('sha256')
    .update(JSON.stringify([model, adapter, prompt]))
    .digest();
  const naturalTokens =
    MIN_NATURAL_TOKENS + (seed.readUInt32LE(0) % NATURAL_TOKEN_RANGE);
  const count = Math.min(maxTokens, naturalTokens);
  const tokens: string[] = [];
  for (let block = 0; tokens.length < count; block += 1) {
    const digest = createHash('sha256')
      .update(seed)
      .update(String(block))
      .digest();
    for (let i = 0; i < BYTES_IN_DIGEST && tokens.length < count; i += 1) {
      const word = VOCABULARY[digest[i] % VOCABULARY.length];
      tokens.push(tokens.length === 0 ? word : ` ${word}`);
    }
  }
  return {tokens, finishReason: naturalTokens <= maxTokens ? 'stop' : 'length'};
}

/** Text of `computeExpectedCompletion`; the expected value in checks. */
export function computeExpectedText(input: CompletionInput): string {
  return computeExpectedCompletion(input).tokens.join('');
}

/**
 * Hashes the prompt's prefix up to the end of each whole block, the shortest
 * first. The published cache events use these hashes; `scope` is
 * the model or adapter name of the request, and `text` its prompt or its
 * messages as JSON.
 */
export function computePrefixHashes(scope: string, text: string): string[] {
  const bytes = Buffer.from(text);
  const hashes: string[] = [];
  const blockCount = Math.floor(bytes.length / PREFIX_BLOCK_BYTES);
  let previous = scope;
  for (let block = 0; block < blockCount; block += 1) {
    const start = block * PREFIX_BLOCK_BYTES;
    previous = createHash('sha256')
      .update(previous)
      .update('\0')
      .update(bytes.subarray(start, start + PREFIX_BLOCK_BYTES))
      .digest('hex')
      .slice(0, PREFIX_HASH_LENGTH);
    hashes.push(previous);
  }
  return hashes;
}
