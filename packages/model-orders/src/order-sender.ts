/** Sends one order at a time to each upstream and settles what became of it. */
import type {Clock, Logger} from '@siskinplank/foundation';
import {OrderOperation, OrderOutcome} from '@siskinplank/serving';
import type {UpstreamControl} from '@siskinplank/serving';
import {ORDER_ENDED} from './events';
import {REPORT_LAG_MS} from './upstream-inventory';
import type {UpstreamInventory} from './upstream-inventory';

/** What `createOrderSender` needs. */
export interface OrderSenderOptions {
  control: UpstreamControl;
  clock: Clock;
  logger: Logger;
  /** Name of this host; the holder that orders bear. */
  holder: string;
  /** Fencing token while orders may be given, else undefined. */
  getToken(nowMs: number): number | undefined;
  /** Called when an upstream knows a higher token. */
  onFenced(): void;
}

/** An order without its sequence and token. */
export interface OrderRequest {
  operation: OrderOperation;
  model: string;
  adapter: string | undefined;
  /** Longest time to go on without an answer or while busy, in milliseconds. */
  maxWaitMs: number;
  /** Whether an own order may still keep the upstream busy. */
  mayBeBusy: boolean;
}

/** Sends orders. */
export interface OrderSender {
  /** Whether the order took effect or is being carried out. */
  send(ledger: UpstreamInventory, request: OrderRequest): Promise<boolean>;
  /** Reads a report; false when there is none. */
  refresh(ledger: UpstreamInventory): Promise<boolean>;
}

/** First pause before an order is repeated; it doubles from time to time. */
const REPEAT_DELAY_MS = 60;
/** Conflicts without a busy report for longer than this are no matter of lag. */
const CONFLICT_PATIENCE_MS = 2 * REPORT_LAG_MS;
/** Pause between looks at an upstream that carries out another order. */
const BUSY_DELAY_MS = 80;

/** Creates a sender. */
export function createOrderSender(options: OrderSenderOptions): OrderSender {
  const {control, clock, logger} = options;
  /** Last order of each upstream, to send them one after the other. */
  const chains = new WeakMap<UpstreamInventory, Promise<unknown>>();

  const refresh = async (ledger: UpstreamInventory): Promise<boolean> => {
    const askedAtMs = clock.getNowMs();
    const read = await control.readReport(ledger.upstream);
    read.ifRight(report => ledger.applyReport(report, askedAtMs));
    return read.isRight();
  };

  /** Learns the number of accepted orders once no report can be older. */
  const learnSequence = async (
    ledger: UpstreamInventory,
  ): Promise<number | undefined> => {
    if (ledger.orderSequence !== undefined) return ledger.orderSequence;
    const waitMs = ledger.lastOrderAtMs + REPORT_LAG_MS - clock.getNowMs();
    if (waitMs > 0) await clock.waitMs(waitMs);
    const read = await control.readReport(ledger.upstream);
    read.ifRight(report => {
      ledger.orderSequence = report.orderSequence;
    });
    return ledger.orderSequence;
  };

  const sendOnce = async (
    ledger: UpstreamInventory,
    request: OrderRequest,
  ): Promise<OrderOutcome | undefined> => {
    const sequence = await learnSequence(ledger);
    const token = options.getToken(clock.getNowMs());
    if (sequence === undefined || token === undefined) return undefined;
    const sentAtMs = clock.getNowMs();
    ledger.lastOrderAtMs = sentAtMs;
    const outcome = await control.sendOrder(ledger.upstream, {
      operation: request.operation,
      model: request.model,
      adapter: request.adapter,
      expectedSequence: sequence,
      holder: options.holder,
      token,
    });
    ledger.lastOrderAtMs = clock.getNowMs();
    logger.log(ORDER_ENDED, {
      upstream: ledger.upstream.id,
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

  /** Waits for a report that is younger than all orders. */
  const distrust = (ledger: UpstreamInventory): void => {
    ledger.isConfirmed = false;
    ledger.orderSequence = undefined;
    ledger.lastOrderAtMs = clock.getNowMs();
  };

  const run = async (
    ledger: UpstreamInventory,
    request: OrderRequest,
  ): Promise<boolean> => {
    const startedAtMs = clock.getNowMs();
    let repeatDelayMs = REPEAT_DELAY_MS;
    let delayMs = 0;
    do {
      if (delayMs > 0) await clock.waitMs(delayMs);
      const outcome = await sendOnce(ledger, request);
      switch (outcome) {
        case OrderOutcome.Accepted:
        case OrderOutcome.Done:
          ledger.orderSequence = (ledger.orderSequence ?? 0) + 1;
          return true;
        case OrderOutcome.Fenced:
          options.onFenced();
          return false;
        case OrderOutcome.Conflict: {
          // Busy with an own order, or changed by somebody else's.
          const triedMs = clock.getNowMs() - startedAtMs;
          const read = await control.readReport(ledger.upstream);
          const isBusy = read.map(report => report.isBusy).orDefault(false);
          const mayPass = isBusy || triedMs < CONFLICT_PATIENCE_MS;
          if (!request.mayBeBusy || !mayPass) {
            distrust(ledger);
            return false;
          }
          delayMs = BUSY_DELAY_MS;
          break;
        }
        case OrderOutcome.NoAnswer:
          // The same order with the same sequence takes effect at most once.
          delayMs = repeatDelayMs;
          repeatDelayMs *= 2;
          break;
        default:
          distrust(ledger);
          return false;
      }
    } while (clock.getNowMs() + delayMs < startedAtMs + request.maxWaitMs);
    distrust(ledger);
    return false;
  };

  return {
    send: (ledger, request) => {
      const before = chains.get(ledger) ?? Promise.resolve();
      const sent = before.then(() => run(ledger, request));
      chains.set(ledger, sent);
      return sent;
    },
    refresh,
  };
}
