/** Sends and dispatches the lending messages between entry processes. */
import type {Clock, Logger} from '@siskinplank/foundation';
import {MessageType} from '@siskinplank/messages';
import type {Message, MessageOf} from '@siskinplank/messages';
import type {Member} from '@siskinplank/messages';
import type {Link, PeerIdentity, PeerNetwork} from '@siskinplank/transport';
import {GRANT_IDLE_MS, LENDING_RETRY_MS, LENDING_TICK_MS} from './constants';
import type {Coordinator} from './coordinator';
import {LIMIT_EVENTS} from './events';
import type {Lender} from './lender';
import type {ReservationManager} from './reservation-manager';

/** Dependencies of a lending messenger. */
export interface LendingMessengerOptions {
  identity: PeerIdentity;
  network: PeerNetwork;
  clock: Clock;
  logger: Logger;
  grantMs: number;
  lender: Lender;
  reservationManager: ReservationManager;
  coordinator: Coordinator;
  /** Called when another process reports that it freed share units. */
  onUnitsFreed: (nowMs: number) => void;
  getMember: (name: string) => Member | undefined;
  findCoordinator: (account: string, nowMs: number) => string | undefined;
}

/** Sends and receives lending messages; local ones skip the network. */
export interface LendingMessenger {
  /** Name and incarnation of the account's coordinator, when reachable. */
  findCoordinator(account: string, nowMs: number): string | undefined;
  start(): void;
  stop(): void;
  sendTo(host: string, message: Message): boolean;
  requestGrant(
    requestId: string,
    account: string,
    neededTokens: number,
    wantedTokens: number,
    nowMs: number,
  ): void;
  /** Returns all unspent grants to their coordinators. */
  returnGrants(nowMs: number): void;
}

const makePeerKey = (peer: {name: string; incarnation: string}): string =>
  `${peer.name}/${peer.incarnation}`;

