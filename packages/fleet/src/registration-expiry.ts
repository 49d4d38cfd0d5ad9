/**
 * Decides which registrations to remove. Answers hosts that are replaced at
 * other addresses: each registration that stays behind keeps a part of every
 * account's rate from the gateways that live.
 *
 * A wrong removal is harmless: a gateway that reaches the store registers again
 * before the others raise their parts, and one that does not serves no keys.
 */

/** What the decision is made from; times are monotonic, in milliseconds. */
export interface RegistrationExpiryInput {
  /** Registered gateways other than this one. */
  names: readonly string[];
  /** When each was last heard of; undefined when it never was. */
  getLastSeenAtMs(name: string): number | undefined;
  /** When this gateway began to listen to the others. */
  listeningSinceMs: number;
  nowMs: number;
}

/** Several times as long as a host takes to restart or a cut on the days lasts. */
const FORGET_AFTER_MS = 60_000;

/** Names of the gateways that count as gone for good. */
export function listExpiredRegistrations(
  input: RegistrationExpiryInput,
): string[] {
  return input.names.filter(name => {
    const heardAtMs = input.getLastSeenAtMs(name) ?? input.listeningSinceMs;
    return input.nowMs - heardAtMs > FORGET_AFTER_MS;
  });
}
