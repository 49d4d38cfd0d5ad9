/** Gives orders to the engine, checking the lease right before each one. */
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

/** What giving orders needs. */
export interface OrderSenderContext {
  clock: Clock;
  random: Random;
  logger: Logger;
  metrics: SideMetrics;
  lease: LeaseHolder;
  ledger: MemoryLedger;
  client: Pick<EngineClient, 'sendOrder' | 'sendRole'>;
  /** Whether the last calls to the platform got through. */
  isPlatformAvailable(): boolean;
  /** Defined for engines that ignore fencing tokens. */
  getIntents(): IntentLog | undefined;
  /** Ids for orders whose intent can't be stored. */
  reserve: OrderReserve;
}

/** Gives orders. */
export interface OrderSender {
  /**
   * Whether orders may be given on the strength of `status`. A new epoch first
   * raises the engine's fencing token, or takes over the stored intents and
   * uses up the reserved ids, and then needs a report that was taken after that.
   */
  ensureReady(status: EngineStatus): Promise<boolean>;
  /** Whether `ensureReady` waits for a newer report. */
  isTakingOver(): boolean;
  /** Reserves memory for a new order and sends it. */
  submitOrder(order: Order): void;
  /** Keeps ids in store for an outage, of an engine that lists their use. */
  fillReserve(status: EngineStatus, nowMs: number): void;
  /** Sends orders again that got no answer or show no effect. */
  retryOverdue(nowMs: number): void;
  /** Notes the orders whose result a report has shown. */
  handleResolved(
    resolved: readonly Order[],
    failedLoads: readonly Order[],
    nowMs: number,
  ): void;
  getRetryAtMs(content: Content): number;
}

/** Creates the giver of orders to one engine. */
export function createOrderSender(context: OrderSenderContext): OrderSender {
  const {clock, random, logger, metrics, lease, ledger, client} = context;
  const {getIntents, reserve} = context;
  const inFlight = new Set<string>();
  const retries = new Map<string, {failures: number; retryMs: number}>();
  const fence = createFence(client, clock, logger);
  const spender = createIdConsumer(client, clock, logger);
  /** How this process has taken over from its predecessor. */
  let takeover:
    | {epoch: number; generation: string | number; isFencing: boolean}
    | undefined;
  /** Epoch under which the stored intents were taken over. */
  let adoptedEpoch: number | undefined;
  let isWaiting = false;
  let staleEpoch: number | undefined;

  const isFencing = (): boolean => getIntents() === undefined;

  /** The epoch under which orders may be given at this moment. */
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
    // Ids that the predecessor stores after this can't be in use.
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
    retries.set(key, {failures: failures + 1, retryMs: nowMs + delayMs});
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
   * Makes a new order known to successors: stores its intent, or gives it a
   * reserved id. Undefined when neither is possible.
   */
  const secureOrder = async (
    order: Order,
    epoch: number,
    intents: IntentLog,
  ): Promise<Order | undefined> => {
    // A call that hangs would only delay the order.
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
    const secured =
      intents === undefined
        ? order
        : await secureOrder(order, plannedEpoch, intents);
    if (secured === undefined) return;
    // The lease may have ended while the intent was written.
    if (getUsableEpoch() !== plannedEpoch) {
      abandon(secured);
      settle(secured.orderId);
      return;
    }
    await deliverOrder(secured, plannedEpoch);
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
      isWaiting = false;
      const epoch = lease.getEpoch(clock.getNowMs());
      if (epoch === undefined || epoch === staleEpoch) return false;
      const intents = getIntents();
      const {generation} = status;
      // Without tokens, a restarted engine lets used-up ids in again.
      const mayOutliveRestart =
        intents !== undefined && reserve.listInherited().length === 0;
      const isAdopted =
        intents === undefined ||
        (adoptedEpoch === epoch && reserve.isAdopted(epoch));
      const isTakenOver =
        isAdopted &&
        getUsableEpoch() !== undefined &&
        (mayOutliveRestart || takeover?.generation === generation);
      if (isTakenOver) return true;
      takeover = undefined;
      if (intents !== undefined && !isAdopted) {
        // The report at hand may be older than what a predecessor settled.
        isWaiting = await adoptIntents(intents, epoch);
        if (isWaiting) adoptedEpoch = epoch;
        return false;
      }
      // The next report may be so too, because reports lag.
      const [state, isSpent] = await Promise.all([
        fence.raise(epoch, status, isFencing()),
        intents === undefined ||
          spender.ensureUsed(reserve.listInherited(), status, epoch),
      ]);
      if (state === FenceState.Stale) markStale(epoch);
      isWaiting = state !== FenceState.Stale;
      if (state !== FenceState.Raised || !isSpent) return false;
      isWaiting = false;
      takeover = {epoch, generation, isFencing: isFencing()};
      return getUsableEpoch() !== undefined;
    },
    isTakingOver: () => isWaiting,
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
    getRetryAtMs: content => retries.get(formatContent(content))?.retryMs ?? 0,
  };
}
