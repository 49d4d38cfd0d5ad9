/** Sends orders to an engine and checks the lease right before each one. */
import type {Clock, Logger, Random} from '@siskinplank/foundation';
import type {LeaseHolder} from '@siskinplank/platform-client';
import {computeBackoffMs} from '@siskinplank/transport';
import * as constants from '../constants';
import * as events from '../events';
import type {MemoryLedger} from '../memory/ledger';
import {ContentState, formatContent, isLoad} from '../memory/types';
import type {Content, EngineStatus, Order, PendingOrder} from '../memory/types';
import type {SideMetrics} from '../metrics';
import {OrderAnswer} from './engine-client';
import type {EngineClient} from './engine-client';
import {FenceState, createFence} from './fence';
import {createIdConsumer} from './id-consumer';
import type {IntentLog} from './intents';
import type {OrderReserve} from './reserve';

/** Dependencies of an order sender. */
export interface OrderSenderContext {
  clock: Clock;
  random: Random;
  logger: Logger;
  metrics: SideMetrics;
  lease: LeaseHolder;
  ledger: MemoryLedger;
  client: Pick<EngineClient, 'sendOrder' | 'sendRole'>;
  /** Whether the last calls to the platform succeeded. */
  isPlatformAvailable(): boolean;
  /** Undefined for engines that check fencing tokens. */
  getIntents(): IntentLog | undefined;
  /** Ids for orders whose intent cannot be stored. */
  reserve: OrderReserve;
}

/** Sends the orders for one engine and retries them. */
export interface OrderSender {
  /**
   * Whether orders may be planned from `status` and sent. In a new epoch, this
   * first raises the fencing token of the engine or, for engines that ignore
   * tokens, takes over the stored intents and uses up the reserved ids. It then
   * waits for a report that the engine took after these steps.
   */
  ensureReady(status: EngineStatus): Promise<boolean>;
  /** Whether `ensureReady` is still waiting for a newer report. */
  isTakingOver(): boolean;
  /** Reserves memory for a new order and sends it. */
  submitOrder(order: Order): void;
  /**
   * Stores order ids for outages of the platform, if the engine ignores fencing
   * tokens and lists completed orders.
   */
  fillReserve(status: EngineStatus, nowMs: number): void;
  /** Resends orders that got no reply or have no visible effect. */
  retryOverdue(nowMs: number): void;
  /** Settles resolved orders and delays retries of failed loads. */
  handleResolved(
    resolved: readonly Order[],
    failedLoads: readonly Order[],
    nowMs: number,
  ): void;
  getRetryAtMs(content: Content): number;
}

