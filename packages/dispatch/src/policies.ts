/** Choice of an upstream for a request. */
import type {Random} from '@siskinplank/foundation';
import type {UpstreamEntry} from './upstream-table';

/** What the choice needs to know of a request. */
export interface DispatchRequest {
  service: string;
  model: string | undefined;
  adapter: string | undefined;
  /** Identifiers of upstreams that were tried. */
  triedIds: ReadonlySet<string>;
}

/** Chooses among the upstreams of a service. */
export abstract class DispatchPolicy {
  /** Undefined when none can run the request. */
  abstract chooseUpstream(
    request: DispatchRequest,
    entries: readonly UpstreamEntry[],
    nowMs: number,
  ): UpstreamEntry | undefined;
}

function canServeModel(
  entry: UpstreamEntry,
  request: DispatchRequest,
): boolean {
  if (request.model === undefined) return true;
  const held = entry.upstream.models?.find(({name}) => name === request.model);
  if (held === undefined) return false;
  const {adapter} = request;
  return adapter === undefined || held.adapters.includes(adapter);
}

/**
 * The baseline: fewest open requests, first come first served, no knowledge of
 * prompts, no placement, refusal when no upstream holds the model.
 */
class LeastOutstandingPolicy extends DispatchPolicy {
  constructor(private readonly random: Random) {
    super();
  }

  chooseUpstream(
    request: DispatchRequest,
    entries: readonly UpstreamEntry[],
  ): UpstreamEntry | undefined {
    const usable = entries.filter(
      entry =>
        !request.triedIds.has(entry.upstream.id) &&
        canServeModel(entry, request),
    );
    const least = Math.min(...usable.map(({openCount}) => openCount));
    const best = usable.filter(({openCount}) => openCount === least);
    return best[this.random.getInteger(Math.max(1, best.length))];
  }
}

/** Creates the baseline policy. */
export function createLeastOutstandingPolicy(random: Random): DispatchPolicy {
  return new LeastOutstandingPolicy(random);
}
