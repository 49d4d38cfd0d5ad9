/** Sends one order at a time to each upstream, with retries. */
import type {Clock, Logger} from '@siskinplank/foundation';
import {
  OrderOperation,
  OrderOutcome,
  ReportFailureCode,
} from '@siskinplank/serving';
import type {
  ReportFailure,
  Upstream,
  UpstreamControl,
} from '@siskinplank/serving';
import {ORDER_ENDED} from './events';
import {REPORT_LAG_MS} from './upstream-inventory';
import type {UpstreamInventory} from './upstream-inventory';

/** What `createOrderSender` needs. */
export interface OrderSenderOptions {
  control: UpstreamControl;
  clock: Clock;
  logger: Logger;
  /** Name of this host, sent with each order. */
  holder: string;
  /** Fencing token while this gateway may send orders, else undefined. */
  getToken(nowMs: number): number | undefined;
  /** Whether the upstream may still be used. */
  isCurrent(inventory: UpstreamInventory): boolean;
  /** Called when an upstream has seen a higher fencing token. */
  onFenced(): void;
  /** Called when another upstream has the address of this one. */
  onEnded(upstream: Upstream): void;
}

/** An order without its sequence number and token. */
export interface OrderRequest {
  operation: OrderOperation;
  model: string;
  adapter: string | undefined;
  /** Longest time to retry unanswered or while busy, in milliseconds. */
  maxWaitMs: number;
  /** Whether an earlier order of this sender may still be running. */
  mayBeBusy: boolean;
}

/** Sends orders and reads reports. */
export interface OrderSender {
  /** Resolves to whether the order was carried out or accepted. */
  send(inventory: UpstreamInventory, request: OrderRequest): Promise<boolean>;
  /** Reads a report into the inventory; resolves to why it failed, if it did. */
  refresh(inventory: UpstreamInventory): Promise<ReportFailure | undefined>;
}

/** Delay before the first retry of an order; doubles with each retry. */
const RETRY_DELAY_MS = 60;
/**
 * Time after which report lag cannot explain a conflict with an upstream that
 * does not report to be busy.
 */
const CONFLICT_MAX_RETRY_MS = 2 * REPORT_LAG_MS;
/** Delay between attempts at an upstream that runs another order. */
const BUSY_DELAY_MS = 80;

/** Creates a sender. */
export function createOrderSender(options: OrderSenderOptions): OrderSender {
  const {control, clock, logger} = options;
  /** Last order to each upstream; the next one waits for its end. */
  const lastOrders = new WeakMap<UpstreamInventory, Promise<unknown>>();

  const refresh: OrderSender['refresh'] = async inventory => {
    const requestedAtMs = clock.getNowMs();
    const read = await control.readReport(inventory.upstream);
    read.caseOf({
      Left: ({code}) => {
        const isConnected = code !== ReportFailureCode.NotConnected;
        if (code === ReportFailureCode.Unreadable) inventory.recordAnswered();
        else inventory.recordUnanswered(requestedAtMs, isConnected);
        if (code === ReportFailureCode.OtherUpstream)
          options.onEnded(inventory.upstream);
      },
      Right: report => {
        inventory.recordAnswered();
        inventory.applyReport(report, requestedAtMs);
      },
    });
    return read.swap().toMaybe().extract();
  };

  /**
   * Returns the number of accepted orders; if unknown, reads it from a report
   * that is newer than the last order.
   */
  const ensureSequence = async (
    inventory: UpstreamInventory,
  ): Promise<number | undefined> => {
    if (inventory.orderSequence !== undefined) return inventory.orderSequence;
    const waitMs = inventory.lastOrderAtMs + REPORT_LAG_MS - clock.getNowMs();
    if (waitMs > 0) await clock.waitMs(waitMs);
    const read = await control.readReport(inventory.upstream);
    read.ifRight(report => {
      inventory.orderSequence = report.orderSequence;
    });
    return inventory.orderSequence;
  };

  const sendOnce = async (
    inventory: UpstreamInventory,
    request: OrderRequest,
  ): Promise<OrderOutcome | undefined> => {
    const sequence = await ensureSequence(inventory);
    const token = options.getToken(clock.getNowMs());
    if (sequence === undefined || token === undefined) return undefined;
    if (!options.isCurrent(inventory)) return undefined;
    const sentAtMs = clock.getNowMs();
    inventory.lastOrderAtMs = sentAtMs;
    const outcome = await control.sendOrder(inventory.upstream, {
      operation: request.operation,
      model: request.model,
      adapter: request.adapter,
      expectedSequence: sequence,
      holder: options.holder,
      token,
    });
    inventory.lastOrderAtMs = clock.getNowMs();
    if (outcome === OrderOutcome.NoAnswer)
      inventory.recordUnanswered(sentAtMs, true);
    else inventory.recordAnswered();
    logger.log(ORDER_ENDED, {
      upstream: inventory.upstream.id,
      operation: request.operation,
      model: request.model,
      adapter: request.adapter,
      sequence,
      token,
      outcome,
      tookMs: Math.round(clock.getNowMs() - sentAtMs),
    });
    return outcome;
  };

  /** Requires a report newer than all orders before the next order. */
  const markUnconfirmed = (inventory: UpstreamInventory): void => {
    inventory.isConfirmed = false;
    inventory.orderSequence = undefined;
    inventory.lastOrderAtMs = clock.getNowMs();
  };

  const sendWithRetries = async (
    inventory: UpstreamInventory,
    request: OrderRequest,
  ): Promise<boolean> => {
    const startedAtMs = clock.getNowMs();
    let retryDelayMs = RETRY_DELAY_MS;
    let delayMs = 0;
    do {
      if (delayMs > 0) await clock.waitMs(delayMs);
      const outcome = await sendOnce(inventory, request);
      switch (outcome) {
        case OrderOutcome.Accepted:
        case OrderOutcome.Done:
          inventory.orderSequence = (inventory.orderSequence ?? 0) + 1;
          return true;
        case OrderOutcome.Fenced:
          options.onFenced();
          return false;
        case OrderOutcome.Conflict: {
          // An earlier order is running, or another gateway sent an order.
          const elapsedMs = clock.getNowMs() - startedAtMs;
          const read = await control.readReport(inventory.upstream);
          const isBusy = read
            .map(report => report.isChangingModel)
            .orDefault(false);
          const isTransient = isBusy || elapsedMs < CONFLICT_MAX_RETRY_MS;
          if (!request.mayBeBusy || !isTransient) {
            markUnconfirmed(inventory);
            return false;
          }
          delayMs = BUSY_DELAY_MS;
          break;
        }
        case OrderOutcome.NoAnswer:
          // Safe to retry: an upstream accepts each sequence number only once.
          delayMs = retryDelayMs;
          retryDelayMs *= 2;
          break;
        case OrderOutcome.Refused:
          if (request.adapter === undefined)
            inventory.recordRefused(clock.getNowMs());
          markUnconfirmed(inventory);
          return false;
        default:
          markUnconfirmed(inventory);
          return false;
      }
    } while (clock.getNowMs() + delayMs < startedAtMs + request.maxWaitMs);
    markUnconfirmed(inventory);
    return false;
  };

  return {
    send: (inventory, request) => {
      const previous = lastOrders.get(inventory) ?? Promise.resolve();
      const sent = previous.then(() => sendWithRetries(inventory, request));
      lastOrders.set(inventory, sent);
      return sent;
    },
    refresh,
  };
}
