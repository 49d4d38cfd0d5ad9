/**
 * Streams the response of one attempt to the entry process in numbered chunks,
 * limited by the receiver's credit. Chunks are kept until they are
 * acknowledged, so that the stream can be resumed on another link.
 */
import type {Clock, Timer} from '@siskinplank/foundation';
import {MessageType} from '@siskinplank/messages';
import type {Message, Usage} from '@siskinplank/messages';
import type {Link} from '@siskinplank/transport';
import * as constants from '../constants';

interface SentChunk {
  sequence: number;
  data: Uint8Array;
}

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
  let unsent: Uint8Array[] = [];
  let unsentBytes = 0;
  let sent: SentChunk[] = [];
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

  const notifyWaiters = (): void => {
    if (!isClosed && unsentBytes >= constants.MAX_UNSENT_BYTES) return;
    const waiting = capacityWaiters;
    capacityWaiters = [];
    for (const resolve of waiting) resolve(!isClosed);
  };

  const dropData = (): void => {
    retryTimer?.cancel();
    unsent = [];
    unsentBytes = 0;
    sent = [];
    sentBytes = 0;
    notifyWaiters();
  };

  const dropAcknowledged = (): void => {
    while (sent.length > 0) {
      const size = sent[0].data.byteLength;
      const isAcknowledged = droppedBytes + size <= acknowledgedBytes;
      if (!isAcknowledged && sentBytes <= constants.MAX_RETAINED_BYTES) return;
      sent.shift();
      sentBytes -= size;
      droppedBytes += size;
    }
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

  const takeChunk = (): Uint8Array => {
    const size = Math.min(
      unsent[0].byteLength,
      credit,
      constants.MAX_CHUNK_BYTES,
    );
    const data = unsent[0].subarray(0, size);
    if (size === unsent[0].byteLength) unsent.shift();
    else unsent[0] = unsent[0].subarray(size);
    unsentBytes -= size;
    credit -= size;
    return data;
  };

  const sendChunk = ({sequence, data}: SentChunk): void =>
    void link?.send({
      type: MessageType.ResponseChunk,
      attemptId,
      sequence,
      // The type of the schema excludes shared memory, which is not used here.
      data: data as Uint8Array<ArrayBuffer>,
    });

  const flush = (): void => {
    while (unsent.length > 0 && credit > 0 && canSend()) {
      const chunk = {sequence: nextSequence, data: takeChunk()};
      nextSequence += 1;
      byteCount += chunk.data.byteLength;
      sent.push(chunk);
      sentBytes += chunk.data.byteLength;
      sendChunk(chunk);
    }
    dropAcknowledged();
    notifyWaiters();
    if (endInput === undefined || endMessage !== undefined) return;
    if (unsent.length > 0 || !canSend()) return;
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
      if (data.byteLength > 0) {
        unsent.push(data);
        unsentBytes += data.byteLength;
      }
      flush();
      if (unsentBytes < constants.MAX_UNSENT_BYTES)
        return Promise.resolve(true);
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
      const oldestSequence = sent[0]?.sequence ?? nextSequence;
      if (wantedSequence < oldestSequence || wantedSequence > nextSequence) {
        return false;
      }
      link = newLink;
      // The receiver has everything before the wanted chunk, and its new
      // credit covers the chunks that are resent.
      const kept = sent.filter(chunk => chunk.sequence >= wantedSequence);
      const keptBytes = kept.reduce((sum, c) => sum + c.data.byteLength, 0);
      acknowledgedBytes = byteCount - keptBytes;
      credit = newCredit;
      // The smallest credit in a Resume is 1, even if the window is full.
      peerBufferedBytes = newCredit > 1 ? windowBytes - newCredit : windowBytes;
      sent = kept;
      sentBytes = keptBytes;
      droppedBytes = acknowledgedBytes;
      if (head !== undefined) newLink.send(head);
      for (const chunk of kept) {
        sendChunk(chunk);
        credit -= chunk.data.byteLength;
      }
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
