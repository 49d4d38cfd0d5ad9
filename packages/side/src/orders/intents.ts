/**
 * Order intents stored in the platform, for engines that ignore fencing tokens.
 * A paused side process may still send its orders after it was replaced; from
 * the intents, its successor knows which memory these orders may allocate.
 */
import type {Clock, Logger} from '@siskinplank/foundation';
import type {PlatformStore} from '@siskinplank/platform-client';
import {ResourceKind} from '@siskinplank/resources';
import type {OrderIntent, StoredObject} from '@siskinplank/resources';
import {INTENT_RETRY_MS} from '../constants';
import * as events from '../events';
import {OrderType} from '../memory/types';
import type {Order} from '../memory/types';

/**
 * Stored intents of one upstream. An intent belongs to the epoch stored in it,
 * and only the process that recorded or adopted it under that epoch deletes it:
 * when one process knows the result of the copies it sent, its successor may
 * still have sent copies of its own.
 */
export interface IntentLog {
  /** Stores the intent of an order; false when that is not confirmed. */
  record(order: Order, epoch: number): Promise<boolean>;
  /** Deletes the intent of a settled order; `sweep` retries if that fails. */
  settle(orderId: string): void;
  /**
   * Takes over all unresolved intents under `epoch`; undefined when the
   * platform did not reply or an intent was changed concurrently.
   */
  adoptUnresolved(epoch: number): Promise<readonly Order[] | undefined>;
  /** Retries deletions that failed. */
  sweep(nowMs: number): void;
}

const ORDER_TYPES = new Set<string>(Object.values(OrderType));

function convertIntent(intent: OrderIntent): Order {
  const {orderId, type, model, adapter, version, memoryMiB} = intent;
  return {
    orderId,
    type: type as OrderType,
    model,
    version,
    ...(adapter !== undefined && {adapter}),
    memoryMiB,
  };
}

/** Creates the intent log of `upstream`. */
export function createIntentLog(
  upstream: string,
  store: PlatformStore,
  clock: Clock,
  logger: Logger,
): IntentLog {
  const settled = new Set<string>();
  /** Epoch under which this process recorded or adopted each intent. */
  const epochs = new Map<string, number>();
  let lastSweepMs = -Infinity;

  const getName = (orderId: string): string => `${upstream}.${orderId}`;

  const deleteIntent = async (orderId: string): Promise<void> => {
    const name = getName(orderId);
    const found = await store.getObject(ResourceKind.OrderIntent, name);
    if (found.isLeft()) return;
    const object = found.orDefault(undefined);
    const epoch = epochs.get(orderId);
    // An intent with another epoch was taken over by a successor, which deletes
    // it itself.
    if (object !== undefined && object.value.epoch === epoch) {
      const deleted = await store.deleteObject(
        ResourceKind.OrderIntent,
        name,
        object.version,
      );
      if (deleted.isLeft()) return;
    }
    if (epochs.get(orderId) !== epoch) return;
    settled.delete(orderId);
    epochs.delete(orderId);
  };

  const adopt = async (
    stored: StoredObject<ResourceKind.OrderIntent>,
    epoch: number,
  ): Promise<Order | undefined> => {
    const {orderId} = stored.value;
    if (stored.value.epoch !== epoch) {
      const written = await store.putObject(
        ResourceKind.OrderIntent,
        stored.name,
        {...stored.value, epoch},
        stored.version,
      );
      if (written.isLeft()) return undefined;
    }
    epochs.set(orderId, epoch);
    settled.delete(orderId);
    return convertIntent(stored.value);
  };

  return {
    record: async (order, epoch) => {
      const {orderId, type, model, adapter, version, memoryMiB} = order;
      const name = getName(orderId);
      epochs.set(orderId, epoch);
      const stored = await store.putObject(
        ResourceKind.OrderIntent,
        name,
        {
          name,
          upstream,
          epoch,
          orderId,
          type,
          model,
          ...(adapter !== undefined && {adapter}),
          version,
          memoryMiB,
        },
        'absent',
      );
      stored.ifLeft(error => {
        logger.log(events.INTENT_WRITE_FAILED, {
          orderId,
          detail: error.message,
        });
        // The write may still have taken effect, so the intent is deleted.
        settled.add(orderId);
      });
      return stored.isRight();
    },
    settle: orderId => {
      settled.add(orderId);
      void deleteIntent(orderId);
    },
    adoptUnresolved: async epoch => {
      const listed = await store.listObjects(ResourceKind.OrderIntent);
      if (listed.isLeft()) return undefined;
      const items = listed.map(list => list.items).orDefault([]);
      const found = items.filter(
        ({value}) =>
          value.upstream === upstream &&
          ORDER_TYPES.has(value.type) &&
          // Skip intents that this process settled in the same epoch.
          !(settled.has(value.orderId) && epochs.get(value.orderId) === epoch),
      );
      const orders = await Promise.all(found.map(item => adopt(item, epoch)));
      const adopted = orders.filter(order => order !== undefined);
      return adopted.length === found.length ? adopted : undefined;
    },
    sweep: nowMs => {
      if (nowMs - lastSweepMs < INTENT_RETRY_MS) return;
      lastSweepMs = nowMs;
      for (const orderId of settled) void deleteIntent(orderId);
    },
  };
}
