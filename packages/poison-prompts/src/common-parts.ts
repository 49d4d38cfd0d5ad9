/** Finds the parts that ends of upstreams have in common. */
import {listSuspects} from './ending-table';
import type {Ending, Suspect} from './ending-table';

/** Parts under which upstreams ended. */
export interface CommonParts {
  parts: string[];
  upstreams: string[];
}

/** Ends that are needed to blame parts. */
export const MIN_ENDINGS = 2;
/** Ends within this time of each other may have one cause outside of them. */
const COMMON_CAUSE_MS = 50;
/**
 * Parts of many requests at one upstream are likely to be suspected by chance,
 * so more ends are needed to blame them.
 */
const COMMON_REQUESTS = 3;
const MIN_ENDINGS_OF_COMMON = 4;

/** Whether a prompt with `parts` has all that are required. */
export function hasAllParts(
  parts: readonly string[],
  required: readonly string[],
): boolean {
  return required.every(part => parts.includes(part));
}

/** Whether a request with all of the parts may have ended the upstream. */
export function isSuspectedOf(
  ending: Ending,
  parts: readonly string[],
): boolean {
  return listSuspects(ending).some(suspect => hasAllParts(suspect, parts));
}

function selectCommonParts(left: Suspect, right: Suspect): string[] {
  return left.filter(part => right.includes(part));
}

/** Whether many of the requests at the upstream have all of the parts. */
function isCommon(ending: Ending, parts: readonly string[]): boolean {
  const count = listSuspects(ending).filter(suspect =>
    hasAllParts(suspect, parts),
  ).length;
  return count >= COMMON_REQUESTS;
}

/** Lists the ends under the parts, leaving out those of a common cause. */
export function listSupport(
  parts: readonly string[],
  endings: readonly Ending[],
): Ending[] {
  const support: Ending[] = [];
  for (const ending of endings) {
    const isSeparate = support.every(
      ({atMs}) => Math.abs(atMs - ending.atMs) >= COMMON_CAUSE_MS,
    );
    if (isSeparate && isSuspectedOf(ending, parts)) support.push(ending);
  }
  return support;
}

/** Finds the parts that an ending has in common with enough other ones. */
export function findCommonParts(
  ending: Ending,
  endings: readonly Ending[],
): CommonParts[] {
  const candidates = new Map<string, string[]>();
  for (const other of endings) {
    if (other === ending) continue;
    for (const suspect of listSuspects(ending)) {
      for (const otherSuspect of listSuspects(other)) {
        const parts = selectCommonParts(suspect, otherSuspect);
        if (parts.length > 0) candidates.set(parts.join(' '), parts);
      }
    }
  }
  return [...candidates.values()].flatMap(parts => {
    const support = listSupport(parts, endings);
    const isAnyCommon = support.some(other => isCommon(other, parts));
    const required = isAnyCommon ? MIN_ENDINGS_OF_COMMON : MIN_ENDINGS;
    if (support.length < required) return [];
    return [{parts, upstreams: support.map(({upstream}) => upstream)}];
  });
}
