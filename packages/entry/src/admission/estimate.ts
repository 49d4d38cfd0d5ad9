/** Estimates the tokens of a request before it runs. */
import type {Model} from '@siskinplank/resources';
import type {CompletionBody} from '../caller/completion-body';

/** Mean length of a token in English text, in bytes. */
const BYTES_PER_TOKEN = 4;

/** Estimates the tokens of the prompt and of all choices. */
export function estimateTokens(body: CompletionBody, model: Model): number {
  const promptTokens = Math.ceil(body.prompt.length / BYTES_PER_TOKEN);
  const maxTokens = body.maxTokens ?? model.maxTokens;
  return promptTokens + maxTokens * body.choices;
}
