/** Recent ends of upstreams with the requests that may have caused them. */

/** Unproven parts of one request. */
export type Suspect = readonly string[];

/** Suspects by whether their responses had begun. */
export interface Suspects {
  begun: Suspect[];
  waiting: Suspect[];
}

/** An upstream that ended, as seen by one or more gateways. */
export interface Ending {
  readonly upstream: string;
  readonly atMs: number;
  readonly all: Suspects;
  /** Those that this gateway had sent. */
  readonly own: Suspects;
}

/** Bounded table of endings. */
export interface EndingTable {
  /** Adds suspects to the ending of an upstream; undefined if none is new. */
  merge(
    upstream: string,
    atMs: number,
    suspects: Suspects,
    isOwn: boolean,
  ): Ending | undefined;
  /**
   * Removes a part that was found to be sound; returns the endings of which
   * other requests are suspected therefore.
   */
  clearPart(part: string): Ending[];
  /** Whether a part is among the suspects of any ending. */
  hasSuspect(part: string): boolean;
  list(nowMs: number): Ending[];
}

const MAX_ENDINGS = 32;
/** Requests at the moment of an end; the rest is left out of the evidence. */
const MAX_SUSPECTS = 16;
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

function mergeSuspects(known: Suspects, added: Suspects): boolean {
  const hasBegun = addSuspects(known.begun, added.begun);
  const hasWaiting = addSuspects(known.waiting, added.waiting);
  return hasBegun || hasWaiting;
}

function removePart(suspects: Suspects, part: string): void {
  const remove = (list: readonly Suspect[]): Suspect[] =>
    list
      .map(suspect => suspect.filter(other => other !== part))
      .filter(suspect => suspect.length > 0);
  suspects.begun = remove(suspects.begun);
  suspects.waiting = remove(suspects.waiting);
}

/**
 * Lists the requests that may have ended the upstream: those whose responses
 * had just begun, if there are any.
 */
export function listSuspects({all}: Ending): readonly Suspect[] {
  return all.begun.length > 0 ? all.begun : all.waiting;
}

/** Creates an empty table. */
export function createEndingTable(): EndingTable {
  const endings = new Map<string, Ending>();

  return {
    merge: (upstream, atMs, suspects, isOwn) => {
      const ending = endings.get(upstream) ?? {
        upstream,
        atMs,
        all: {begun: [], waiting: []},
        own: {begun: [], waiting: []},
      };
      if (isOwn) mergeSuspects(ending.own, suspects);
      if (!mergeSuspects(ending.all, suspects)) return undefined;
      endings.set(upstream, ending);
      if (endings.size > MAX_ENDINGS) {
        const [oldest] = endings.keys();
        endings.delete(oldest);
      }
      return ending;
    },
    clearPart: part => {
      const changed: Ending[] = [];
      for (const ending of endings.values()) {
        const hadBegun = ending.all.begun.length > 0;
        removePart(ending.all, part);
        removePart(ending.own, part);
        if (hadBegun && ending.all.begun.length === 0) changed.push(ending);
      }
      return changed;
    },
    hasSuspect: part =>
      [...endings.values()].some(({all}) =>
        [...all.begun, ...all.waiting].some(suspect => suspect.includes(part)),
      ),
    list: nowMs => {
      for (const [upstream, {atMs}] of [...endings]) {
        if (nowMs - atMs >= ENDING_LIFETIME_MS) endings.delete(upstream);
      }
      return [...endings.values()];
    },
  };
}
