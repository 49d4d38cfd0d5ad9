/** Recent ends of upstreams with the requests that may have caused them. */

/** Unproven parts of one request. */
export type Suspect = readonly string[];

/** An upstream that ended, as seen by one or more gateways. */
export interface Ending {
  readonly upstream: string;
  readonly atMs: number;
  suspects: Suspect[];
  /** Those of them that this gateway had sent. */
  ownSuspects: Suspect[];
}

/** Bounded table of endings. */
export interface EndingTable {
  /** Adds suspects to the ending of an upstream; undefined if none is new. */
  merge(
    upstream: string,
    atMs: number,
    suspects: readonly Suspect[],
    isOwn: boolean,
  ): Ending | undefined;
  /** Removes a part that was found to be sound from all suspects. */
  clearPart(part: string): void;
  /** Whether a part is among the suspects of any ending. */
  hasSuspect(part: string): boolean;
  list(nowMs: number): Ending[];
}

const MAX_ENDINGS = 32;
/** Requests at the moment of an end; the rest is left out of the evidence. */
const MAX_SUSPECTS = 32;
const MAX_PARTS = 8;
const ENDING_LIFETIME_MS = 60_000;

/** Returns whether a suspect was added. */
function addSuspects(known: Suspect[], added: readonly Suspect[]): boolean {
  const seen = new Set(known.map(suspect => suspect.join(' ')));
  const countBefore = known.length;
  for (const suspect of added) {
    if (known.length >= MAX_SUSPECTS) break;
    if (suspect.length === 0 || suspect.length > MAX_PARTS) continue;
    const key = suspect.join(' ');
    if (seen.has(key)) continue;
    seen.add(key);
    known.push(suspect);
  }
  return known.length > countBefore;
}

function removePart(suspects: readonly Suspect[], part: string): Suspect[] {
  return suspects
    .map(suspect => suspect.filter(other => other !== part))
    .filter(suspect => suspect.length > 0);
}

/** Creates an empty table. */
export function createEndingTable(): EndingTable {
  const endings = new Map<string, Ending>();

  return {
    merge: (upstream, atMs, suspects, isOwn) => {
      const ending = endings.get(upstream) ?? {
        upstream,
        atMs,
        suspects: [],
        ownSuspects: [],
      };
      if (isOwn) addSuspects(ending.ownSuspects, suspects);
      if (!addSuspects(ending.suspects, suspects)) return undefined;
      endings.set(upstream, ending);
      if (endings.size > MAX_ENDINGS) {
        const [oldest] = endings.keys();
        endings.delete(oldest);
      }
      return ending;
    },
    clearPart: part => {
      for (const ending of endings.values()) {
        ending.suspects = removePart(ending.suspects, part);
        ending.ownSuspects = removePart(ending.ownSuspects, part);
      }
    },
    hasSuspect: part =>
      [...endings.values()].some(({suspects}) =>
        suspects.some(suspect => suspect.includes(part)),
      ),
    list: nowMs => {
      for (const [upstream, {atMs}] of [...endings]) {
        if (nowMs - atMs >= ENDING_LIFETIME_MS) endings.delete(upstream);
      }
      return [...endings.values()];
    },
  };
}
