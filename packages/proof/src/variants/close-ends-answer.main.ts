/** Variant: the end of a connection counts as the end of a response. */
import {MessageType} from '@siskinplank/messages';
import type {Link} from '@siskinplank/transport';
import {replacePart} from './replace-part';
import {runVariant} from './run-variant';
import {createTappedNetwork} from './tapped-network';
import type {MessageTap} from './tapped-network';

interface OpenAnswer {
  link: Link;
  chunkCount: number;
  byteCount: number;
}

function createCloseTap(): MessageTap {
  const open = new Map<string, OpenAnswer>();
  return {
    onMessage: (link, message) => {
      const answer = open.get(message.attemptId);
      switch (message.type) {
        case MessageType.ResponseHead:
          open.set(message.attemptId, {link, chunkCount: 0, byteCount: 0});
          return [message];
        case MessageType.ResponseChunk:
          if (answer === undefined) return [];
          answer.chunkCount += 1;
          answer.byteCount += message.data.length;
          return [message];
        case MessageType.ResponseEnd:
          open.delete(message.attemptId);
          return [{...message, error: undefined}];
        default:
          return [message];
      }
    },
    onClose: link =>
      [...open]
        .filter(([, answer]) => answer.link === link)
        .map(([attemptId, {chunkCount, byteCount}]) => {
          open.delete(attemptId);
          return {
            type: MessageType.ResponseEnd,
            attemptId,
            chunkCount,
            byteCount,
          };
        }),
  };
}

await runVariant({
  customizeEntry: container =>
    replacePart(container, 'network', network =>
      createTappedNetwork(network, createCloseTap()),
    ),
});
