/**
 * Chooses the gateway that sends orders to upstreams, the order leader. The
 * lease in the store is written only when its holder changes, each time with a
 * higher fencing token, and when the holder releases it. Whether the holder is
 * running is known from the states on the links, which needs no store calls.
 * After the store was restored from an older copy, the holder writes the lease
 * again under a token of the new era; a lease of the copy is not trusted.
 */
import {
  StoreFailureCode,
  createDirectoryWatcher,
  createObjectDirectory,
} from '@siskinplank/directory';
import type {SharedObjectStore, StoreHealth} from '@siskinplank/directory';
import type {Clock, Logger} from '@siskinplank/foundation';
import {
  ORDER_TERM_ENDED,
  ORDER_TERM_RENEWED,
  ORDER_TERM_STARTED,
  ORDER_LEASE_WRITE_FAILED,
} from './events';
import {computeNextToken, getTokenEra} from './fencing-token';
import {ORDER_LEASES_KIND, ORDER_LEASE_NAME, decodeOrderLease} from './records';
import {planTakeover} from './takeover';
import type {TakeoverInput, TakeoverPlan} from './takeover';
import type {OrderLease} from './types';

/** What `createOrderLeadership` needs. */
export interface OrderLeadershipOptions {
  objects: SharedObjectStore;
  ownName: string;
  ownIncarnation: string;
  watchWaitMs: number;
  retryDelayMs: number;
  storeHealth?: StoreHealth;
  /** Time after the last order of a holder before the next may send one. */
  leaseMs: number;
  clock: Clock;
  logger: Logger;
  /** Returns what is known of the other gateways. */
  describePeers(
    holder: string | undefined,
    nowMs: number,
  ): Pick<TakeoverInput, 'candidates' | 'holderLastSeenAtMs' | 'isLeaving'> & {
    /** Incarnation now running under the holder's name, if known. */
    holderIncarnation: string | undefined;
  };
}

/** A period in which this gateway is the order leader. */
export interface OrderTerm {
  token: number;
  /** Token at the start of the term; a restored store causes a higher one. */
  firstToken: number;
  /** No orders are sent before this time. */
  pausedUntilMs: number;
}

/** Order lease and leadership, as seen by this gateway. */
export interface OrderLeadership {
  start(): void;
  stop(): void;
  /** Takes over the order lease when allowed; called several times per second. */
  tick(nowMs: number): void;
  /** Current term; undefined while this gateway is not the leader. */
  getTerm(): OrderTerm | undefined;
  /** Highest fencing token received from the store, peers or upstreams. */
  getHighestToken(): number;
  /** Records that a peer reports to be the order leader under a token. */
  observeHolder(name: string, incarnation: string, token: number): void;
  /** Delays orders until `untilMs`, after the process itself was paused. */
  pauseOrders(untilMs: number): void;
  /** Records a fencing token of a peer or upstream; ends an older term. */
  observeToken(token: number): void;
  /** Releases the lease, so that another gateway can take over at once. */
  release(): Promise<void>;
}

/**
 * Delay after a store refused or did not acknowledge a write. While a store is
 * down, all gateways wait to write the lease.
 */
const FAILED_WRITE_DELAY_MS = 1_000;
/** Era of a store that was never restored from a copy. */
const FIRST_ERA = 1;

