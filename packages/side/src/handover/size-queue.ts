/** Queue of numbers whose work does not grow with its length. */

/** Sizes of chunks, in order. */
export interface SizeQueue {
  push(size: number): void;
  /** Returns the first size; the queue must not be empty. */
  peek(): number;
  shift(): void;
  list(): number[];
  getCount(): number;
  clear(): void;
}

/** Unused places at the front that are dropped only together. */
const MIN_UNUSED = 1_024;

/** Creates an empty queue. */
export function createSizeQueue(): SizeQueue {
  let sizes: number[] = [];
  let start = 0;
  return {
    push: size => void sizes.push(size),
    peek: () => sizes[start],
    // `Array.shift` moves all elements of a long array.
    shift: () => {
      start += 1;
      if (start < MIN_UNUSED || start < sizes.length / 2) return;
      sizes = sizes.slice(start);
      start = 0;
    },
    list: () => sizes.slice(start),
    getCount: () => sizes.length - start,
    clear: () => {
      sizes = [];
      start = 0;
    },
  };
}
