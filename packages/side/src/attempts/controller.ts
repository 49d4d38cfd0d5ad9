/** Handles the messages of entry processes about attempts. */
import {SpanSide} from '@siskinplank/foundation';
import type {Clock, Logger, Tracing} from '@siskinplank/foundation';
import {AttemptState, MessageType, TargetType} from '@siskinplank/messages';
import type {RequestTarget} from '@siskinplank/messages';
import type {ReceiveBudget} from '@siskinplank/receive-buffers';
import {RefusalCode, RunState} from '@siskinplank/resources';
import type {Link, PeerNetwork} from '@siskinplank/transport';
import * as constants from '../constants';
import * as events from '../events';
import {createResponseStream} from '../handover/response-stream';
import type {FairQueue, QueueItem} from '../queue/types';
import type {AttemptTable} from './table';
import type {Attempt, Refusal, RequestOpen} from './types';

/** Decides whether a new attempt is accepted. */
export interface Admission {
  /** Code with which every new attempt is refused now, if any. */
  getClosedCode(): RefusalCode | undefined;
  /** Whether the upstream can serve the target now or after a load. */
  canServe(target: RequestTarget): boolean;
  /** Another upstream that may serve the target. */
  chooseRedirect(target: RequestTarget): string | undefined;
}

/** Dependencies of the controller. */
export interface ControllerContext {
  network: PeerNetwork;
  clock: Clock;
  logger: Logger;
  tracing: Tracing;
  table: AttemptTable;
  queue: FairQueue;
  admission: Admission;
  receiveBudget: ReceiveBudget;
  /** Called when a request was added to the queue. */
  onQueued(attempt: Attempt): void;
  /** Called when a response was sent in full. */
  onEndSent(link: Link): void;
  onRefused(code: RefusalCode): void;
}

/** Handles attempts from their RequestOpen to their end. */
export interface AttemptController {
  start(): void;
  stop(): void;
  /** Refuses an open attempt and records it as finished. */
  refuse(attempt: Attempt, refusal: Refusal): void;
  /** Refuses all queued attempts. */
  refuseQueued(code: RefusalCode, message: string): void;
  /** Applies deadlines and the resume window. */
  sweep(nowMs: number): void;
}

/** Size of a queued request without its body. */
const REQUEST_OVERHEAD_BYTES = 512;

const HANDLED_TYPES = [
  MessageType.RequestOpen,
  MessageType.Credit,
  MessageType.Cancel,
  MessageType.Resume,
  MessageType.AttemptQuery,
] as const;

