/**
 * Memory that a process spends on incomplete messages from outside. Limits of
 * single messages do not bound it, since there may be any number of them.
 */

/** Options of `createReceiveBudget`. */
export interface ReceiveBudgetOptions {
  /** Bytes that all reservations may hold together. */
  maxBytes: number;
}

/** Share of the budget that one incomplete message holds. */
export interface Reservation {
  /**
   * Sets the size in bytes. Returns false if the reservation was evicted, now
   * or earlier; it holds nothing then.
   */
  resize(bytes: number): boolean;
  release(): void;
}

/** Reservations of one process. */
export interface ReceiveBudget {
  /**
   * Opens an empty reservation.
   *
   * @param source whose bytes they are, such as one upstream.
   * @param onEvicted called when another reservation needs the bytes.
   */
  open(source: string, onEvicted: () => void): Reservation;
  getReadings(): ReceiveReadings;
}

/** State of a budget. */
export interface ReceiveReadings {
  /** Bytes that all reservations hold. */
  usedBytes: number;
  /** Number of reservations that were evicted since the start. */
  evictedCount: number;
}

interface Entry {
  source: string;
  bytes: number;
  isEvicted: boolean;
  onEvicted: () => void;
}

interface SourceUse {
  bytes: number;
  entries: Set<Entry>;
}

/**
 * Creates a budget. When it is exceeded, the largest reservation of the source
 * that holds most is evicted, so that a faulty source loses its own messages
 * rather than those of others.
 */
export function createReceiveBudget(
  options: ReceiveBudgetOptions,
): ReceiveBudget {
  const sources = new Map<string, SourceUse>();
  let usedBytes = 0;
  let evictedCount = 0;

  const setBytes = (entry: Entry, bytes: number): void => {
    const deltaBytes = bytes - entry.bytes;
    if (deltaBytes === 0) return;
    const use = sources.get(entry.source) ?? {bytes: 0, entries: new Set()};
    entry.bytes = bytes;
    use.bytes += deltaBytes;
    usedBytes += deltaBytes;
    if (bytes > 0) use.entries.add(entry);
    else use.entries.delete(entry);
    if (use.entries.size > 0) sources.set(entry.source, use);
    else sources.delete(entry.source);
  };

  const findVictim = (): Entry | undefined => {
    let most: SourceUse | undefined;
    for (const use of sources.values()) {
      if (most === undefined || use.bytes > most.bytes) most = use;
    }
    let victim: Entry | undefined;
    for (const entry of most?.entries ?? []) {
      if (victim === undefined || entry.bytes > victim.bytes) victim = entry;
    }
    return victim;
  };

  /** Evicts until the budget is kept; `growing` learns it from the result. */
  const evict = (growing: Entry): void => {
    const evicted: Entry[] = [];
    while (usedBytes > options.maxBytes) {
      const victim = findVictim();
      if (victim === undefined) break;
      victim.isEvicted = true;
      evictedCount += 1;
      setBytes(victim, 0);
      if (victim !== growing) evicted.push(victim);
    }
    for (const {onEvicted} of evicted) onEvicted();
  };

  return {
    open: (source, onEvicted) => {
      const entry: Entry = {source, bytes: 0, isEvicted: false, onEvicted};
      return {
        resize: bytes => {
          if (entry.isEvicted) return false;
          setBytes(entry, bytes);
          evict(entry);
          return !entry.isEvicted;
        },
        release: () => setBytes(entry, 0),
      };
    },
    getReadings: () => ({usedBytes, evictedCount}),
  };
}
