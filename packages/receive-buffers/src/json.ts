/** Parses JSON texts from outside. */
import {Either, Left} from 'purify-ts';

/**
 * Nested values cost the parser about 100 bytes of memory for each byte of
 * text, values side by side about 20.
 */
const DEFAULT_MAX_DEPTH = 64;

const QUOTE = 0x22;
const BACKSLASH = 0x5c;
const LEFT_BRACKET = 0x5b;
const RIGHT_BRACKET = 0x5d;
const LEFT_BRACE = 0x7b;
const RIGHT_BRACE = 0x7d;

function isTooDeep(text: string, maxDepth: number): boolean {
  let depth = 0;
  let isInString = false;
  for (let index = 0; index < text.length; index += 1) {
    const code = text.charCodeAt(index);
    if (isInString) {
      if (code === BACKSLASH) index += 1;
      else if (code === QUOTE) isInString = false;
    } else if (code === QUOTE) {
      isInString = true;
    } else if (code === LEFT_BRACKET || code === LEFT_BRACE) {
      depth += 1;
      if (depth > maxDepth) return true;
    } else if (code === RIGHT_BRACKET || code === RIGHT_BRACE) {
      depth -= 1;
    }
  }
  return false;
}

/** Returns the value, or the reason why `text` is not accepted. */
export function parseJson(
  text: string,
  maxDepth = DEFAULT_MAX_DEPTH,
): Either<string, unknown> {
  if (isTooDeep(text, maxDepth)) return Left('JSON text is nested too deeply');
  return Either.encase(() => JSON.parse(text) as unknown).mapLeft(
    error => error.message,
  );
}