/** Creates the controller; `start` subscribes it to the network. */
export function createAttemptController(
  context: ControllerContext,
): AttemptController {
  const {network, clock, logger, tracing, table, queue, admission} = context;
  const {incarnation} = network.identity;
  let unsubscribe: Array<() => void> = [];

  const sendRefusal = (
    link: Link | undefined,
    attemptId: string,
    refusal: Refusal,
    redirect?: string,
  ): void => {
    const isTemporary =
      refusal.code === RefusalCode.Overloaded ||
      refusal.code === RefusalCode.Draining;
    link?.send({
      type: MessageType.Refused,
      attemptId,
      ...refusal,
      ...(isTemporary && {retryAfterMs: constants.RETRY_AFTER_MS}),
      ...(redirect !== undefined && {redirect}),
    });
  };

  const suggestRedirect = (open: RequestOpen): string | undefined =>
    open.hopsLeft > 0 ? admission.chooseRedirect(open.target) : undefined;

  const refuse = (attempt: Attempt, refusal: Refusal): void => {
    const {attemptId} = attempt.open;
    table.complete(attemptId, refusal, clock.getNowMs());
    attempt.stream.close();
    attempt.span.end(refusal.code);
    const redirect =
      refusal.code === RefusalCode.Overloaded ||
      refusal.code === RefusalCode.Draining
        ? suggestRedirect(attempt.open)
        : undefined;
    sendRefusal(attempt.link, attemptId, refusal, redirect);
    logger.log(events.ATTEMPT_REFUSED, {
      attemptId,
      code: refusal.code,
      runState: refusal.runState,
    });
    context.onRefused(refusal.code);
  };

  const refuseItem = (
    item: QueueItem,
    code: RefusalCode,
    message: string,
  ): void => {
    const attempt = table.find(item.id);
    if (attempt === undefined) return;
    refuse(attempt, {code, runState: RunState.NotRun, message});
  };

  const sendStatus = (link: Link, attemptId: string): void =>
    void link.send({
      type: MessageType.AttemptStatus,
      attemptId,
      sideIncarnation: incarnation,
      state: table.getState(attemptId),
    });

  /** Refuses an unseen id in future, because `not-run` was reported for it. */
  const markRefused = (attemptId: string): void =>
    table.complete(
      attemptId,
      {
        code: RefusalCode.Cancelled,
        runState: RunState.NotRun,
        message: 'the attempt was given up before it arrived',
      },
      clock.getNowMs(),
    );

  const replyIfKnown = (link: Link, attemptId: string): boolean => {
    const finished = table.findFinished(attemptId);
    if (finished?.state === AttemptState.Refused) {
      sendRefusal(link, attemptId, finished.refusal);
      return true;
    }
    if (finished === undefined && table.find(attemptId) === undefined) {
      return false;
    }
    sendStatus(link, attemptId);
    return true;
  };

  const makeAttempt = (link: Link, open: RequestOpen): Attempt => {
    const nowMs = clock.getNowMs();
    const span = tracing.startSpan(
      'side.request',
      SpanSide.Server,
      open.traceparent === '' ? undefined : open.traceparent,
    );
    const attempt: Attempt = {
      open,
      owner: link.peer,
      item: {
        id: open.attemptId,
        account: open.accountTag,
        weight: open.accountWeight,
        // At least 1, because zero-token requests would always be next in line.
        tokens: Math.max(1, open.estimatedTokens),
        bytes: open.body.byteLength + REQUEST_OVERHEAD_BYTES,
        priority: open.priority,
        enqueuedMs: nowMs,
        deadlineAtMs: nowMs + open.deadlineMs,
        target: open.target,
      },
      stream: createResponseStream({
        attemptId: open.attemptId,
        sideIncarnation: incarnation,
        link,
        credit: open.credit,
        clock,
        reservation: context.receiveBudget.open(constants.UPSTREAM_SOURCE, () =>
          cancelAttempt(attempt, RefusalCode.Overloaded),
        ),
        onEndSent: () => {
          attempt.endSentMs = clock.getNowMs();
          if (attempt.link !== undefined) context.onEndSent(attempt.link);
        },
      }),
      span,
      abort: new AbortController(),
      state: AttemptState.Queued,
      link,
      linkLostMs: undefined,
      handedOverMs: undefined,
      firstDataMs: undefined,
      endSentMs: undefined,
      cancelCode: undefined,
    };
    return attempt;
  };

  const handleOpen = (link: Link, open: RequestOpen): void => {
    if (replyIfKnown(link, open.attemptId)) return;
    const attempt = makeAttempt(link, open);
    table.add(attempt);
    const closedCode = admission.getClosedCode();
    if (closedCode !== undefined) {
      refuse(attempt, {
        code: closedCode,
        runState: RunState.NotRun,
        message: 'the upstream takes no new requests',
      });
      return;
    }
    if (!admission.canServe(open.target)) {
      refuse(attempt, {
        code: RefusalCode.NoUpstream,
        runState: RunState.NotRun,
        message: 'the upstream cannot serve this target',
      });
      return;
    }
    for (const shed of queue.enqueue(attempt.item)) {
      refuseItem(shed, RefusalCode.Overloaded, 'the queue is full');
    }
    context.onQueued(attempt);
  };

  const findOwned = (link: Link, attemptId: string): Attempt | undefined => {
    const attempt = table.find(attemptId);
    return attempt?.owner.incarnation === link.peer.incarnation
      ? attempt
      : undefined;
  };

  const cancelAttempt = (attempt: Attempt, code: RefusalCode): void => {
    if (queue.remove(attempt.open.attemptId) !== undefined) {
      refuseItem(attempt.item, code, 'cancelled while queued');
      return;
    }
    attempt.cancelCode ??= code;
    attempt.abort.abort();
    // A stream that waits for credit does not notice the abort signal.
    if (attempt.stream.hasHead()) attempt.stream.close();
  };

  const handleResume = (
    link: Link,
    attemptId: string,
    nextSequence: number,
    credit: number,
  ): void => {
    const attempt = findOwned(link, attemptId);
    if (attempt === undefined) {
      const finished = table.findFinished(attemptId);
      if (finished !== undefined) {
        sendRefusal(link, attemptId, finished.refusal);
        return;
      }
      sendStatus(link, attemptId);
      markRefused(attemptId);
      return;
    }
    attempt.link = link;
    attempt.linkLostMs = undefined;
    if (attempt.stream.resume(link, nextSequence, credit)) return;
    sendRefusal(link, attemptId, {
      code: RefusalCode.LinkLost,
      runState: RunState.Ran,
      message: 'the response is no longer kept',
    });
  };

  const handleCredit = (link: Link, attemptId: string, bytes: number): void => {
    const attempt = findOwned(link, attemptId);
    // The credit in a Resume includes credit returned on the former link.
    if (attempt?.link === link) attempt.stream.addCredit(bytes);
  };

  const handleCancel = (link: Link, attemptId: string): void => {
    const attempt = findOwned(link, attemptId);
    if (attempt !== undefined) cancelAttempt(attempt, RefusalCode.Cancelled);
    else if (table.getState(attemptId) === AttemptState.NeverSeen) {
      markRefused(attemptId);
    }
  };

  const handleQuery = (link: Link, attemptId: string): void => {
    sendStatus(link, attemptId);
    if (table.getState(attemptId) === AttemptState.NeverSeen) {
      markRefused(attemptId);
    }
  };

  const handleLinkClose = (link: Link): void => {
    const nowMs = clock.getNowMs();
    for (const attempt of table.listOpen()) {
      if (attempt.link !== link) continue;
      attempt.link = undefined;
      attempt.linkLostMs = nowMs;
      attempt.stream.disconnect();
    }
  };

  const endAbandoned = (attempt: Attempt, nowMs: number): void => {
    const {linkLostMs, endSentMs, open, item} = attempt;
    const hasWindowEnded = (sinceMs: number | undefined): boolean =>
      sinceMs !== undefined && nowMs - sinceMs >= constants.RESUME_WINDOW_MS;
    const isStuck = nowMs - item.deadlineAtMs >= constants.RESUME_WINDOW_MS;
    const isDone =
      attempt.state === AttemptState.Finished &&
      (hasWindowEnded(linkLostMs) || isStuck);
    if (hasWindowEnded(endSentMs) || isDone) {
      table.complete(
        open.attemptId,
        {
          code: RefusalCode.LinkLost,
          runState: RunState.Ran,
          message: 'the response is no longer kept',
        },
        nowMs,
      );
      attempt.stream.close();
      return;
    }
    if (!hasWindowEnded(linkLostMs) || attempt.cancelCode !== undefined) return;
    // A non-idempotent request cannot be rerun, so it is not aborted.
    const isGeneration = open.target.type === TargetType.Model;
    const mayAbort =
      open.idempotent || isGeneration || attempt.state === AttemptState.Queued;
    if (mayAbort) cancelAttempt(attempt, RefusalCode.LinkLost);
    else attempt.stream.skipData();
  };

  return {
    start: () => {
      unsubscribe = [
        network.subscribe(HANDLED_TYPES, (link, message) => {
          switch (message.type) {
            case MessageType.RequestOpen:
              return handleOpen(link, message);
            case MessageType.Credit:
              return handleCredit(link, message.attemptId, message.bytes);
            case MessageType.Cancel:
              return handleCancel(link, message.attemptId);
            case MessageType.Resume:
              return handleResume(
                link,
                message.attemptId,
                message.nextSequence,
                message.credit,
              );
            case MessageType.AttemptQuery:
              return handleQuery(link, message.attemptId);
          }
        }),
        network.observeLinks({onLinkClose: handleLinkClose}),
      ];
    },
    stop: () => {
      for (const unsubscribeOne of unsubscribe) unsubscribeOne();
      unsubscribe = [];
    },
    refuse,
    refuseQueued: (code, message) => {
      for (const item of queue.listItems()) {
        queue.remove(item.id);
        refuseItem(item, code, message);
      }
    },
    sweep: nowMs => {
      for (const item of queue.expire(nowMs)) {
        refuseItem(
          item,
          RefusalCode.DeadlineExceeded,
          'the deadline passed before the request was handed over',
        );
      }
      for (const attempt of table.listOpen()) endAbandoned(attempt, nowMs);
      table.sweep(nowMs);
    },
  };
}
