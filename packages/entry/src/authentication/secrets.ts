/** Detects API keys of callers, which must not be forwarded. */

/** Matches an API key anywhere in a text. */
const KEY_PATTERN = /sk-[a-z0-9]{8,32}-[0-9a-f]{48,128}/;

/**
 * Escapes of ASCII characters in URLs, forms and JSON. Upstreams decode them,
 * and many accept a text that also has malformed escapes, so each is decoded
 * separately.
 */
const ESCAPE_PATTERN = /%([0-7][0-9a-f])|\\u00([0-7][0-9a-f])/gi;

function decodeEscapes(text: string): string {
  return text.replace(
    ESCAPE_PATTERN,
    (_match, percent?: string, json?: string) =>
      String.fromCharCode(parseInt(percent ?? json ?? '', 16)),
  );
}

/** Whether a text contains an API key, plain or with escapes. */
export function hasKey(text: string): boolean {
  return KEY_PATTERN.test(text) || KEY_PATTERN.test(decodeEscapes(text));
}

/** Whether a body contains an API key, plain or with escapes. */
export function hasKeyInBody(body: Uint8Array): boolean {
  const bytes = Buffer.from(body.buffer, body.byteOffset, body.byteLength);
  const hasEscape = bytes.includes('%') || bytes.includes('\\u');
  if (!hasEscape && !bytes.includes('sk-')) return false;
  return hasKey(bytes.toString('latin1'));
}
