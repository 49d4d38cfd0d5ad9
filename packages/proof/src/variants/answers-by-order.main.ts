/** Variant: an answer belongs to the oldest open request of its link. */
import {MessageType} from '@siskinplank/messages';
import type {Link} from '@siskinplank/transport';
import {replacePart} from './replace-part';
import {runVariant} from './run-variant';
import {createTappedNetwork} from './tapped-network';
import type {MessageTap} from './tapped-network';

interface OpenAttempt {
  attemptId: string;
  link: Link;
  hasHead: boolean;
  chunkCount: number;
  byteCount: number;
}

function createOrderTap(): MessageTap {
  const open: OpenAttempt[] = [];
  const closeAttempt = (attemptId: string): void => {
    const index = open.findIndex(attempt => attempt.attemptId === attemptId);
    if (index >= 0) open.splice(index, 1);
  };
  return {
    onSend: (link, message) => {
      if (message.type === MessageType.RequestOpen) {
        const {attemptId} = message;
        const counts = {hasHead: false, chunkCount: 0, byteCount: 0};
        open.push({attemptId, link, ...counts});
      }
      if (message.type === MessageType.Cancel) closeAttempt(message.attemptId);
    },
    onMessage: (link, message) => {
      const attempt = open.find(oldest => oldest.link === link);
      if (attempt === undefined) return [message];
      const {attemptId} = attempt;
      switch (message.type) {
        case MessageType.ResponseHead:
          attempt.hasHead = true;
          return [{...message, attemptId}];
        case MessageType.ResponseChunk: {
          if (!attempt.hasHead) return [];
          const sequence = attempt.chunkCount;
          attempt.chunkCount += 1;
          attempt.byteCount += message.data.length;
          return [{...message, attemptId, sequence}];
        }
        case MessageType.ResponseEnd: {
          closeAttempt(attemptId);
          const {chunkCount, byteCount} = attempt;
          return [{...message, attemptId, chunkCount, byteCount}];
        }
        default:
          return [message];
      }
    },
  };
}

await runVariant({
  customizeEntry: container =>
    replacePart(container, 'network', network =>
      createTappedNetwork(network, createOrderTap()),
    ),
});
