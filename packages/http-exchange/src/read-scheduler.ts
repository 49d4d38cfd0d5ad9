/**
 * Shares the turns of the event loop between sources. One that sends on all of
 * its connections as fast as they are read would otherwise take as much work in
 * each turn as it has connections, and hold up those of all other sources.
 */

/** Schedules the reads of all connections. */
export interface ReadScheduler {
  /** Whether `bytes` from this source may be handled in the current turn. */
  tryTake(source: string, bytes: number): boolean;
  /** Calls `onTurn` when the source's next bytes may be handled. */
  enqueue(source: string, bytes: number, onTurn: () => void): void;
}

interface WaitingRead {
  bytes: number;
  onTurn: () => void;
}

/**
 * Bytes of one source in a turn, unless a single read has more. It is the
 * largest read of libuv.
 */
const MAX_TURN_BYTES = 65_536;

/**
 * Creates a scheduler.
 *
 * @param onNextTurn calls its argument in the next turn of the event loop.
 */
export function createReadScheduler(
  onNextTurn: (callback: () => void) => void,
): ReadScheduler {
  /** Bytes handled since the last turn that was scheduled. */
  const taken = new Map<string, number>();
  const waiting = new Map<string, WaitingRead[]>();
  let isTurnScheduled = false;

  const scheduleTurn = (): void => {
    if (isTurnScheduled) return;
    isTurnScheduled = true;
    onNextTurn(startTurn);
  };

  /** Releases the first reads of one source, as many as fit into a turn. */
  const releaseReads = (source: string, reads: WaitingRead[]): void => {
    let count = 0;
    let bytes = 0;
    while (count < reads.length && bytes < MAX_TURN_BYTES) {
      bytes += reads[count].bytes;
      count += 1;
    }
    const released = reads.splice(0, count);
    if (reads.length === 0) waiting.delete(source);
    for (const {onTurn} of released) onTurn();
  };

  const startTurn = (): void => {
    isTurnScheduled = false;
    taken.clear();
    for (const [source, reads] of [...waiting]) releaseReads(source, reads);
    if (waiting.size > 0) scheduleTurn();
  };

  return {
    tryTake: (source, bytes) => {
      const takenBytes = taken.get(source) ?? 0;
      if (takenBytes >= MAX_TURN_BYTES) return false;
      taken.set(source, takenBytes + bytes);
      // Smaller sums need no new turn, which would cost a poll.
      if (takenBytes + bytes >= MAX_TURN_BYTES) scheduleTurn();
      return true;
    },
    enqueue: (source, bytes, onTurn) => {
      const reads = waiting.get(source);
      if (reads === undefined) waiting.set(source, [{bytes, onTurn}]);
      else reads.push({bytes, onTurn});
      scheduleTurn();
    },
  };
}
