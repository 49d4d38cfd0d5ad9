/**
 * Bounds the connections that wait to be accepted. Handles the load of more
 * callers than a gateway has processor time for: a longer queue makes each of
 * them wait until its time is up.
 */

/** Processor time of one caller request, in milliseconds of a core. */
const REQUEST_CPU_MS = 2.2;
/**
 * Connections that would wait longer, if nothing else had to be done, are not
 * queued. Requests on open connections are served as well, so that the wait is
 * up to three times as long. Callers give up on a connection that is not made or
 * not read for a second, and then reach another gateway.
 */
const MAX_ACCEPT_WAIT_MS = 300;
const MIN_BACKLOG = 16;
/** Default of the runtime. */
const MAX_BACKLOG = 511;

/** Connections that may wait to be accepted by a process with `cores` cores. */
export function computeBacklog(cores: number): number {
  const backlog = Math.round((MAX_ACCEPT_WAIT_MS * cores) / REQUEST_CPU_MS);
  return Math.min(MAX_BACKLOG, Math.max(MIN_BACKLOG, backlog));
}