/** Creates the leadership of one gateway; it does nothing before `start`. */
export function createOrderLeadership(
  options: OrderLeadershipOptions,
): OrderLeadership {
  const {objects, ownName, ownIncarnation, clock, logger} = options;
  /** Lease with the highest token; a restored store may have an older one. */
  let lease: OrderLease | undefined;
  let leaseLearnedAtMs = 0;
  /** Since when another process runs under the name of the lease's holder. */
  let endedSinceMs: number | undefined;
  /** Revision of the stored lease; undefined if there is none. */
  let storedRevision: number | undefined;
  /** Revision up to which the stored lease is known. */
  let knownAtRevision: number | undefined;
  let term: OrderTerm | undefined;
  /** Tokens that this gateway tried to renew its term with. */
  const renewalTokens = new Set<number>();
  let highestToken = 0;
  let isWriting = false;
  let isStopped = false;
  let listeningSinceMs = 0;
  let nextAttemptAtMs = 0;
  let failedUntilMs = 0;

  const endTerm = (reason: string): void => {
    if (term === undefined) return;
    logger.log(ORDER_TERM_ENDED, {token: term.token, highestToken, reason});
    term = undefined;
  };

  const observeToken = (token: number): void => {
    highestToken = Math.max(highestToken, token);
    if (term === undefined || token <= term.token) return;
    // Peers may know of a renewal before its acknowledgement arrives.
    if (!renewalTokens.has(token)) endTerm('a higher token is in use');
  };

  const isOfTokenEra = (token: number, revision: number): boolean =>
    objects.getRevisionEra(revision) === getTokenEra(token);

  /** Goes on with a term under the token of a new era. */
  const renewTerm = (token: number): void => {
    if (term === undefined) return;
    logger.log(ORDER_TERM_RENEWED, {token, former: term.token});
    term = {...term, token};
    renewalTokens.clear();
  };

  const noteLease = (next: OrderLease): void => {
    if (next.incarnation !== ownIncarnation) renewalTokens.delete(next.token);
    const isNewer =
      lease === undefined ||
      next.token > lease.token ||
      (next.token === lease.token && !lease.isReleased);
    if (isNewer) {
      lease = next;
      leaseLearnedAtMs = clock.getNowMs();
    }
    observeToken(next.token);
  };

  const updateLease = (
    stored: {lease: OrderLease; revision: number} | undefined,
    asOfRevision: number,
  ): void => {
    if (asOfRevision < (knownAtRevision ?? 0)) return;
    knownAtRevision = asOfRevision;
    storedRevision = stored?.revision;
    if (stored === undefined) return;
    const {incarnation, token} = stored.lease;
    const isRenewed =
      term !== undefined &&
      incarnation === ownIncarnation &&
      token > term.token &&
      token >= highestToken &&
      isOfTokenEra(token, stored.revision);
    if (isRenewed) renewTerm(token);
    noteLease(stored.lease);
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
    getBatchDelayMs: () => 0,
    storeHealth: options.storeHealth,
    clock,
    logger,
    onList: (items, _nowMs, revision) =>
      updateLease(items.get(ORDER_LEASE_NAME), revision),
    onChange: (name, item, _nowMs, revision) => {
      if (name === ORDER_LEASE_NAME) updateLease(item, revision);
    },
    onBatchEnd: () => undefined,
  });

  /** Whether the lease is stored, in the era that its token names. */
  const writeLease = async (next: OrderLease): Promise<boolean> => {
    const written =
      storedRevision === undefined
        ? await objects.createObject(ORDER_LEASES_KIND, ORDER_LEASE_NAME, next)
        : await objects.replaceObject(
            ORDER_LEASES_KIND,
            ORDER_LEASE_NAME,
            next,
            storedRevision,
          );
    return written.caseOf({
      Right: ({revision}) => {
        updateLease({lease: next, revision}, revision);
        return isOfTokenEra(next.token, revision);
      },
      Left: failure => {
        logger.log(ORDER_LEASE_WRITE_FAILED, {
          code: failure.code,
          reason: failure.reason,
          token: next.token,
        });
        if (failure.code !== StoreFailureCode.Conflict) {
          failedUntilMs = clock.getNowMs() + FAILED_WRITE_DELAY_MS;
        }
        const current = failure.current;
        if (current === undefined) return false;
        const decoded = decodeOrderLease(current).toMaybe().extract();
        if (decoded === undefined) {
          // The next attempt replaces what another writer left.
          storedRevision = current.revision;
          return false;
        }
        updateLease(decoded, decoded.revision);
        // An earlier write succeeded, but its response was lost.
        return (
          failure.code === StoreFailureCode.Conflict &&
          decoded.lease.incarnation === ownIncarnation &&
          decoded.lease.token === next.token &&
          isOfTokenEra(next.token, decoded.revision)
        );
      },
    });
  };

  const writeOwnLease = (token: number): Promise<boolean> =>
    writeLease({
      holder: ownName,
      incarnation: ownIncarnation,
      token,
      isReleased: false,
    });

  /** Writes the lease again; its acknowledgement renews the term. */
  const renewLease = async (): Promise<void> => {
    const token = computeNextToken(highestToken, objects.getEra());
    renewalTokens.add(token);
    await writeOwnLease(token);
    nextAttemptAtMs = clock.getNowMs() + options.retryDelayMs;
  };

  const takeOver = async (plan: TakeoverPlan): Promise<void> => {
    const token = computeNextToken(highestToken, objects.getEra());
    const former = lease;
    const isWritten = await writeOwnLease(token);
    const nowMs = clock.getNowMs();
    nextAttemptAtMs = nowMs + options.retryDelayMs;
    if (!isWritten || isStopped || highestToken > token) return;
    const pausedUntilMs =
      plan.lastOrderAtMs === undefined
        ? nowMs
        : plan.lastOrderAtMs + options.leaseMs;
    renewalTokens.clear();
    term = {token, firstToken: token, pausedUntilMs};
    logger.log(ORDER_TERM_STARTED, {
      token,
      reason: plan.reason,
      former: former?.holder,
      quietMs: Math.max(0, Math.round(pausedUntilMs - nowMs)),
    });
  };

  /** Whether the lease was read in the current era of the store. */
  const isLeaseKnown = (): boolean =>
    knownAtRevision !== undefined &&
    objects.getRevisionEra(knownAtRevision) === objects.getEra();

  const startWrite = (write: Promise<void>): void => {
    isWriting = true;
    void write.finally(() => {
      isWriting = false;
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
      if (isWriting || isStopped) return;
      if (nowMs < Math.max(nextAttemptAtMs, failedUntilMs)) return;
      if (term !== undefined) {
        const isOutdated = getTokenEra(term.token) < objects.getEra();
        if (isOutdated && isLeaseKnown()) startWrite(renewLease());
        return;
      }
      const {holderIncarnation, ...peers} = options.describePeers(
        lease?.holder,
        nowMs,
      );
      const hasEnded =
        holderIncarnation !== undefined &&
        holderIncarnation !== lease?.incarnation;
      endedSinceMs = hasEnded ? (endedSinceMs ?? nowMs) : undefined;
      const plan = planTakeover({
        lease,
        leaseLearnedAtMs,
        endedSinceMs,
        isLeaseKnown: isLeaseKnown(),
        isStoreRestored: objects.getEra() > FIRST_ERA,
        ownName,
        listeningSinceMs,
        nowMs,
        ...peers,
      });
      if (plan !== undefined) startWrite(takeOver(plan));
    },
    getTerm: () => term,
    getHighestToken: () => highestToken,
    observeHolder: (name, incarnation, token) => {
      if (token <= (lease?.token ?? 0)) return;
      noteLease({holder: name, incarnation, token, isReleased: false});
    },
    pauseOrders: untilMs => {
      if (term === undefined) return;
      term = {...term, pausedUntilMs: Math.max(term.pausedUntilMs, untilMs)};
    },
    observeToken,
    release: async () => {
      const endedTerm = term;
      endTerm('this gateway stops');
      isStopped = true;
      if (endedTerm === undefined || lease === undefined) return;
      await writeLease({...lease, isReleased: true});
    },
  };
}