/** Creates the order sender for one engine. */
export function createOrderSender(context: OrderSenderContext): OrderSender {
  const {clock, random, logger, metrics, lease, ledger, client} = context;
  const {getIntents, reserve} = context;
  const inFlight = new Set<string>();
  const retries = new Map<string, {failures: number; retryAtMs: number}>();
  const fence = createFence(client, clock, logger);
  const idConsumer = createIdConsumer(client, clock, logger);
  /** The completed takeover from the previous side process. */
  let takeover:
    | {epoch: number; generation: string | number; isFencing: boolean}
    | undefined;
  /** Epoch under which the stored intents were taken over. */
  let adoptedEpoch: number | undefined;
  let isTakeoverPending = false;
  let staleEpoch: number | undefined;

  const isFencing = (): boolean => getIntents() === undefined;

  /** The epoch under which orders may be sent now; undefined if none may be. */
  const getUsableEpoch = (): number | undefined => {
    const epoch = lease.getEpoch(clock.getNowMs());
    if (epoch === undefined || epoch === staleEpoch) return undefined;
    return takeover?.epoch === epoch && takeover.isFencing === isFencing()
      ? epoch
      : undefined;
  };

  const markStale = (epoch: number): void => {
    staleEpoch = epoch;
    logger.log(events.EPOCH_STALE, {epoch});
  };

  const adoptIntents = async (
    intents: IntentLog,
    epoch: number,
  ): Promise<boolean> => {
    // Taken over before the intents: the predecessor cannot be using ids that
    // it stores after this.
    if (!(await reserve.adopt(epoch, clock.getNowMs()))) return false;
    const unresolved = await intents.adoptUnresolved(epoch);
    if (unresolved === undefined) return false;
    for (const order of unresolved) ledger.trackOrder(order);
    if (unresolved.length > 0) {
      logger.log(events.INTENTS_ADOPTED, {count: unresolved.length, epoch});
    }
    return true;
  };

  const settle = (orderId: string): void => {
    if (!reserve.settle(orderId)) getIntents()?.settle(orderId);
  };

  const delayRetry = (content: Content, nowMs: number): void => {
    const key = formatContent(content);
    const failures = retries.get(key)?.failures ?? 0;
    const delayMs = computeBackoffMs(
      failures,
      constants.LOAD_RETRY_BASE_MS,
      constants.LOAD_RETRY_MAX_MS,
      random,
    );
    retries.set(key, {failures: failures + 1, retryAtMs: nowMs + delayMs});
  };

  const abandon = (order: Order): void => {
    ledger.cancelOrder(order.orderId);
    delayRetry(order, clock.getNowMs());
  };

  const handleAnswer = (
    order: Order,
    epoch: number,
    answer: OrderAnswer,
  ): void => {
    const {orderId, type} = order;
    if (answer === OrderAnswer.Accepted) {
      ledger.recordAccepted(orderId);
      return;
    }
    if (answer === OrderAnswer.Unknown) {
      logger.log(events.ORDER_FAILED, {orderId, type});
      return;
    }
    if (answer === OrderAnswer.Fenced) {
      markStale(epoch);
    } else logger.log(events.ORDER_REFUSED, {orderId, type});
    delayRetry(order, clock.getNowMs());
    if (ledger.recordRejected(orderId)) settle(orderId);
  };

  /**
   * Makes sure that a successor will account for a new order: stores its
   * intent or, if that fails, replaces its id by a reserved one. Undefined when
   * neither is possible.
   */
  const registerOrder = async (
    order: Order,
    epoch: number,
    intents: IntentLog,
  ): Promise<Order | undefined> => {
    // While the platform is unavailable, storing the intent would only delay
    // the order until the call times out.
    let reservedId = context.isPlatformAvailable()
      ? undefined
      : reserve.take(epoch);
    if (reservedId === undefined) {
      if (await intents.record(order, epoch)) {
        reserve.expedite();
        return order;
      }
      reservedId = reserve.take(epoch);
    }
    if (reservedId === undefined) {
      abandon(order);
      return undefined;
    }
    if (!ledger.replaceOrderId(order.orderId, reservedId)) {
      reserve.settle(reservedId);
      return undefined;
    }
    const {orderId} = order;
    logger.log(events.RESERVED_ID_TAKEN, {orderId, reservedId, epoch});
    return {...order, orderId: reservedId};
  };

  const deliverOrder = async (order: Order, epoch: number): Promise<void> => {
    const {orderId, type, model} = order;
    if (!ledger.recordSent(orderId, clock.getNowMs())) {
      settle(orderId);
      return;
    }
    metrics.orders.inc({type});
    logger.log(events.ORDER_SENT, {
      orderId,
      type,
      model,
      adapter: order.adapter,
      epoch,
    });
    inFlight.add(orderId);
    handleAnswer(order, epoch, await client.sendOrder(order, epoch));
    inFlight.delete(orderId);
  };

  const sendNew = async (order: Order): Promise<void> => {
    const plannedEpoch = getUsableEpoch();
    if (plannedEpoch === undefined) {
      abandon(order);
      return;
    }
    const intents = getIntents();
    const registered =
      intents === undefined
        ? order
        : await registerOrder(order, plannedEpoch, intents);
    if (registered === undefined) return;
    // The lease may have expired while the intent was being written.
    if (getUsableEpoch() !== plannedEpoch) {
      abandon(registered);
      settle(registered.orderId);
      return;
    }
    await deliverOrder(registered, plannedEpoch);
  };

  const submitNew = async (order: Order): Promise<void> => {
    inFlight.add(order.orderId);
    await sendNew(order);
    inFlight.delete(order.orderId);
  };

  const resendOrder = async (order: Order): Promise<void> => {
    const epoch = getUsableEpoch();
    if (epoch !== undefined) await deliverOrder(order, epoch);
  };

  const isOverdue = (item: Readonly<PendingOrder>, nowMs: number): boolean => {
    const {order, lastSentMs} = item;
    if (inFlight.has(order.orderId)) return false;
    if (
      lastSentMs !== undefined &&
      nowMs - lastSentMs < constants.ORDER_RESEND_MS
    ) {
      return false;
    }
    const key = formatContent(order);
    const entry = ledger
      .listEntries()
      .find(candidate => formatContent(candidate) === key);
    return isLoad(order.type)
      ? entry?.state === undefined
      : entry?.state === ContentState.Loaded;
  };

  return {
    ensureReady: async status => {
      isTakeoverPending = false;
      const epoch = lease.getEpoch(clock.getNowMs());
      if (epoch === undefined || epoch === staleEpoch) return false;
      const intents = getIntents();
      const {generation} = status;
      // A restarted engine that ignores tokens would accept used ids again.
      const isRestartSafe =
        intents !== undefined && reserve.listInherited().length === 0;
      const isAdopted =
        intents === undefined ||
        (adoptedEpoch === epoch && reserve.isAdopted(epoch));
      const isTakenOver =
        isAdopted &&
        getUsableEpoch() !== undefined &&
        (isRestartSafe || takeover?.generation === generation);
      if (isTakenOver) return true;
      takeover = undefined;
      if (intents !== undefined && !isAdopted) {
        // `status` may be older than the effect of an order whose intent the
        // predecessor has already deleted.
        isTakeoverPending = await adoptIntents(intents, epoch);
        if (isTakeoverPending) adoptedEpoch = epoch;
        return false;
      }
      // Reports lag, so the next report may be too old as well.
      const [state, areIdsUsed] = await Promise.all([
        fence.raise(epoch, status, isFencing()),
        intents === undefined ||
          idConsumer.ensureUsed(reserve.listInherited(), status, epoch),
      ]);
      if (state === FenceState.Stale) markStale(epoch);
      isTakeoverPending = state !== FenceState.Stale;
      if (state !== FenceState.Raised || !areIdsUsed) return false;
      isTakeoverPending = false;
      takeover = {epoch, generation, isFencing: isFencing()};
      return getUsableEpoch() !== undefined;
    },
    isTakingOver: () => isTakeoverPending,
    submitOrder: order => {
      if (ledger.addOrder(order)) void submitNew(order);
    },
    fillReserve: ({completedOrders}, nowMs) => {
      const epoch = getUsableEpoch();
      const isUseful = getIntents() !== undefined && completedOrders;
      if (epoch !== undefined && isUseful) void reserve.refill(epoch, nowMs);
    },
    retryOverdue: nowMs => {
      for (const item of ledger.listPending()) {
        if (isOverdue(item, nowMs)) void resendOrder(item.order);
      }
    },
    handleResolved: (resolved, failedLoads, nowMs) => {
      for (const order of resolved) {
        settle(order.orderId);
        if (!failedLoads.includes(order)) retries.delete(formatContent(order));
      }
      for (const order of failedLoads) {
        logger.log(events.LOAD_FAILED, {
          orderId: order.orderId,
          model: order.model,
          adapter: order.adapter,
        });
        delayRetry(order, nowMs);
      }
    },
    getRetryAtMs: content =>
      retries.get(formatContent(content))?.retryAtMs ?? 0,
  };
}
