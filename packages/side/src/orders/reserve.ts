/**
 * Order ids stored in the platform in advance, for engines that ignore fencing
 * tokens. While the platform is unavailable and no intent can be stored, orders
 * are sent under these ids. A successor does not know what was ordered under
 * them, so it uses up all of them (`id-consumer.ts`) before it sends orders.
 */
import {makeSecureId} from '@siskinplank/foundation';
import type {Logger, Random} from '@siskinplank/foundation';
import type {
  ExpectedVersion,
  PlatformStore,
} from '@siskinplank/platform-client';
import {ResourceKind} from '@siskinplank/resources';
import * as constants from '../constants';
import * as events from '../events';

/** Reserved order ids of one upstream. */
export interface OrderReserve {
  /**
   * Takes over the stored ids under `epoch`, so that a predecessor can store no
   * more; false when the platform did not reply or the object was changed.
   */
  adopt(epoch: number, nowMs: number): Promise<boolean>;
  /** Whether the ids were taken over under `epoch`. */
  isAdopted(epoch: number): boolean;
  /** Ids found at takeover; delayed orders may still arrive under them. */
  listInherited(): readonly string[];
  /** Takes an id for an order; undefined when none is left. */
  take(epoch: number): string | undefined;
  /** Marks a taken id as settled; false when `orderId` is not one. */
  settle(orderId: string): boolean;
  /**
   * Stores new ids in place of used ones while the platform is available. Only
   * for a process that has used up the inherited ids.
   */
  refill(epoch: number, nowMs: number): Promise<void>;
  /** Lets the next `refill` run without its random delay. */
  expedite(): void;
}

/** Creates the reserve of `upstream`. */
export function createOrderReserve(
  upstream: string,
  store: PlatformStore,
  random: Random,
  logger: Logger,
): OrderReserve {
  let adoptedEpoch: number | undefined;
  /** Increments on each takeover, so that writes before it add no ids. */
  let session = 0;
  let version: ExpectedVersion = 'absent';
  /** Ids in the platform as of the last write or read. */
  let stored: readonly string[] = [];
  /** Ids of a write whose outcome is unknown. */
  let unconfirmed: readonly string[] | undefined;
  let unused: string[] = [];
  /** Ids taken for orders that are not settled yet. */
  const taken = new Set<string>();
  const inherited = new Set<string>();
  let isWriting = false;
  let nextTryMs = -Infinity;

  const delayNextTry = (nowMs: number): void => {
    nextTryMs = nowMs + random.getNext() * constants.RESERVE_SPREAD_MS;
  };

  const read = () => store.getObject(ResourceKind.OrderReserve, upstream);

  const write = (epoch: number, orderIds: readonly string[]) =>
    store.putObject(
      ResourceKind.OrderReserve,
      upstream,
      {name: upstream, epoch, orderIds: [...orderIds]},
      version,
    );

  /** Reads the outcome of an unconfirmed write; false if that fails. */
  const reconcile = async (epoch: number): Promise<boolean> => {
    if (unconfirmed === undefined) return true;
    const startedSession = session;
    const found = await read();
    if (found.isLeft() || session !== startedSession) return false;
    const object = found.orDefault(undefined);
    const known = new Set([...stored, ...unconfirmed]);
    const isOwn =
      object === undefined
        ? version === 'absent'
        : object.value.epoch === epoch &&
          object.value.orderIds.every(orderId => known.has(orderId));
    if (!isOwn) {
      // Another process wrote the object, so its ids must be used up as well.
      adoptedEpoch = undefined;
      return false;
    }
    unconfirmed = undefined;
    version = object?.version ?? 'absent';
    stored = object?.value.orderIds ?? [];
    return true;
  };

  const storeIds = async (epoch: number, nowMs: number): Promise<void> => {
    delayNextTry(nowMs);
    if (!(await reconcile(epoch)) || adoptedEpoch !== epoch) return;
    const kept = [...taken, ...unused];
    const count = Math.max(0, constants.RESERVED_ORDER_IDS - kept.length);
    const fresh = Array.from({length: count}, () => makeSecureId());
    const orderIds = [...kept, ...fresh];
    const startedSession = session;
    unconfirmed = orderIds;
    const written = await write(epoch, orderIds);
    if (session !== startedSession) return;
    written.ifLeft(error =>
      logger.log(events.RESERVE_WRITE_FAILED, {detail: error.message}),
    );
    written.ifRight(object => {
      unconfirmed = undefined;
      version = object.version;
      stored = orderIds;
      unused.push(...fresh);
      nextTryMs = -Infinity;
    });
  };

  return {
    adopt: async (epoch, nowMs) => {
      adoptedEpoch = undefined;
      unused = [];
      session += 1;
      const startedSession = session;
      const found = await read();
      if (found.isLeft() || session !== startedSession) return false;
      const object = found.orDefault(undefined);
      const before = object?.value.orderIds ?? [];
      // If another process held the lease in between, it may have removed the
      // ids of open orders of this process.
      const orderIds = [...new Set([...before, ...taken])];
      version = object?.version ?? 'absent';
      if (object !== undefined && object.value.epoch > epoch) return false;
      const isCurrent =
        orderIds.length === before.length &&
        (object === undefined || object.value.epoch === epoch);
      if (!isCurrent) {
        const written = await write(epoch, orderIds);
        if (written.isLeft() || session !== startedSession) return false;
        written.ifRight(({version: newVersion}) => (version = newVersion));
      }
      stored = orderIds;
      unconfirmed = undefined;
      for (const orderId of orderIds) inherited.add(orderId);
      if (orderIds.length > 0) {
        logger.log(events.RESERVE_ADOPTED, {count: orderIds.length, epoch});
      }
      adoptedEpoch = epoch;
      delayNextTry(nowMs);
      return true;
    },
    isAdopted: epoch => adoptedEpoch === epoch,
    listInherited: () => [...inherited],
    take: epoch => {
      if (adoptedEpoch !== epoch) return undefined;
      const orderId = unused.shift();
      if (orderId !== undefined) taken.add(orderId);
      return orderId;
    },
    settle: orderId => taken.delete(orderId),
    refill: async (epoch, nowMs) => {
      if (adoptedEpoch !== epoch || isWriting) return;
      if (!store.isAvailable()) {
        delayNextTry(nowMs);
        return;
      }
      const isFull =
        unused.length >= constants.MIN_RESERVED_ORDER_IDS &&
        stored.length === taken.size + unused.length;
      if (isFull || nowMs < nextTryMs) return;
      isWriting = true;
      await storeIds(epoch, nowMs);
      isWriting = false;
    },
    expedite: () => {
      nextTryMs = -Infinity;
    },
  };
}
