/** Parts with which upstreams were seen to answer; the oldest are dropped. */

/** Bounded record of the parts that are known not to end upstreams. */
export interface SoundParts {
  add(part: string, nowMs: number): void;
  has(part: string, nowMs: number): boolean;
  /** Lists those of `parts` that are not known to be sound. */
  listUnproven(parts: readonly string[], nowMs: number): string[];
}

const MAX_SOUND_PARTS = 8_192;
/** A part may change its effect with a new version of the upstreams. */
const SOUND_LIFETIME_MS = 300_000;

/** Creates an empty record. */
export function createSoundParts(): SoundParts {
  /** Time of the last answer by part, the least recent one first. */
  const seenAtMs = new Map<string, number>();

  const has = (part: string, nowMs: number): boolean => {
    const atMs = seenAtMs.get(part);
    return atMs !== undefined && nowMs - atMs < SOUND_LIFETIME_MS;
  };

  return {
    add: (part, nowMs) => {
      seenAtMs.delete(part);
      seenAtMs.set(part, nowMs);
      if (seenAtMs.size <= MAX_SOUND_PARTS) return;
      for (const oldest of seenAtMs.keys()) {
        seenAtMs.delete(oldest);
        break;
      }
    },
    has,
    listUnproven: (parts, nowMs) => parts.filter(part => !has(part, nowMs)),
  };
}
