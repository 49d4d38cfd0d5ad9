/**
 * Which gateway gives orders to upstreams. The lease in the store is written
 * only when its holder changes, each time with a higher fencing token; that the
 * holder lives is seen on the links, which costs no calls.
 */
import {
  StoreFailureCode,
  createDirectoryWatcher,
  createObjectDirectory,
} from '@siskinplank/directory';
import type {SharedObjects} from '@siskinplank/directory';
import type {Clock, Logger} from '@siskinplank/foundation';
import {
  ORDER_TERM_ENDED,
  ORDER_TERM_STARTED,
  ORDER_LEASE_WRITE_FAILED,
} from './events';
import {ORDER_LEASES_KIND, ORDER_LEASE_NAME, decodeOrderLease} from './records';
import {planTakeover} from './takeover';
import type {TakeoverInput, TakeoverPlan} from './takeover';
import type {OrderLease} from './types';

/** What `createOrderLeadership` needs. */
export interface OrderLeadershipOptions {
  objects: SharedObjects;
  ownName: string;
  ownIncarnation: string;
  watchWaitMs: number;
  retryDelayMs: number;
  /** Time within which two holders must not order the same upstream. */
  leaseMs: number;
  clock: Clock;
  logger: Logger;
  /** What is known of the other gateways. */
  describePeers(
    holder: string | undefined,
    nowMs: number,
  ): Pick<
    TakeoverInput,
    'candidates' | 'holderIncarnation' | 'holderLastSeenAtMs' | 'isLeaving'
  >;
}

/** A period in which this gateway gives orders. */
export interface OrderTerm {
  token: number;
  /** No orders are given before this time. */
  pausedUntilMs: number;
}

/** The lease of the orders as this gateway sees it. */
export interface OrderLeadership {
  start(): void;
  stop(): void;
  /** Takes over if it is time; to be called several times a second. */
  tick(nowMs: number): void;
  /** The running term; undefined while another gateway orders. */
  getTerm(): OrderTerm | undefined;
  /** Highest token seen anywhere. */
  getHighestToken(): number;
  getHolder(): string | undefined;
  /** Gives no orders until `untilMs`: the process was paused. */
  pauseOrders(untilMs: number): void;
  /** Notes a token that a peer or an upstream named; ends an older term. */
  observeToken(token: number): void;
  /** Gives the orders up, so that another gateway need not wait. */
  release(): Promise<void>;
}

interface KnownLease {
  lease: OrderLease;
  revision: number;
}

/** Creates the leadership of one gateway; it holds nothing before `start`. */
export function createOrderLeadership(
  options: OrderLeadershipOptions,
): OrderLeadership {
  const {objects, ownName, ownIncarnation, clock, logger} = options;
  let known: KnownLease | undefined;
  let isLeaseKnown = false;
  let term: OrderTerm | undefined;
  let highestToken = 0;
  let isWriting = false;
  let isStopped = false;
  let listeningSinceMs = 0;
  let nextTryAtMs = 0;

  const endTerm = (reason: string): void => {
    if (term === undefined) return;
    logger.log(ORDER_TERM_ENDED, {token: term.token, highestToken, reason});
    term = undefined;
  };

  const noteToken = (token: number): void => {
    highestToken = Math.max(highestToken, token);
    if (term !== undefined && highestToken > term.token) {
      endTerm('a higher token is in use');
    }
  };

  const noteLease = (next: KnownLease | undefined): void => {
    isLeaseKnown = true;
    if (next !== undefined && known !== undefined) {
      if (next.revision < known.revision) return;
    }
    known = next;
    if (next !== undefined) noteToken(next.lease.token);
  };

  const watcher = createDirectoryWatcher({
    name: 'order-lease',
    directory: createObjectDirectory(
      objects,
      ORDER_LEASES_KIND,
      decodeOrderLease,
    ),
    watchWaitMs: options.watchWaitMs,
    retryDelayMs: options.retryDelayMs,
    settleDelayMs: 0,
    clock,
    logger,
    onList: items => noteLease(items.get(ORDER_LEASE_NAME)),
    onChange: (name, item) => {
      if (name === ORDER_LEASE_NAME) noteLease(item);
    },
    onSettled: () => undefined,
  });

  const writeLease = async (lease: OrderLease): Promise<boolean> => {
    const written =
      known === undefined
        ? await objects.createObject(ORDER_LEASES_KIND, ORDER_LEASE_NAME, lease)
        : await objects.replaceObject(
            ORDER_LEASES_KIND,
            ORDER_LEASE_NAME,
            lease,
            known.revision,
          );
    return written.caseOf({
      Right: object => {
        noteLease({lease, revision: object.revision});
        return true;
      },
      Left: failure => {
        logger.log(ORDER_LEASE_WRITE_FAILED, {
          code: failure.code,
          reason: failure.reason,
          token: lease.token,
        });
        const current = failure.current;
        if (current === undefined) return false;
        const decoded = decodeOrderLease(current).toMaybe().extract();
        if (decoded !== undefined) noteLease(decoded);
        // The answer to the write before was lost, and it had been done.
        return (
          failure.code === StoreFailureCode.Conflict &&
          decoded?.lease.incarnation === ownIncarnation &&
          decoded.lease.token === lease.token
        );
      },
    });
  };

  const takeOver = async (plan: TakeoverPlan): Promise<void> => {
    const token = highestToken + 1;
    const former = known?.lease;
    const isWritten = await writeLease({
      holder: ownName,
      incarnation: ownIncarnation,
      token,
      isReleased: false,
    });
    const nowMs = clock.getNowMs();
    nextTryAtMs = nowMs + options.retryDelayMs;
    if (!isWritten || isStopped || highestToken > token) return;
    const quietUntilMs =
      plan.lastOrderAtMs === undefined
        ? nowMs
        : plan.lastOrderAtMs + options.leaseMs;
    term = {token, pausedUntilMs: quietUntilMs};
    logger.log(ORDER_TERM_STARTED, {
      token,
      reason: plan.reason,
      former: former?.holder,
      quietMs: Math.max(0, Math.round(quietUntilMs - nowMs)),
    });
  };

  return {
    start: () => {
      listeningSinceMs = clock.getNowMs();
      watcher.start();
    },
    stop: () => {
      isStopped = true;
      watcher.stop();
    },
    tick: nowMs => {
      if (isWriting || isStopped || term !== undefined) return;
      if (nowMs < nextTryAtMs) return;
      const plan = planTakeover({
        lease: known?.lease,
        isLeaseKnown,
        ownName,
        listeningSinceMs,
        nowMs,
        ...options.describePeers(known?.lease.holder, nowMs),
      });
      if (plan === undefined) return;
      isWriting = true;
      void takeOver(plan).finally(() => {
        isWriting = false;
      });
    },
    getTerm: () => term,
    getHighestToken: () => highestToken,
    getHolder: () => known?.lease.holder,
    pauseOrders: untilMs => {
      if (term === undefined) return;
      term = {...term, pausedUntilMs: Math.max(term.pausedUntilMs, untilMs)};
    },
    observeToken: noteToken,
    release: async () => {
      const held = term;
      endTerm('this gateway stops');
      isStopped = true;
      if (held === undefined || known === undefined) return;
      await writeLease({...known.lease, isReleased: true});
    },
  };
}
