/**
 * Streams the response of one attempt to the entry process in numbered chunks,
 * limited by the receiver's credit. Chunks are kept until they are
 * acknowledged, so that the stream can be resumed on another link.
 */
import type {Clock, Timer} from '@siskinplank/foundation';
import {MessageType} from '@siskinplank/messages';
import type {Message, Usage} from '@siskinplank/messages';
import type {Reservation} from '@siskinplank/receive-buffers';
import type {Link} from '@siskinplank/transport';
import * as constants from '../constants';
import {createByteQueue} from './byte-queue';
import {createSizeQueue} from './size-queue';

/** Outgoing response of one attempt. */
export interface ResponseStream {
  sendHead(status: number, headers: Record<string, string>): void;
  hasHead(): boolean;
  /** Adds data; resolves to true once more is accepted, false when closed. */
  push(data: Uint8Array): Promise<boolean>;
  /** Ends the stream; the end is sent after all data. */
  end(usage: Usage | undefined, error?: string): void;
  isEndSent(): boolean;
  addCredit(bytes: number): void;
  /** Continues on `link`; false when the data was already dropped. */
  resume(link: Link, nextSequence: number, credit: number): boolean;
  /** Stops sending until `resume`. */
  disconnect(): void;
  /** Discards all data, so that the upstream can finish. */
  skipData(): void;
  /** Drops all data; later pushes return false. */
  close(): void;
}

