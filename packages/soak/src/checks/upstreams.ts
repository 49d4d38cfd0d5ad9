/** Checks of what upstreams ask of all gateways together. */
import {FaultKind} from '../history';
import type {History, Violation} from '../history';
import {
  BACKOFF_SLACK_MS,
  CONTACT_MS,
  DRAIN_MS,
  NAMED_LIMIT_FACTOR,
  NAMED_LIMIT_SLACK,
  NAMED_LIMIT_WINDOW_MS,
  TOLERATED_BACKOFF_REQUESTS,
  TOLERATED_ENDS,
  TOLERATED_POISONED,
} from './bounds';

const MILLISECONDS_PER_SECOND = 1_000;
/** Faults after which a gateway may not have heard from the others. */
const GATEWAY_FAULTS: ReadonlySet<FaultKind> = new Set([
  FaultKind.GatewayStop,
  FaultKind.GatewayKill,
  FaultKind.GatewayPause,
  FaultKind.StoreCut,
]);

/** Faults in which a gateway loses what it knew, or knows nothing new. */
const RESTARTS_AND_FREEZES: ReadonlySet<FaultKind> = new Set([
  FaultKind.GatewayStop,
  FaultKind.GatewayKill,
  FaultKind.GatewayPause,
]);

/** Whether a gateway restarted or was frozen in the span. */
function hasInterruption(
  {faults}: History,
  gateway: string,
  fromMs: number,
  toMs: number,
): boolean {
  return faults.some(
    fault =>
      RESTARTS_AND_FREEZES.has(fault.kind) &&
      `gateway-${Number(fault.target) + 1}` === gateway &&
      fault.fromMs <= toMs &&
      fault.toMs >= fromMs,
  );
}

/** Whether the attempt's gateway had a fault in the span or shortly before. */
function createExcuse(
  history: History,
): (attemptId: string, fromMs: number, toMs: number) => boolean {
  const gateways = new Map(
    history.calls.map(({attemptId, gateway}) => [attemptId, gateway]),
  );
  return (attemptId, fromMs, toMs) => {
    const gateway = gateways.get(attemptId);
    return history.faults.some(
      fault =>
        GATEWAY_FAULTS.has(fault.kind) &&
        `gateway-${Number(fault.target) + 1}` === gateway &&
        fault.fromMs <= toMs &&
        fault.toMs >= fromMs - CONTACT_MS,
    );
  };
}

/** Requests with a part that ends upstreams reach few of them once it is known. */
export function checkPoisonedPrompts(history: History): Violation[] {
  const isExcused = createExcuse(history);
  const {poisonedAttempts, poisonedEnds} = history;
  return [...new Set(poisonedAttempts.values())].flatMap(part => {
    const ends = poisonedEnds
      .filter(({attemptId}) => poisonedAttempts.get(attemptId) === part)
      .map(({atMs}) => atMs)
      .sort((left, right) => left - right);
    const knownAtMs = (ends[TOLERATED_ENDS - 1] ?? Infinity) + CONTACT_MS;
    const late = history.arrivals.filter(
      ({attemptId, atMs}) =>
        atMs > knownAtMs &&
        poisonedAttempts.get(attemptId) === part &&
        !isExcused(attemptId, atMs, atMs),
    );
    if (late.length <= TOLERATED_POISONED) return [];
    const detail = `${late.length} requests with ${part} after ${ends.length} ends`;
    return [{check: 'poison', detail}];
  });
}

/** A request under which an upstream ended is not sent to a second one. */
export function checkPoisonedRepeats(history: History): Violation[] {
  const hasLinkFault = (atMs: number): boolean =>
    history.faults.some(
      ({kind, fromMs, toMs}) =>
        kind.startsWith('link') && fromMs <= atMs && toMs >= atMs - CONTACT_MS,
    );
  const seen = new Set<string>();
  return history.poisonedEnds.flatMap(({attemptId, atMs}) => {
    const isRepeated = seen.has(attemptId) && !hasLinkFault(atMs);
    seen.add(attemptId);
    return isRepeated
      ? [{check: 'poison-repeat', detail: `${attemptId} ended two upstreams`}]
      : [];
  });
}

