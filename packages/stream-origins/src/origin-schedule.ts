/** Plans how often gateways pass on the origins of streams. */

/** Periods of one gateway. */
export interface OriginSchedule {
  /** Least time between two messages with new origins to the other gateways. */
  messagePeriodMs: number;
  /** Least time between two writes while a service has more than one version. */
  storePeriodMs: number;
  /** Least time between two reads of the store for streams without a record. */
  readPeriodMs: number;
}

/** Messages with origins that a gateway receives per second in a medium fleet. */
const MAX_MESSAGES_PER_SECOND = 100;
/** Writes of all gateways together per second. */
const MAX_WRITES_PER_SECOND = 20;
/** Reads of all gateways together per second; each is two calls. */
const MAX_READS_PER_SECOND = 200;
const MILLISECONDS_PER_SECOND = 1_000;
/**
 * A stream that begins in the last period before its gateway is killed can't be
 * resumed; streams take seconds.
 */
const MIN_MESSAGE_PERIOD_MS = 100;
/**
 * A third of the time that a stream lasts, so that most of the streams that are
 * open when a gateway ends were sent; in a large fleet this goes before the
 * number of messages.
 */
const MAX_MESSAGE_PERIOD_MS = 500;
const MIN_STORE_PERIOD_MS = 500;
const MIN_READ_PERIOD_MS = 100;

/** Plans the schedule for a fleet, this gateway included. */
export function planOriginSchedule(gatewayCount: number): OriginSchedule {
  const computePeriodMs = (maxPerSecond: number): number =>
    (gatewayCount * MILLISECONDS_PER_SECOND) / maxPerSecond;
  return {
    messagePeriodMs: Math.min(
      MAX_MESSAGE_PERIOD_MS,
      Math.max(MIN_MESSAGE_PERIOD_MS, computePeriodMs(MAX_MESSAGES_PER_SECOND)),
    ),
    storePeriodMs: Math.max(
      MIN_STORE_PERIOD_MS,
      computePeriodMs(MAX_WRITES_PER_SECOND),
    ),
    readPeriodMs: Math.max(
      MIN_READ_PERIOD_MS,
      computePeriodMs(MAX_READS_PER_SECOND),
    ),
  };
}
