/** Choice of the upstreams to which an entry process keeps standing links. */
import {rankMembers} from '@siskinplank/membership';
import type {Upstream} from '@siskinplank/resources';

/** Most standing links; up to this many upstreams are all linked. */
export const MAX_STANDING_LINKS = 48;

/** Standing links within the own region, where most requests are routed. */
const LOCAL_LINKS = 40;

/**
 * Chooses by rendezvous hashing on the name of the entry process. So about the
 * same number of entry hosts chooses each upstream, and adding or removing an
 * upstream changes few links.
 */
export function chooseStandingUpstreams(
  upstreams: readonly Upstream[],
  self: {name: string; region: string},
): readonly Upstream[] {
  const ranked = rankMembers(upstreams, self.name);
  const local = ranked.filter(({region}) => region === self.region);
  const remote = ranked.filter(({region}) => region !== self.region);
  const localCount = Math.max(LOCAL_LINKS, MAX_STANDING_LINKS - remote.length);
  const chosen = local.slice(0, localCount);
  return [...chosen, ...remote.slice(0, MAX_STANDING_LINKS - chosen.length)];
}
