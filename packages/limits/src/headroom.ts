/** Smallest free capacity of a token pool since an earlier moment. */

/**
 * History of a pool's headroom (free capacity), recorded when the level peaks.
 * It returns the minimum since any earlier position.
 */
export interface HeadroomHistory {
  /** Current position in the history. */
  getMark(): number;
  record(headroom: number): void;
  /**
   * Subtracts refunded `tokens` from all records after `mark`. Without this,
   * several refunds could use the same headroom.
   */
  recordCredit(mark: number, tokens: number): void;
  /** Smallest headroom recorded after `mark`; Infinity without records. */
  getMinimumSince(mark: number): number;
}

/** Limits the memory of one pool. */
const MAX_ENTRIES = 256;

/**
 * Creates an empty history. Only suffix minima are kept: a record makes all
 * earlier records with more headroom irrelevant.
 */
export function createHeadroomHistory(): HeadroomHistory {
  const entries: Array<{mark: number; headroom: number}> = [];
  let mark = 0;
  const findFirstAfter = (since: number): number => {
    let low = 0;
    let high = entries.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (entries[middle].mark > since) high = middle;
      else low = middle + 1;
    }
    return low;
  };
  return {
    getMark: () => mark,
    record: headroom => {
      mark += 1;
      while (
        entries.length > 0 &&
        entries[entries.length - 1].headroom >= headroom
      ) {
        entries.pop();
      }
      entries.push({mark, headroom});
      if (entries.length > MAX_ENTRIES) {
        // The smaller headroom then applies to more moments, which is safe.
        const [oldest] = entries.splice(0, 1);
        entries[0].headroom = oldest.headroom;
      }
    },
    recordCredit: (since, tokens) => {
      const index = findFirstAfter(since);
      if (index === entries.length) return;
      for (const entry of entries.slice(index)) entry.headroom -= tokens;
      const reduced = entries[index].headroom;
      const kept = entries
        .slice(0, index)
        .findLastIndex(entry => entry.headroom < reduced);
      entries.splice(kept + 1, index - kept - 1);
    },
    getMinimumSince: since =>
      entries[findFirstAfter(since)]?.headroom ?? Infinity,
  };
}
