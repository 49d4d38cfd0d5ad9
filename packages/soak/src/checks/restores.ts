/** What the store lost when it was restored, and when it was written again. */
import {FaultKind} from '../history';
import type {DrainStart, History, StoreRestore} from '../history';
import {CONTACT_MS, DRAIN_MS, REVOKE_MS} from './bounds';

/** Restores from copies that lack what the store acknowledged at `atMs`. */
function findLosses(history: History, atMs: number): StoreRestore[] {
  return history.restores.filter(
    ({copiedAtMs, restoredAtMs}) => copiedAtMs < atMs && atMs <= restoredAtMs,
  );
}

/** Time from which a configuration acknowledged at `atMs` is there for good. */
export function getConfigurationAgainAtMs(
  history: History,
  atMs: number,
): number {
  return Math.max(
    atMs,
    ...findLosses(history, atMs).map(
      ({configurationAgainAtMs}) => configurationAgainAtMs,
    ),
  );
}

/** Whether a gateway had a fault of the kinds in the span. */
export function hasGatewayFault(
  history: History,
  gateway: string,
  kinds: readonly FaultKind[],
  fromMs: number,
  toMs: number,
): boolean {
  return history.faults.some(
    fault =>
      kinds.includes(fault.kind) &&
      `gateway-${Number(fault.target) + 1}` === gateway &&
      fault.fromMs <= toMs &&
      fault.toMs >= fromMs,
  );
}

/** A call with a withdrawn key. */
export interface KeyUse {
  key: string;
  gateway: string;
  sentAtMs: number;
}

/**
 * Whether the withdrawal of a key may be unknown at a gateway, since the store
 * lost it. It is known if a gateway that has run since had refused the key.
 */
export function isWithdrawalLost(
  history: History,
  withdrawnAtMs: number,
  {key, gateway, sentAtMs}: KeyUse,
): boolean {
  return findLosses(history, withdrawnAtMs).some(loss => {
    const isLost =
      sentAtMs >= loss.awayAtMs &&
      sentAtMs <= loss.configurationAgainAtMs + REVOKE_MS;
    if (!isLost) return false;
    const isPaused = hasGatewayFault(
      history,
      gateway,
      [FaultKind.GatewayPause],
      sentAtMs - CONTACT_MS,
      sentAtMs,
    );
    const isKnown = history.calls.some(
      call =>
        call.key === key &&
        call.status === 401 &&
        call.endedAtMs < loss.restoredAtMs &&
        !hasGatewayFault(
          history,
          call.gateway,
          [FaultKind.GatewayStop, FaultKind.GatewayKill],
          call.endedAtMs,
          sentAtMs,
        ),
    );
    return isPaused || !isKnown;
  });
}

/**
 * Whether a drain may be unknown at `runAtMs`, since the store lost it before
 * all gateways had to know it.
 */
export function isDrainLost(
  history: History,
  {atMs}: DrainStart,
  runAtMs: number,
): boolean {
  return findLosses(history, atMs).some(
    loss =>
      atMs + DRAIN_MS > loss.awayAtMs &&
      runAtMs >= loss.awayAtMs &&
      runAtMs <= loss.upstreamsAgainAtMs + DRAIN_MS,
  );
}
