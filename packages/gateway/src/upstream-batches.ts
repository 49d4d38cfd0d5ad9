/**
 * Plans how often a gateway reads changes of the upstreams. Entries of upstreams
 * change several times a second at all times, so that a watch that is repeated
 * at once costs a call for every few changes, at every gateway.
 */

/** Delay of a gateway that learns of leaving upstreams by its own watch only. */
const MIN_BATCH_MS = 300;
/** Further delay for each other gateway that may learn of them first. */
const BATCH_PER_GATEWAY_MS = 40;
/** New upstreams get no requests for this time. */
const MAX_BATCH_MS = 1_200;

/**
 * Time for which changes are collected before the next watch call, in
 * milliseconds. The first gateway that reads of a leaving upstream tells the
 * others, and in a larger fleet one of them reads sooner.
 */
export function planUpstreamBatchMs(gatewayCount: number): number {
  const others = Math.max(0, gatewayCount - 1);
  return Math.min(MAX_BATCH_MS, MIN_BATCH_MS + others * BATCH_PER_GATEWAY_MS);
}
