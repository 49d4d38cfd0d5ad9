/** Promises over many requests: keys, limits, budgets, leaving, orders, stops. */
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
  RECOVERED_SHARE,
  RECOVERY_MS,
  REVOKE_MS,
} from './bounds';

/** Whether something unplanned, or a planned stop, lasted in the time before. */
function isDisturbed(
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

/** A withdrawn key runs nothing that is sent later than the bound. */
export function checkKeys(history: History): Violation[] {
  const ran = new Set(history.runs.map(({attemptId}) => attemptId));
  return history.calls
    .filter(({key, sentAtMs, attemptId}) => {
      const withdrawnAtMs = history.withdrawnKeys.get(key) ?? Infinity;
      return sentAtMs > withdrawnAtMs + REVOKE_MS && ran.has(attemptId);
    })
    .map(({attemptId, key}) => ({
      check: 'key',
      detail: `${attemptId} ran with the withdrawn key ${key}`,
    }));
}

/** The largest limit of an account that was in force within a window. */
function findLimit(
  history: History,
  account: string,
  fromMs: number,
  toMs: number,
): {ratePerSecond: number; burst: number} {
  const spans = history.limits.filter(limit => limit.account === account);
  let most = {ratePerSecond: 0, burst: 0};
  spans.forEach((span, index) => {
    // A limit binds a window after all gateways know it.
    const untilMs = (spans[index + 1]?.fromMs ?? Infinity) + QUOTA_WINDOW_MS;
    if (span.fromMs > toMs || untilMs < fromMs) return;
    most = {
      ratePerSecond: Math.max(most.ratePerSecond, span.ratePerSecond),
      burst: Math.max(most.burst, span.burst),
    };
  });
  return most;
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
        detail: `${account}: ${spent} tokens of ${Math.round(allowed)}`,
      });
      break;
    }
  }
  return violations;
}

/** Arrivals beyond the first of each request stay within the budget. */
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
      return [{check: 'budget', detail: `${count} repeats of ${allowed}`}];
    }
  }
  return [];
}

/** A leaving upstream gets nothing new after the bound, in calm times. */
export function checkLeaving(history: History): Violation[] {
  return history.leaving.flatMap(({upstreamId, atMs}) => {
    const late = history.runs.find(
      run =>
        run.serverId === upstreamId &&
        run.atMs > atMs + DRAIN_MS &&
        !isDisturbed(history, atMs, run.atMs, isUnplanned),
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

/** Memory is never overcommitted, and no two holders share a token. */
export function checkOrders({orders, roomMb}: History): Violation[] {
  const violations: Violation[] = [];
  const holders = new Map<number, string>();
  for (const {serverId, usedMb, token, holder, status} of orders) {
    if (usedMb > roomMb) {
      violations.push({
        check: 'memory',
        detail: `${serverId} holds ${usedMb} MB of ${roomMb}`,
      });
    }
    const known = holders.get(token);
    if (known !== undefined && known !== holder && status < 400) {
      violations.push({
        check: 'holder',
        detail: `${known} and ${holder} gave orders with ${token}`,
      });
    }
    holders.set(token, known ?? holder);
  }
  return violations;
}

/** A planned stop cuts no request that had been read. */
export function checkStops(history: History): Violation[] {
  return history.calls
    .filter(call => call.status === 0 || !call.isComplete)
    .filter(call => call.endedAtMs - call.sentAtMs < call.deadlineMs * 0.7)
    .filter(call =>
      history.runs.some(({attemptId}) => attemptId === call.attemptId),
    )
    .filter(
      call =>
        !isDisturbed(history, call.sentAtMs, call.endedAtMs, isUnplanned) &&
        isDisturbed(
          history,
          call.sentAtMs,
          call.endedAtMs,
          kind => kind === FaultKind.GatewayStop,
        ),
    )
    .map(({attemptId, gateway}) => ({
      check: 'stop',
      detail: `${attemptId} was cut at ${gateway}`,
    }));
}

/** Requests are served again some time after the last fault. */
export function checkRecovery(history: History): Violation[] {
  const lastMs = Math.max(0, ...history.faults.map(({toMs}) => toMs));
  const after = history.calls.filter(
    ({sentAtMs, key}) =>
      sentAtMs > lastMs + RECOVERY_MS && !history.withdrawnKeys.has(key),
  );
  const served = after.filter(
    ({status, isComplete}) => status === 200 && isComplete,
  );
  if (served.length >= after.length * RECOVERED_SHARE) return [];
  return [
    {
      check: 'recovery',
      detail: `${served.length} of ${after.length} requests served`,
    },
  ];
}
