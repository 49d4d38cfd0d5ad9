/** Sets of prompt parts that are refused, because together they end upstreams. */

/** Why a blame no longer holds. */
export enum BlameEnd {
  /** An upstream answered a request with each of the parts. */
  FoundSound = 'found-sound',
  /** Another blame explains all ends that led to this one. */
  ExplainedByOther = 'explained-by-other',
  /** A peer reports that it does not hold. */
  LiftedByPeer = 'lifted-by-peer',
}

/** Parts that end upstreams when one prompt has all of them. */
export interface Blame {
  readonly parts: readonly string[];
  /** Rises each time the parts are blamed again. */
  episode: number;
  isLifted: boolean;
  /** Time from which one request may test whether the blame still holds. */
  trialAtMs: number;
  /** Start of the test that is under way. */
  trialStartedAtMs: number | undefined;
  /** Upstreams that ended under these parts. */
  upstreams: Set<string>;
  lastUsedAtMs: number;
}

/** Bounded table of blames, by their parts. */
export interface BlameTable {
  get(parts: readonly string[]): Blame | undefined;
  put(blame: Blame): void;
  remove(blame: Blame): void;
  /** Blames that hold. */
  listActive(): Blame[];
  /** All blames that peers should know of; forgets unused ones. */
  list(nowMs: number): Blame[];
}

const MAX_BLAMES = 64;
/** A lifted blame is kept until no report of a peer repeats it. */
const LIFTED_LIFETIME_MS = 60_000;
const UNUSED_LIFETIME_MS = 1_800_000;

function makeKey(parts: readonly string[]): string {
  return [...parts].sort().join(' ');
}

/** Creates an empty table. */
export function createBlameTable(): BlameTable {
  const blames = new Map<string, Blame>();

  return {
    get: parts => blames.get(makeKey(parts)),
    put: blame => {
      blames.set(makeKey(blame.parts), blame);
      if (blames.size <= MAX_BLAMES) return;
      const [leastUsed] = [...blames.values()].sort(
        (left, right) => left.lastUsedAtMs - right.lastUsedAtMs,
      );
      blames.delete(makeKey(leastUsed.parts));
    },
    remove: ({parts}) => void blames.delete(makeKey(parts)),
    listActive: () => [...blames.values()].filter(({isLifted}) => !isLifted),
    list: nowMs => {
      for (const blame of [...blames.values()]) {
        const lifetimeMs = blame.isLifted
          ? LIFTED_LIFETIME_MS
          : UNUSED_LIFETIME_MS;
        if (nowMs - blame.lastUsedAtMs < lifetimeMs) continue;
        blames.delete(makeKey(blame.parts));
      }
      return [...blames.values()];
    },
  };
}