/** Creates the response stream of one attempt. */
export function createResponseStream(options: {
  attemptId: string;
  sideIncarnation: string;
  link: Link;
  credit: number;
  clock: Clock;
  /** Holds the bytes; after an eviction the stream accepts no more. */
  reservation: Reservation;
  onEndSent: () => void;
}): ResponseStream {
  const {attemptId, sideIncarnation, clock} = options;
  let link: Link | undefined = options.link;
  /** Credit of a peer that has no data buffered. */
  const windowBytes = options.credit;
  let credit = windowBytes;
  let head: Message | undefined;
  let endMessage: Message | undefined;
  let endInput: {usage: Usage | undefined; error?: string} | undefined;
  let isClosed = false;
  let isSkipping = false;
  let nextSequence = 0;
  let byteCount = 0;
  /** Bytes that were sent and not acknowledged, then those not sent yet. */
  const kept = createByteQueue(options.reservation);
  /** Sizes of the chunks that were sent and not acknowledged. */
  const sentSizes = createSizeQueue();
  let sentBytes = 0;
  /** Bytes received by the peer, known from the credit it returned. */
  let acknowledgedBytes = 0;
  let droppedBytes = 0;
  /**
   * Bytes that the peer had buffered at the last Resume. They are already
   * acknowledged, so the credit returned for them acknowledges nothing new.
   */
  let peerBufferedBytes = 0;
  let capacityWaiters: Array<(hasCapacity: boolean) => void> = [];
  let retryTimer: Timer | undefined;

  const getUnsentBytes = (): number => kept.getLength() - sentBytes;

  const notifyWaiters = (): void => {
    if (!isClosed && getUnsentBytes() >= constants.MAX_UNSENT_BYTES) return;
    const waiting = capacityWaiters;
    capacityWaiters = [];
    for (const resolve of waiting) resolve(!isClosed);
  };

  const dropData = (): void => {
    retryTimer?.cancel();
    kept.clear();
    sentSizes.clear();
    sentBytes = 0;
    notifyWaiters();
  };

  const dropAcknowledged = (): void => {
    let droppedNow = 0;
    while (sentSizes.getCount() > 0) {
      const size = sentSizes.peek();
      const isAcknowledged = droppedBytes + size <= acknowledgedBytes;
      const isRetained = sentBytes <= constants.MAX_RETAINED_BYTES;
      if (!isAcknowledged && isRetained) break;
      sentSizes.shift();
      sentBytes -= size;
      droppedBytes += size;
      droppedNow += size;
    }
    if (droppedNow > 0) kept.drop(droppedNow);
  };

  const canSend = (): boolean => {
    if (link === undefined || !link.isOpen()) return false;
    if (link.getBufferedBytes() <= constants.MAX_LINK_BUFFERED_BYTES) {
      return true;
    }
    retryTimer ??= clock.startTimer(constants.LINK_FLUSH_RETRY_MS, () => {
      retryTimer = undefined;
      flush();
    });
    return false;
  };

  const sendChunk = (sequence: number, offset: number, size: number): void =>
    void link?.send({
      type: MessageType.ResponseChunk,
      attemptId,
      sequence,
      data: kept.copy(offset, size),
    });

  const flush = (): void => {
    while (getUnsentBytes() > 0 && credit > 0 && canSend()) {
      const size = Math.min(
        getUnsentBytes(),
        credit,
        constants.MAX_CHUNK_BYTES,
      );
      sendChunk(nextSequence, sentBytes, size);
      nextSequence += 1;
      byteCount += size;
      credit -= size;
      sentSizes.push(size);
      sentBytes += size;
    }
    dropAcknowledged();
    notifyWaiters();
    if (endInput === undefined || endMessage !== undefined) return;
    if (getUnsentBytes() > 0 || !canSend()) return;
    endMessage = {
      type: MessageType.ResponseEnd,
      attemptId,
      chunkCount: nextSequence,
      byteCount,
      ...(endInput.usage !== undefined && {usage: endInput.usage}),
      ...(endInput.error !== undefined && {error: endInput.error}),
    };
    link?.send(endMessage);
    options.onEndSent();
  };

  return {
    sendHead: (status, headers) => {
      head = {
        type: MessageType.ResponseHead,
        attemptId,
        sideIncarnation,
        status,
        headers,
      };
      link?.send(head);
    },
    hasHead: () => head !== undefined,
    push: data => {
      if (isClosed) return Promise.resolve(false);
      if (isSkipping) return Promise.resolve(true);
      if (data.byteLength > 0 && !kept.append(data)) {
        isClosed = true;
        dropData();
        return Promise.resolve(false);
      }
      flush();
      if (getUnsentBytes() < constants.MAX_UNSENT_BYTES) {
        return Promise.resolve(true);
      }
      return new Promise(resolve => capacityWaiters.push(resolve));
    },
    end: (usage, error) => {
      if (endInput !== undefined) return;
      endInput = {usage, error};
      flush();
    },
    isEndSent: () => endMessage !== undefined,
    addCredit: bytes => {
      credit += bytes;
      const alreadyAcknowledged = Math.min(bytes, peerBufferedBytes);
      peerBufferedBytes -= alreadyAcknowledged;
      acknowledgedBytes += bytes - alreadyAcknowledged;
      flush();
    },
    resume: (newLink, wantedSequence, newCredit) => {
      if (isClosed || isSkipping) return false;
      const oldestSequence = nextSequence - sentSizes.getCount();
      if (wantedSequence < oldestSequence || wantedSequence > nextSequence) {
        return false;
      }
      link = newLink;
      // The receiver has everything before the wanted chunk, and its new
      // credit covers the chunks that are resent.
      let receivedBytes = 0;
      for (let next = oldestSequence; next < wantedSequence; next += 1) {
        receivedBytes += sentSizes.peek();
        sentSizes.shift();
      }
      if (receivedBytes > 0) kept.drop(receivedBytes);
      sentBytes -= receivedBytes;
      acknowledgedBytes = byteCount - sentBytes;
      credit = newCredit;
      // The smallest credit in a Resume is 1, even if the window is full.
      peerBufferedBytes = newCredit > 1 ? windowBytes - newCredit : windowBytes;
      droppedBytes = acknowledgedBytes;
      if (head !== undefined) newLink.send(head);
      let offset = 0;
      let sequence = wantedSequence;
      for (const size of sentSizes.list()) {
        sendChunk(sequence, offset, size);
        sequence += 1;
        offset += size;
      }
      credit -= sentBytes;
      if (endMessage !== undefined) newLink.send(endMessage);
      else flush();
      return true;
    },
    disconnect: () => {
      link = undefined;
    },
    skipData: () => {
      isSkipping = true;
      dropData();
    },
    close: () => {
      isClosed = true;
      dropData();
    },
  };
}
