/**
 * One attempt to run a request: flow control by credit, sequence checks, resume
 * after a lost link, and cancellation.
 */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {Clock, Logger, Timer} from '@siskinplank/foundation';
import {AttemptState, MessageType} from '@siskinplank/messages';
import type {MessageOf} from '@siskinplank/messages';
import {RefusalCode, RunState} from '@siskinplank/resources';
import type {NetworkAddress} from '@siskinplank/resources';
import type {Link, PeerNetwork} from '@siskinplank/transport';
import {ATTEMPT_LINK_LOST, ATTEMPT_VIOLATION} from '../events';
import type {
  Attempt,
  AttemptFailure,
  AttemptObserver,
  AttemptSuccess,
} from './types';

/** Messages that a side process sends about an attempt. */
export type AttemptMessage = MessageOf<
  | MessageType.ResponseHead
  | MessageType.ResponseChunk
  | MessageType.ResponseEnd
  | MessageType.Refused
  | MessageType.AttemptStatus
>;

/** Response bytes that a side process may send before the caller takes them. */
export const CREDIT_WINDOW_BYTES = 262_144;

/** Credit is returned in portions of this size, to save messages. */
const CREDIT_PORTION_BYTES = CREDIT_WINDOW_BYTES / 4;

/** The side process enforces the deadline; this leaves time for its reply. */
const DEADLINE_GRACE_MS = 1_000;

/** Time for a side process to report whether a cancelled attempt ran. */
const CANCEL_TIMEOUT_MS = 1_000;

/** Time to reconnect to a side process; above the longest connect backoff. */
const RECONNECT_TIMEOUT_MS = 6_000;

/** Time for the reply to an attempt query. */
const QUERY_TIMEOUT_MS = 3_000;

/** Lost links without data in between after which the attempt fails. */
const MAX_RECOVERIES = 5;

/** Request and collaborators of an attempt. */
export interface AttemptOptions {
  open: MessageOf<MessageType.RequestOpen>;
  link: Link;
  /** Link address of the side process. */
  address: NetworkAddress;
  /** Names of the processes and the upstream, for the hops header. */
  hops: string;
  network: PeerNetwork;
  clock: Clock;
  logger: Logger;
  observer: AttemptObserver;
  onSettled: () => void;
}

/** An attempt with its message handlers. */
export interface RunningAttempt extends Attempt {
  handleMessage(link: Link, message: AttemptMessage): void;
  handleLinkClose(link: Link): void;
}