/** An upstream gets no more than the limit that it named. */
export function checkNamedLimits(history: History): Violation[] {
  const isExcused = createExcuse(history);
  return history.namedLimits.flatMap(
    ({upstreamId, perSecond, fromMs, toMs}) => {
      const times = history.arrivals
        .filter(
          arrival =>
            arrival.upstreamId === upstreamId &&
            arrival.atMs > fromMs + CONTACT_MS &&
            arrival.atMs <= toMs &&
            !isExcused(
              arrival.attemptId,
              arrival.atMs - NAMED_LIMIT_WINDOW_MS,
              arrival.atMs,
            ),
        )
        .map(({atMs}) => atMs);
      const most = Math.max(
        0,
        ...times.map(
          endMs =>
            times.filter(
              atMs => atMs <= endMs && atMs > endMs - NAMED_LIMIT_WINDOW_MS,
            ).length,
        ),
      );
      const seconds = NAMED_LIMIT_WINDOW_MS / MILLISECONDS_PER_SECOND;
      const allowed =
        NAMED_LIMIT_FACTOR * perSecond * seconds + NAMED_LIMIT_SLACK;
      if (most <= allowed) return [];
      const detail = `${upstreamId} got ${most} requests, allowed ${allowed}`;
      return [{check: 'named-limit', detail}];
    },
  );
}

/**
 * An upstream gets no request sent DRAIN_MS after the gateway passed on its
 * response that it leaves, whatever the store says.
 */
export function checkDeclaredLeaving(history: History): Violation[] {
  const calls = new Map(history.calls.map(call => [call.attemptId, call]));
  const runsByAttempt = new Map<string, string[]>();
  for (const {attemptId, serverId} of history.runs) {
    const known = runsByAttempt.get(attemptId) ?? [];
    runsByAttempt.set(attemptId, [...known, serverId]);
  }
  /** First such response, by upstream and gateway. */
  const saidAtMs = new Map<string, number>();
  for (const {attemptId, gateway, leavingSaidAtMs} of history.calls) {
    const servers = runsByAttempt.get(attemptId) ?? [];
    // With several runs, the response may be that of any of them.
    if (leavingSaidAtMs === undefined || servers.length !== 1) continue;
    const key = `${servers[0]} ${gateway}`;
    const known = saidAtMs.get(key) ?? Infinity;
    saidAtMs.set(key, Math.min(known, leavingSaidAtMs));
  }
  return history.arrivals.flatMap(({attemptId, upstreamId, atMs}) => {
    const call = calls.get(attemptId);
    if (call === undefined) return [];
    const saidMs = saidAtMs.get(`${upstreamId} ${call.gateway}`) ?? Infinity;
    const isLate =
      call.sentAtMs > saidMs + DRAIN_MS &&
      !hasInterruption(history, call.gateway, saidMs, atMs);
    if (!isLate) return [];
    const detail = `${upstreamId} got ${attemptId}, sent ${Math.round(call.sentAtMs - saidMs)} ms after it said that it leaves`;
    return [{check: 'leaving-said', detail}];
  });
}

/** An upstream gets nothing more from a gateway for the time that it named. */
export function checkBackoffs(history: History): Violation[] {
  const gateways = new Map(
    history.calls.map(({attemptId, gateway}) => [attemptId, gateway]),
  );
  /** A slow or broken link holds up the response, or requests sent before. */
  const hasLinkFault = (index: number, fromMs: number, toMs: number): boolean =>
    history.faults.some(
      fault =>
        fault.kind.startsWith('link') &&
        Number(fault.target) === index &&
        fault.fromMs <= toMs &&
        fault.toMs >= fromMs - BACKOFF_SLACK_MS,
    );
  return history.turnedAway.flatMap(
    ({attemptId, serverId, upstreamIndex, atMs, retryAfterMs}) => {
      const gateway = gateways.get(attemptId);
      const untilMs = atMs + retryAfterMs;
      const isExcused =
        gateway === undefined ||
        hasInterruption(history, gateway, atMs, untilMs) ||
        hasLinkFault(upstreamIndex, atMs, untilMs);
      if (isExcused) return [];
      const late = history.arrivals.filter(
        arrival =>
          arrival.upstreamId === serverId &&
          arrival.atMs > atMs + BACKOFF_SLACK_MS &&
          arrival.atMs <= untilMs &&
          gateways.get(arrival.attemptId) === gateway,
      );
      if (late.length <= TOLERATED_BACKOFF_REQUESTS) return [];
      const detail = `${serverId} got ${late.length} requests from ${gateway} in the ${retryAfterMs} ms after ${attemptId}`;
      return [{check: 'backoff', detail}];
    },
  );
}
