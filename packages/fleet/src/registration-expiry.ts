/**
 * Decides which registrations to remove. When a host is replaced under another
 * address, its old registration would withhold a fraction of every account's
 * rate from the running gateways.
 *
 * A wrong removal is harmless: a gateway that reaches the store registers again
 * before the others raise their fractions, and one that does not accepts no
 * keys.
 */

/** Input of the decision; times are monotonic, in milliseconds. */
export interface RegistrationExpiryInput {
  /** Registered gateways other than this one. */
  names: readonly string[];
  /** When the last state of a gateway arrived; undefined if none did. */
  getLastSeenAtMs(name: string): number | undefined;
  /** When this gateway began to receive states of the others. */
  listeningSinceMs: number;
  nowMs: number;
}

/**
 * Several times as long as a host restart or a usual network partition. Gateways
 * that a restored store lacks also stay counted for this time.
 */
export const REGISTRATION_EXPIRY_MS = 60_000;

/** Names of the gateways whose registrations have expired. */
export function listExpiredRegistrations(
  input: RegistrationExpiryInput,
): string[] {
  return input.names.filter(name => {
    const lastSeenAtMs = input.getLastSeenAtMs(name) ?? input.listeningSinceMs;
    return input.nowMs - lastSeenAtMs > REGISTRATION_EXPIRY_MS;
  });
}
