/**
 * Decides by which software version a resumed stream goes on. What two versions
 * write doesn't fit together, and upstreams don't check it.
 */
import type {StreamOrigin} from './origin-table';

/** What is known about a request that resumes a stream. */
export interface OriginInput {
  /** Origin of the stream; undefined if this gateway does not know it. */
  origin: StreamOrigin | undefined;
  /** Services that the route may choose. */
  routeServices: readonly string[];
  /** Services and versions by which streams of the route may have begun. */
  recentOrigins: readonly StreamOrigin[];
  /**
   * Whether `recentOrigins` is complete: the store was read after the request
   * had arrived, and so after its stream had begun.
   */
  isInformed: boolean;
}

/** Kinds of verdicts. */
export enum OriginVerdictType {
  /** The stream goes on at upstreams of the origin. */
  Known = 'known',
  /** It may have begun by one of several versions. */
  Unknown = 'unknown',
  /** The route no longer leads to the service that began it. */
  NotServed = 'not-served',
}

/** How the origin of a stream is known. */
export enum OriginSource {
  /** A gateway recorded it when the stream began. */
  Record = 'record',
  /** No other version or service has begun streams of the route lately. */
  OnlyVersion = 'only-version',
}

/** Where the stream goes on. */
export type OriginVerdict =
  | {
      type: OriginVerdictType.Known;
      origin: StreamOrigin;
      source: OriginSource;
    }
  | {type: OriginVerdictType.Unknown}
  | {type: OriginVerdictType.NotServed};

/** Resolves where the stream goes on. */
export function resolveOrigin(input: OriginInput): OriginVerdict {
  const {recentOrigins} = input;
  // Without a second version or service, each stream began by the only one.
  const only =
    input.isInformed && recentOrigins.length === 1
      ? recentOrigins[0]
      : undefined;
  const origin = input.origin ?? only;
  if (origin === undefined) return {type: OriginVerdictType.Unknown};
  if (!input.routeServices.includes(origin.service)) {
    return {type: OriginVerdictType.NotServed};
  }
  const source =
    input.origin === undefined ? OriginSource.OnlyVersion : OriginSource.Record;
  return {type: OriginVerdictType.Known, origin, source};
}
