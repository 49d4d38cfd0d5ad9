/**
 * Registrations of the other gateways. A restored store may lack the latest
 * ones; these stay in use until they are written again or a time has passed,
 * so that no gateway takes over the part of one that is running.
 */
import type {Clock, Timer} from '@siskinplank/foundation';
import type {ListedRegistration} from './own-registration';
import {REGISTRATION_EXPIRY_MS} from './registration-expiry';
import type {GatewayRecord} from './types';

/** Registrations of the other gateways. */
export interface MemberTable {
  /** Replaces everything; `isRestored` marks the first list of a new era. */
  setList(
    items: ReadonlyMap<string, ListedRegistration>,
    isRestored: boolean,
  ): void;
  /** Replaces one registration; undefined if it was removed. */
  update(name: string, item: ListedRegistration | undefined): void;
  listRecords(): readonly GatewayRecord[];
  /** Revision of a stored registration. */
  getRevision(name: string): number | undefined;
  stop(): void;
}

/** A registration of the former era that is still in use. */
interface KeptRegistration {
  record: GatewayRecord;
  /** Revision of the one that the restored store has instead. */
  restoredRevision: number | undefined;
}

/** Creates an empty table; `onExpire` reports the end of kept registrations. */
export function createMemberTable(
  clock: Clock,
  onExpire: () => void,
): MemberTable {
  const stored = new Map<string, ListedRegistration>();
  const kept = new Map<string, KeptRegistration>();
  let expiryTimer: Timer | undefined;

  const listCurrent = (): Map<string, GatewayRecord> =>
    new Map([
      ...[...stored].map(([name, {record}]) => [name, record] as const),
      ...[...kept].map(([name, {record}]) => [name, record] as const),
    ]);

  const keepFormer = (former: ReadonlyMap<string, GatewayRecord>): void => {
    kept.clear();
    for (const [name, record] of former) {
      const restored = stored.get(name);
      if (restored?.record.incarnation === record.incarnation) continue;
      kept.set(name, {record, restoredRevision: restored?.revision});
    }
    expiryTimer?.cancel();
    expiryTimer = undefined;
    if (kept.size === 0) return;
    expiryTimer = clock.startTimer(REGISTRATION_EXPIRY_MS, () => {
      kept.clear();
      onExpire();
    });
  };

  const dropRewritten = (): void => {
    for (const [name, {restoredRevision}] of [...kept]) {
      if (stored.get(name)?.revision !== restoredRevision) kept.delete(name);
    }
  };

  return {
    setList: (items, isRestored) => {
      const former = listCurrent();
      stored.clear();
      for (const [name, item] of items) stored.set(name, item);
      if (isRestored) keepFormer(former);
      else dropRewritten();
    },
    update: (name, item) => {
      kept.delete(name);
      if (item === undefined) stored.delete(name);
      else stored.set(name, item);
    },
    listRecords: () => [...listCurrent().values()],
    getRevision: name => stored.get(name)?.revision,
    stop: () => expiryTimer?.cancel(),
  };
}
