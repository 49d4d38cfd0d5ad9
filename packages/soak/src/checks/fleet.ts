/** Checks over many requests: keys, limits, budgets, drains, orders, stops. */
import type {CallRecord} from '@siskinplank/platform-stand-ins';
import {FaultKind, PLANNED_KINDS} from '../history';
import type {History, Violation} from '../history';
import {
  BUDGET_RATIO,
  BUDGET_SLACK,
  BUDGET_WINDOW_MS,
  CONTACT_MS,
  DRAIN_MS,
  QUOTA_OVERAGE,
  QUOTA_SLACK,
  QUOTA_WINDOW_MS,
  MIN_SERVED_FRACTION,
  RECOVERY_MS,
  REVOKE_MS,
} from './bounds';
import {
  getConfigurationAgainAtMs,
  hasGatewayFault,
  isDrainLost,
  isWithdrawalLost,
} from './restores';

/** Whether a fault of the kinds was active in the span or CONTACT_MS before. */
function hasActiveFault(
  history: History,
  fromMs: number,
  toMs: number,
  kinds: (kind: FaultKind) => boolean,
): boolean {
  return history.faults.some(
    fault =>
      kinds(fault.kind) &&
      fault.fromMs <= toMs &&
      fault.toMs >= fromMs - CONTACT_MS,
  );
}

const isUnplanned = (kind: FaultKind): boolean => !PLANNED_KINDS.has(kind);

/** Faults after which a gateway may learn of a drain later. */
const GATEWAY_NEWS_FAULTS: readonly FaultKind[] = [
  FaultKind.GatewayStop,
  FaultKind.GatewayKill,
  FaultKind.GatewayPause,
  FaultKind.StoreCut,
];
/** Faults of the store after which all gateways may. */
const STORE_NEWS_FAULTS: ReadonlySet<FaultKind> = new Set([
  FaultKind.StoreOutage,
  FaultKind.StoreSlow,
  FaultKind.StoreLost,
  FaultKind.StoreCompact,
]);

/** No request with a withdrawn key runs if it is sent after REVOKE_MS. */
export function checkKeys(history: History): Violation[] {
  const ran = new Set(history.runs.map(({attemptId}) => attemptId));
  return history.calls
    .filter(call => {
      const withdrawnAtMs = history.withdrawnKeys.get(call.key) ?? Infinity;
      return (
        call.sentAtMs > withdrawnAtMs + REVOKE_MS &&
        ran.has(call.attemptId) &&
        !isWithdrawalLost(history, withdrawnAtMs, call)
      );
    })
    .map(({attemptId, key}) => ({
      check: 'key',
      detail: `${attemptId} ran with the withdrawn key ${key}`,
    }));
}

/** Largest rate and burst of an account that were in force in a window. */
function findLimit(
  history: History,
  account: string,
  fromMs: number,
  toMs: number,
): {ratePerSecond: number; burst: number} {
  const spans = history.limits.filter(limit => limit.account === account);
  let largest = {ratePerSecond: 0, burst: 0};
  spans.forEach((span, index) => {
    // The previous limit may apply for one more window after a change.
    const next = spans.at(index + 1);
    const changedAtMs =
      next === undefined
        ? Infinity
        : getConfigurationAgainAtMs(history, next.fromMs);
    const untilMs = changedAtMs + QUOTA_WINDOW_MS;
    if (span.fromMs > toMs || untilMs < fromMs) return;
    largest = {
      ratePerSecond: Math.max(largest.ratePerSecond, span.ratePerSecond),
      burst: Math.max(largest.burst, span.burst),
    };
  });
  return largest;
}

/** No account gets more than its rate and burst in any window. */
export function checkLimits(history: History): Violation[] {
  const ran = new Set(history.runs.map(({attemptId}) => attemptId));
  const byAccount = new Map<string, CallRecord[]>();
  for (const call of history.calls) {
    if (!ran.has(call.attemptId)) continue;
    const calls = byAccount.get(call.account) ?? [];
    calls.push(call);
    byAccount.set(call.account, calls);
  }
  const violations: Violation[] = [];
  for (const [account, calls] of byAccount) {
    calls.sort((left, right) => left.sentAtMs - right.sentAtMs);
    let first = 0;
    let spent = 0;
    for (const call of calls) {
      spent += call.tokens;
      while (call.sentAtMs - calls[first].sentAtMs > QUOTA_WINDOW_MS) {
        spent -= calls[first].tokens;
        first += 1;
      }
      const {ratePerSecond, burst} = findLimit(
        history,
        account,
        calls[first].sentAtMs,
        call.sentAtMs,
      );
      const allowed =
        ((ratePerSecond * QUOTA_WINDOW_MS) / 1_000 + burst) *
          (1 + QUOTA_OVERAGE) +
        QUOTA_SLACK;
      if (spent <= allowed) continue;
      violations.push({
        check: 'limit',
        detail: `${account}: ${spent} tokens, allowed ${Math.round(allowed)}`,
      });
      break;
    }
  }
  return violations;
}