/** Creates the lending messenger of one process. */
export function createLendingMessenger(
  options: LendingMessengerOptions,
): LendingMessenger {
  const {identity, network, clock, logger, lender, reservationManager} =
    options;
  const {coordinator} = options;
  const pending = new Map<string, {account: string; sentMs: number}>();
  const unreachableHosts = new Set<string>();
  const stops: Array<() => void> = [];

  const findLink = (host: string): Link | undefined => {
    const member = options.getMember(host);
    if (member === undefined) return undefined;
    const address = {host: member.host, port: member.port};
    const link = network.getLink(address);
    if (link === undefined) network.connect(address);
    return link?.isOpen() ? link : undefined;
  };

  const handleGrant = (
    key: string,
    message: MessageOf<MessageType.Grant>,
  ): void => {
    const request = pending.get(message.requestId);
    if (request === undefined) return;
    pending.delete(message.requestId);
    const nowMs = clock.getNowMs();
    const {requestId, outcome, tokens, retryAfterMs} = message;
    const endMs = request.sentMs + message.durationMs;
    reservationManager.applyGrant(
      request.account,
      {requestId, coordinator: key, outcome, tokens, endMs, retryAfterMs},
      nowMs,
    );
  };

  /** Handles a message of `peer`; `reply` sends a message back. */
  const handleMessage = (
    peer: PeerIdentity,
    message: Message,
    reply: (answer: Message) => void,
  ): void => {
    const nowMs = clock.getNowMs();
    const key = makePeerKey(peer);
    switch (message.type) {
      case MessageType.LendRequest: {
        const {requestId, bucket, durationMs, appliedRequestId} = message;
        const lent = lender.lendUnits(
          bucket,
          key,
          requestId,
          durationMs,
          nowMs,
          appliedRequestId,
        );
        reply({type: MessageType.Loan, requestId, bucket, ...lent});
        return;
      }
      case MessageType.Loan:
        coordinator.handleLoan(peer.name, peer.incarnation, message, nowMs);
        return;
      case MessageType.LoanReturn:
        lender.returnUnits(
          message.bucket,
          key,
          message.requestId,
          message.returnedTokens,
          nowMs,
        );
        reservationManager.serveAllWaiters(nowMs);
        return;
      case MessageType.UnitsFreed:
        options.onUnitsFreed(nowMs);
        return;
      case MessageType.GrantRequest:
        coordinator.handleGrantRequest(key, message, reply, nowMs);
        return;
      case MessageType.Grant:
        handleGrant(key, message);
        return;
      case MessageType.GrantReturn:
        coordinator.handleGrantReturn(key, message, nowMs);
        return;
      default:
    }
  };

  const deliverLocally = (message: Message): void =>
    handleMessage(identity, message, deliverLocally);

  const sendTo = (host: string, message: Message): boolean => {
    if (host === identity.name) {
      deliverLocally(message);
      return true;
    }
    return findLink(host)?.send(message) ?? false;
  };

  /** Name and incarnation of the process on `host`, when reachable. */
  const findPeerKey = (host: string): string | undefined => {
    if (host === identity.name) return makePeerKey(identity);
    const link = findLink(host);
    return link === undefined ? undefined : makePeerKey(link.peer);
  };

  const sendReports = (account: string): void => {
    const grants = reservationManager.getGrants(account);
    if (grants === undefined) return;
    for (const key of grants.listUnreportedCoordinators()) {
      const [host] = key.split('/');
      const reports = grants.takeReports(key);
      // A coordinator that has ended needs no report: its grants end with its
      // loans.
      if (findPeerKey(host) !== key) continue;
      sendTo(host, {type: MessageType.GrantReturn, account, reports});
    }
  };

  const tick = (): void => {
    const nowMs = clock.getNowMs();
    for (const [requestId, request] of pending) {
      if (nowMs - request.sentMs > options.grantMs) pending.delete(requestId);
    }
    coordinator.tick(nowMs);
    for (const account of reservationManager.listAccounts()) {
      if (nowMs - reservationManager.getLastSpendMs(account) >= GRANT_IDLE_MS) {
        reservationManager.getGrants(account)?.returnAllGrants(nowMs);
      }
      sendReports(account);
    }
  };

  /**
   * Returns unspent grants to processes that no longer coordinate the account.
   * They return their loans to the lenders only after all grants are settled.
   */
  const returnToFormerCoordinators = (account: string, nowMs: number): void => {
    const grants = reservationManager.getGrants(account);
    const current = options.findCoordinator(account, nowMs);
    if (grants === undefined || current === undefined) return;
    const formerKeys = [...grants.listCoordinators(nowMs)].filter(key => {
      const [host] = key.split('/');
      return host !== current && findPeerKey(host) === key;
    });
    if (formerKeys.length === 0) return;
    for (const key of formerKeys) grants.returnGrantsTo(key, nowMs);
    sendReports(account);
  };

  const handleCoordinatorChanges = (): void => {
    const nowMs = clock.getNowMs();
    for (const account of reservationManager.listAccounts()) {
      returnToFormerCoordinators(account, nowMs);
    }
    reservationManager.retryRequests(nowMs);
  };

  const updateReachability = (host: string, isReached: boolean): void => {
    if (isReached) {
      unreachableHosts.delete(host);
    } else if (!unreachableHosts.has(host)) {
      unreachableHosts.add(host);
      logger.log(LIMIT_EVENTS.coordinatorUnreachable, {host});
    }
  };

  return {
    start: () => {
      const unsubscribe = network.subscribe(
        [
          MessageType.LendRequest,
          MessageType.Loan,
          MessageType.LoanReturn,
          MessageType.UnitsFreed,
          MessageType.GrantRequest,
          MessageType.Grant,
          MessageType.GrantReturn,
        ],
        (link, message) =>
          handleMessage(link.peer, message, answer => void link.send(answer)),
      );
      const timer = clock.startInterval(LENDING_TICK_MS, tick);
      const retryTimer = clock.startInterval(
        LENDING_RETRY_MS,
        handleCoordinatorChanges,
      );
      stops.push(
        unsubscribe,
        () => timer.cancel(),
        () => retryTimer.cancel(),
      );
    },
    stop: () => {
      for (const stop of stops.splice(0)) stop();
    },
    findCoordinator: (account, nowMs) => {
      const host = options.findCoordinator(account, nowMs);
      return host === undefined ? undefined : findPeerKey(host);
    },
    sendTo,
    requestGrant: (requestId, account, neededTokens, wantedTokens, nowMs) => {
      const host = options.findCoordinator(account, nowMs);
      if (host === undefined) return;
      const key = findPeerKey(host);
      updateReachability(host, key !== undefined);
      if (key === undefined) return;
      const reports =
        reservationManager.getGrants(account)?.takeReports(key) ?? [];
      pending.set(requestId, {account, sentMs: nowMs});
      sendTo(host, {
        type: MessageType.GrantRequest,
        requestId,
        account,
        neededTokens,
        wantedTokens,
        reports,
      });
    },
    returnGrants: nowMs => {
      for (const account of reservationManager.listAccounts()) {
        reservationManager.getGrants(account)?.returnAllGrants(nowMs);
        sendReports(account);
      }
    },
  };
}
