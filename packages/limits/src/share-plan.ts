/** Plans updates of the share table: which host holds which units. */
import type {ShareTable} from '@siskinplank/resources';

type ShareEntry = ShareTable['holders'][number];

/** When this process first saw the current renewal of a holder. */
export interface ShareObservation {
  renewal: number;
  sinceMs: number;
}

/** Observations by host and incarnation. */
export type ShareObservations = ReadonlyMap<string, ShareObservation>;

const makeEntryKey = (entry: ShareEntry): string =>
  `${entry.host}/${entry.incarnation}`;

/** Observations after a read at `nowMs`; unchanged renewals keep their time. */
export function observeTable(
  previous: ShareObservations,
  table: ShareTable,
  nowMs: number,
): ShareObservations {
  const next = new Map<string, ShareObservation>();
  for (const entry of table.holders) {
    const key = makeEntryKey(entry);
    const known = previous.get(key);
    const isUnchanged = known?.renewal === entry.renewal;
    next.set(
      key,
      isUnchanged ? known : {renewal: entry.renewal, sinceMs: nowMs},
    );
  }
  return next;
}

/** Target units of `host` when units are divided evenly over `hosts`. */
export function computeTargetUnits(
  unitCount: number,
  hosts: readonly string[],
  host: string,
): number {
  const names = [...new Set([...hosts, host])].sort();
  const rank = names.indexOf(host);
  const remainder = unitCount % names.length;
  return Math.floor(unitCount / names.length) + (rank < remainder ? 1 : 0);
}

/** Inputs of a table update. */
export interface SharePlanInput {
  table: ShareTable;
  host: string;
  incarnation: string;
  /** Upper bound of the units to hold; units above it are not in use. */
  maxUnits: number;
  observations: ShareObservations;
  /** Longest loan that may be active, in milliseconds. */
  loanMs: number;
  /** Loan duration of an entry without `loanMs`, in milliseconds. */
  defaultLoanMs: number;
  nowMs: number;
}

/** A planned table update. */
export interface SharePlan {
  table: ShareTable;
  /** Units of this process in the planned table. */
  units: readonly number[];
  /** Number of units that the table lists for this process before the update. */
  listedUnits: number;
  /** Hosts whose units were reclaimed because their lease expired. */
  reclaimedHosts: readonly string[];
  /** Longest loan that the planned entry allows, in milliseconds. */
  loanMs: number;
  /** Whether the entry of an earlier incarnation on this host is replaced. */
  isTakeover: boolean;
}

function isExpired(entry: ShareEntry, input: SharePlanInput): boolean {
  const seen = input.observations.get(makeEntryKey(entry));
  if (seen === undefined || seen.renewal !== entry.renewal) return false;
  return input.nowMs - seen.sinceMs >= input.table.leaseMs;
}

/**
 * Plans a renewal of this process's entry that takes free units up to
 * `maxUnits` and releases units above it. Units of an earlier incarnation on
 * `host` are free: that process has ended, since this one has bound its port.
 */
export function planShareUpdate(input: SharePlanInput): SharePlan {
  const {table, host, incarnation, maxUnits: keepUnits} = input;
  const ownEntry = table.holders.find(
    entry => entry.host === host && entry.incarnation === incarnation,
  );
  const otherEntries: ShareEntry[] = [];
  const reclaimedHosts: string[] = [];
  for (const entry of table.holders) {
    if (entry.host === host) continue;
    if (isExpired(entry, input)) reclaimedHosts.push(entry.host);
    else otherEntries.push(entry);
  }
  const heldElsewhere = new Set(otherEntries.flatMap(entry => entry.units));
  const units = (ownEntry?.units ?? []).filter(
    unit => !heldElsewhere.has(unit),
  );
  units.splice(Math.max(0, keepUnits));
  const held = new Set([...heldElsewhere, ...units]);
  for (let unit = 0; unit < table.unitCount; unit += 1) {
    if (units.length >= keepUnits) break;
    if (!held.has(unit)) units.push(unit);
  }
  const renewal = (ownEntry?.renewal ?? 0) + 1;
  const formerEntries = table.holders.filter(
    entry => entry.host === host && entry.incarnation !== incarnation,
  );
  const loanMs = Math.max(
    input.loanMs,
    ...formerEntries.map(former => former.loanMs ?? 0),
  );
  const entry = {
    host,
    incarnation,
    renewal,
    units,
    ...(loanMs > input.defaultLoanMs && {loanMs}),
  };
  const holders = [...otherEntries, entry];
  const isSuccession = formerEntries.length > 0;
  const planned = {...table, holders};
  return {
    table: planned,
    units,
    listedUnits: ownEntry?.units.length ?? 0,
    reclaimedHosts,
    loanMs,
    isTakeover: isSuccession,
  };
}

/** Number of units without a holder. */
export function countFreeUnits(table: ShareTable): number {
  return table.holders.reduce(
    (free, holder) => free - holder.units.length,
    table.unitCount,
  );
}

/** Hosts that hold fewer units than their target, except `host`. */
export function listHostsBelowTarget(
  table: ShareTable,
  hosts: readonly string[],
  host: string,
): readonly string[] {
  const held = new Map(
    table.holders.map(holder => [holder.host, holder.units.length]),
  );
  return hosts.filter(
    name =>
      name !== host &&
      (held.get(name) ?? 0) < computeTargetUnits(table.unitCount, hosts, name),
  );
}

/** Plans the table without this process, for a graceful shutdown. */
export function planShareRelease(
  table: ShareTable,
  host: string,
  incarnation: string,
): ShareTable {
  const holders = table.holders.filter(
    entry => entry.host !== host || entry.incarnation !== incarnation,
  );
  return {...table, holders};
}
