/** Variant: a request without a response is always reported as not run. */
import {MessageType} from '@siskinplank/messages';
import {RefusalCode, RunState} from '@siskinplank/resources';
import type {Link} from '@siskinplank/transport';
import {replacePart} from './replace-part';
import {runVariant} from './run-variant';
import {createTappedNetwork} from './tapped-network';
import type {AttemptMessage, MessageTap} from './tapped-network';

function createLossTap(): MessageTap {
  /** Link of each attempt that has no head yet. */
  const waiting = new Map<string, Link>();
  const makeRefused = (attemptId: string): AttemptMessage => ({
    type: MessageType.Refused,
    attemptId,
    code: RefusalCode.LinkLost,
    runState: RunState.NotRun,
    message: 'the link was lost',
  });
  return {
    onSend: (link, message) => {
      if (message.type === MessageType.RequestOpen) {
        waiting.set(message.attemptId, link);
      }
    },
    onMessage: (link, message) => {
      waiting.delete(message.attemptId);
      return message.type === MessageType.Refused
        ? [{...message, runState: RunState.NotRun}]
        : [message];
    },
    onClose: link => {
      const lost = [...waiting]
        .filter(([, open]) => open === link)
        .map(([attemptId]) => attemptId);
      lost.forEach(attemptId => waiting.delete(attemptId));
      return lost.map(makeRefused);
    },
  };
}

await runVariant({
  customizeEntry: container =>
    replacePart(container, 'network', network =>
      createTappedNetwork(network, createLossTap()),
    ),
});