/** Repeated arrivals of requests at upstreams stay within the retry budget. */
export function checkBudget(history: History): Violation[] {
  const seen = new Set<string>();
  const firsts: number[] = [];
  const repeats: number[] = [];
  const sorted = [...history.arrivals].sort(
    (left, right) => left.atMs - right.atMs,
  );
  for (const {attemptId, atMs} of sorted) {
    if (seen.has(attemptId)) repeats.push(atMs);
    else firsts.push(atMs);
    seen.add(attemptId);
  }
  for (const endMs of repeats) {
    const countIn = (times: number[]): number =>
      times.filter(atMs => atMs > endMs - BUDGET_WINDOW_MS && atMs <= endMs)
        .length;
    const count = countIn(repeats);
    const allowed = BUDGET_RATIO * countIn(firsts) + BUDGET_SLACK;
    if (count > allowed) {
      return [
        {check: 'budget', detail: `${count} retries, allowed ${allowed}`},
      ];
    }
  }
  return [];
}

/** A draining upstream gets no request after DRAIN_MS, unless news is late. */
export function checkDrains(history: History): Violation[] {
  const gateways = new Map(
    history.calls.map(({attemptId, gateway}) => [attemptId, gateway]),
  );
  return history.leaving.flatMap(drain => {
    const {upstreamId, atMs} = drain;
    const late = history.runs.find(
      run =>
        run.serverId === upstreamId &&
        run.atMs > atMs + DRAIN_MS &&
        !hasActiveFault(history, atMs, run.atMs, kind =>
          STORE_NEWS_FAULTS.has(kind),
        ) &&
        !hasGatewayFault(
          history,
          gateways.get(run.attemptId) ?? '',
          GATEWAY_NEWS_FAULTS,
          atMs - CONTACT_MS,
          run.atMs,
        ) &&
        !isDrainLost(history, drain, run.atMs),
    );
    return late === undefined
      ? []
      : [
          {
            check: 'leaving',
            detail: `${upstreamId} got ${late.attemptId} after ${Math.round(late.atMs - atMs)} ms`,
          },
        ];
  });
}

/** Memory is never overcommitted, and each fencing token has one holder. */
export function checkOrders({orders, memoryMb}: History): Violation[] {
  const violations: Violation[] = [];
  const holders = new Map<number, string>();
  for (const {serverId, usedMb, token, holder, status} of orders) {
    if (usedMb > memoryMb) {
      violations.push({
        check: 'memory',
        detail: `${serverId} uses ${usedMb} MB of ${memoryMb}`,
      });
    }
    const known = holders.get(token);
    if (known !== undefined && known !== holder && status < 400) {
      violations.push({
        check: 'holder',
        detail: `${known} and ${holder} sent orders with token ${token}`,
      });
    }
    holders.set(token, known ?? holder);
  }
  return violations;
}

/** A planned stop of a gateway breaks off no request that ran. */
export function checkStops(history: History): Violation[] {
  return history.calls
    .filter(call => call.status === 0 || !call.isComplete)
    .filter(call => call.endedAtMs - call.sentAtMs < call.deadlineMs * 0.7)
    .filter(call =>
      history.runs.some(({attemptId}) => attemptId === call.attemptId),
    )
    .filter(
      call =>
        !hasActiveFault(history, call.sentAtMs, call.endedAtMs, isUnplanned) &&
        hasActiveFault(
          history,
          call.sentAtMs,
          call.endedAtMs,
          kind => kind === FaultKind.GatewayStop,
        ),
    )
    .map(({attemptId, gateway}) => ({
      check: 'stop',
      detail: `${attemptId} was broken off at ${gateway}`,
    }));
}

/** Requests are served again once RECOVERY_MS passed after the last fault. */
export function checkRecovery(history: History): Violation[] {
  const lastMs = Math.max(0, ...history.faults.map(({toMs}) => toMs));
  const after = history.calls.filter(
    ({sentAtMs, key}) =>
      sentAtMs > lastMs + RECOVERY_MS && !history.withdrawnKeys.has(key),
  );
  const served = after.filter(
    ({status, isComplete}) => status === 200 && isComplete,
  );
  if (served.length >= after.length * MIN_SERVED_FRACTION) return [];
  return [
    {
      check: 'recovery',
      detail: `${served.length} of ${after.length} requests served`,
    },
  ];
}