/** Sends the request to the side process and receives the response. */
export function createAttempt(options: AttemptOptions): RunningAttempt {
  const {open, network, clock, logger, observer} = options;
  const attemptId = open.attemptId;
  const incarnation = options.link.peer.incarnation;
  let link = options.link;
  let isSettled = false;
  let isCancelled = false;
  let isRecovering = false;
  let recoveries = 0;
  let hasHead = false;
  let nextSequence = 0;
  let receivedBytes = 0;
  /** Bytes that the side process may still send. */
  let remainingCredit = open.credit;
  /** Bytes forwarded to the caller since the last credit message. */
  let unreturnedBytes = 0;
  const timers = new Set<Timer>();
  let resolveOutcome: (outcome: Either<AttemptFailure, AttemptSuccess>) => void;
  const outcome = new Promise<Either<AttemptFailure, AttemptSuccess>>(
    resolve => {
      resolveOutcome = resolve;
    },
  );

  const settle = (result: Either<AttemptFailure, AttemptSuccess>): void => {
    if (isSettled) return;
    isSettled = true;
    for (const timer of timers) timer.cancel();
    options.onSettled();
    resolveOutcome(result);
  };

  const getRunState = (): RunState =>
    hasHead ? RunState.Ran : RunState.Unknown;

  const fail = (
    code: RefusalCode,
    message: string,
    runState = getRunState(),
  ): void => settle(Left({code, message, runState}));

  const failViolation = (message: string): void => {
    logger.log(ATTEMPT_VIOLATION, {attemptId, side: link.peer.name, message});
    link.send({type: MessageType.Cancel, attemptId});
    fail(RefusalCode.UpstreamFailed, `response was incomplete: ${message}`);
  };

  const startTimer = (delayMs: number, callback: () => void): Timer => {
    const timer = clock.startTimer(delayMs, callback);
    timers.add(timer);
    return timer;
  };

  const sendResume = (): void => {
    const bufferedBytes = receivedBytes - forwardedBytes;
    remainingCredit = Math.max(1, CREDIT_WINDOW_BYTES - bufferedBytes);
    unreturnedBytes = 0;
    link.send({
      type: MessageType.Resume,
      attemptId,
      nextSequence,
      credit: remainingCredit,
    });
  };

  let forwardedBytes = 0;
  const release = (bytes: number): void => {
    forwardedBytes += bytes;
    if (isSettled) return;
    unreturnedBytes += bytes;
    if (unreturnedBytes < CREDIT_PORTION_BYTES && remainingCredit > 0) return;
    if (unreturnedBytes === 0 || isRecovering) return;
    remainingCredit += unreturnedBytes;
    link.send({type: MessageType.Credit, attemptId, bytes: unreturnedBytes});
    unreturnedBytes = 0;
  };

  const recover = async (): Promise<void> => {
    if (isSettled || isRecovering) return;
    isRecovering = true;
    recoveries += 1;
    logger.log(ATTEMPT_LINK_LOST, {attemptId, side: link.peer.name});
    const next =
      recoveries > MAX_RECOVERIES
        ? undefined
        : await network.acquireLink(options.address, RECONNECT_TIMEOUT_MS);
    isRecovering = false;
    if (isSettled) return;
    if (next === undefined) {
      return fail(RefusalCode.LinkLost, 'the upstream host cannot be reached');
    }
    if (next.peer.incarnation !== incarnation) {
      return fail(RefusalCode.LinkLost, 'the upstream host was restarted');
    }
    link = next;
    if (!link.isOpen()) return recover();
    if (isCancelled) link.send({type: MessageType.Cancel, attemptId});
    if (hasHead) return sendResume();
    // The request may not have arrived. After a query for an unknown attempt
    // the side process also refuses to run the request if it arrives later.
    link.send({type: MessageType.AttemptQuery, attemptId});
    const queriedLink = link;
    startTimer(QUERY_TIMEOUT_MS, () => {
      if (link !== queriedLink || hasStatus) return;
      fail(RefusalCode.LinkLost, 'the upstream host did not answer');
    });
  };

  let hasStatus = false;
  const handleStatus = (
    message: MessageOf<MessageType.AttemptStatus>,
  ): void => {
    hasStatus = true;
    if (message.sideIncarnation !== incarnation) {
      return fail(RefusalCode.LinkLost, 'the upstream host was restarted');
    }
    if (message.state === AttemptState.NeverSeen) {
      const runState = hasHead ? RunState.Ran : RunState.NotRun;
      return fail(RefusalCode.LinkLost, 'the link was lost', runState);
    }
    // If the request was refused, the side process replies to the resume with
    // the refusal.
    sendResume();
  };

  const handleHead = (message: MessageOf<MessageType.ResponseHead>): void => {
    if (hasHead) return;
    hasHead = true;
    if (isCancelled) {
      return fail(RefusalCode.Cancelled, 'the request was cancelled');
    }
    observer.onHead({
      status: message.status,
      headers: message.headers,
      hops: options.hops,
    });
  };

  const handleChunk = (message: MessageOf<MessageType.ResponseChunk>): void => {
    if (!hasHead) return failViolation('data arrived before the head');
    if (message.sequence !== nextSequence) {
      return failViolation('a part of the response is missing');
    }
    // The last chunk may exceed the credit, so that side processes needn't
    // split chunks.
    if (remainingCredit <= 0 && message.data.length > 0) {
      return failViolation('more data arrived than was allowed');
    }
    nextSequence += 1;
    recoveries = 0;
    const byteCount = message.data.length;
    receivedBytes += byteCount;
    remainingCredit -= byteCount;
    observer.onData(message.data, () => release(byteCount));
  };

  const handleEnd = (message: MessageOf<MessageType.ResponseEnd>): void => {
    if (message.error !== undefined) {
      return fail(RefusalCode.UpstreamFailed, 'the upstream broke off');
    }
    if (!hasHead) return failViolation('the end arrived before the head');
    if (message.chunkCount !== nextSequence) {
      return failViolation('the number of parts differs');
    }
    if (message.byteCount !== receivedBytes) {
      return failViolation('the number of bytes differs');
    }
    settle(Right({usage: message.usage}));
  };

  const handleRefused = (message: MessageOf<MessageType.Refused>): void => {
    settle(
      Left({
        code: message.code,
        message: message.message,
        runState: hasHead ? RunState.Ran : message.runState,
        retryAfterMs: message.retryAfterMs,
        redirect: message.redirect,
      }),
    );
  };

  if (link.send(open)) {
    startTimer(open.deadlineMs + DEADLINE_GRACE_MS, () => {
      link.send({type: MessageType.Cancel, attemptId});
      fail(RefusalCode.DeadlineExceeded, 'the deadline has passed');
    });
  } else {
    fail(RefusalCode.LinkLost, 'the link is closed', RunState.NotRun);
  }

  return {
    outcome,
    cancel: () => {
      if (isSettled || isCancelled) return;
      isCancelled = true;
      link.send({type: MessageType.Cancel, attemptId});
      const message = 'the request was cancelled';
      if (hasHead) return fail(RefusalCode.Cancelled, message);
      startTimer(CANCEL_TIMEOUT_MS, () => fail(RefusalCode.Cancelled, message));
    },
    handleMessage: (source, message) => {
      if (isSettled || source !== link) return;
      switch (message.type) {
        case MessageType.ResponseHead:
          return handleHead(message);
        case MessageType.ResponseChunk:
          return handleChunk(message);
        case MessageType.ResponseEnd:
          return handleEnd(message);
        case MessageType.Refused:
          return handleRefused(message);
        case MessageType.AttemptStatus:
          return handleStatus(message);
      }
    },
    handleLinkClose: closed => {
      if (closed === link) void recover();
    },
  };
}
