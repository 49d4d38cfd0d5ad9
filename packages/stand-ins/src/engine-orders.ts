/** Handler of the engine stand-in's orders: fencing and order faults. */
import type {FastifyReply, FastifyRequest} from 'fastify';
import {resetConnection} from './control';
import type {StandInLog} from './control';
import type {EngineState} from './engine-state';
import {orderSchema} from './engine-types';
import type {EngineFaultCommand, EngineOrder} from './engine-types';

/** Handler of `POST /orders`. */
export interface OrderHandler {
  handleOrder(request: FastifyRequest, reply: FastifyReply): unknown;
  applyFault(fault: EngineFaultCommand): void;
  /** Clears the fencing token and the order ids, as a restart does. */
  reset(): void;
}

/** Options of `createOrderHandler`. */
export interface OrderHandlerOptions {
  isFencingChecked: () => boolean;
  dedupsOrders: boolean;
}

/** Creates the handler. */
export function createOrderHandler(
  options: OrderHandlerOptions,
  log: StandInLog,
  getState: () => EngineState,
): OrderHandler {
  const pending = {
    lose: 0,
    dropReplies: 0,
    delay: {count: 0, delayMs: 0},
    duplicate: {count: 0, delayMs: 0},
  };
  const startedIds = new Set<string>();
  let currentFencing = 0;
  /** Starts an order unless one with the same id was started before. */
  const startOrder = (order: EngineOrder): void => {
    const {orderId, type, model, adapter, version} = order;
    if (options.dedupsOrders && startedIds.has(orderId)) {
      log.record('order-repeated', {orderId});
      return;
    }
    startedIds.add(orderId);
    // A log entry's own `type` would replace a field of that name.
    const content = {orderType: type, model, adapter, version};
    log.record('order-started', {orderId, ...content});
    void getState().memory.executeOrder(order);
  };
  /** Delivers an order later, when its fencing token may have become stale. */
  const deliverLater = (order: EngineOrder, delayMs: number): void => {
    const deliver = (): void => {
      const {orderId, fencing} = order;
      const isRejected = fencing < currentFencing && options.isFencingChecked();
      if (isRejected) log.record('late-order-refused', {orderId, fencing});
      else startOrder(order);
    };
    setTimeout(deliver, delayMs).unref();
  };
  const dispatchOrder = (order: EngineOrder): void => {
    if (pending.lose > 0) {
      pending.lose -= 1;
      log.record('order-lost', {orderId: order.orderId});
      return;
    }
    if (pending.delay.count > 0) {
      pending.delay.count -= 1;
      deliverLater(order, pending.delay.delayMs);
      return;
    }
    startOrder(order);
    if (pending.duplicate.count === 0) return;
    pending.duplicate.count -= 1;
    deliverLater(order, pending.duplicate.delayMs);
  };
  return {
    handleOrder: (request, reply) => {
      const parsed = orderSchema.safeParse(request.body);
      if (!parsed.success) {
        return reply.code(400).send({error: parsed.error.message});
      }
      const order = parsed.data;
      const isStale = order.fencing < currentFencing;
      log.record('order', {...order, currentFencing, isStale});
      if (isStale && options.isFencingChecked()) {
        return reply.code(409).send({currentFencing});
      }
      currentFencing = Math.max(currentFencing, order.fencing);
      dispatchOrder(order);
      if (pending.dropReplies > 0) {
        pending.dropReplies -= 1;
        log.record('order-reply-dropped', {orderId: order.orderId});
        return resetConnection(reply);
      }
      return reply.code(202).send({orderId: order.orderId});
    },
    applyFault: fault => {
      pending.lose = fault.loseOrders ?? pending.lose;
      pending.dropReplies = fault.dropOrderReplies ?? pending.dropReplies;
      pending.delay = fault.delayOrders ?? pending.delay;
      pending.duplicate = fault.duplicateOrders ?? pending.duplicate;
    },
    reset: () => {
      startedIds.clear();
      currentFencing = 0;
    },
  };
}
