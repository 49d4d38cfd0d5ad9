/** Format of caller keys, and hashing of caller keys and operator tokens. */
import {createHmac, timingSafeEqual} from 'node:crypto';

/** A caller key split into its public id and its secret. */
export interface ParsedKey {
  keyId: string;
  secret: string;
}

const KEY_PATTERN = /^sk-([a-z0-9]{8,32})-([0-9a-f]{48,128})$/;

/** Formats a caller key; it is shown only once, when it is issued. */
export function formatKey(keyId: string, secret: string): string {
  return `sk-${keyId}-${secret}`;
}

/** Splits a presented key; undefined when it has another format. */
export function parseKey(text: string): ParsedKey | undefined {
  const match = KEY_PATTERN.exec(text);
  if (match === null) return undefined;
  return {keyId: match[1], secret: match[2]};
}

/**
 * Hashes a secret of at least 192 random bits with HMAC-SHA-256 under the
 * cluster's hash secret. At that entropy a slow password hash is not needed.
 */
export function hashSecret(hashKey: Uint8Array, secret: string): string {
  return createHmac('sha256', hashKey).update(secret).digest('hex');
}

/** Compares a presented secret with a stored hash in constant time. */
export function verifySecret(
  hashKey: Uint8Array,
  secret: string,
  storedHash: string,
): boolean {
  const computed = Buffer.from(hashSecret(hashKey, secret), 'hex');
  const stored = Buffer.from(storedHash, 'hex');
  return computed.length === stored.length && timingSafeEqual(computed, stored);
}
