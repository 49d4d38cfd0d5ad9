/** Opens attempts and passes received messages to them. */
import type {Clock, Logger} from '@siskinplank/foundation';
import {MessageType} from '@siskinplank/messages';
import type {PeerNetwork} from '@siskinplank/transport';
import {createAttempt} from './attempt';
import type {AttemptOptions, RunningAttempt} from './attempt';
import type {Attempt} from './types';

/** All open attempts of an entry process. */
export interface AttemptRelay {
  openAttempt(
    request: Pick<
      AttemptOptions,
      'open' | 'link' | 'address' | 'hops' | 'observer'
    >,
  ): Attempt;
  countOpen(): number;
  stop(): void;
}

const ATTEMPT_MESSAGES = [
  MessageType.ResponseHead,
  MessageType.ResponseChunk,
  MessageType.ResponseEnd,
  MessageType.Refused,
  MessageType.AttemptStatus,
] as const;

/** Creates the relay and subscribes it to the network. */
export function createAttemptRelay(options: {
  network: PeerNetwork;
  clock: Clock;
  logger: Logger;
}): AttemptRelay {
  const attempts = new Map<string, RunningAttempt>();
  const unsubscribe = options.network.subscribe(
    ATTEMPT_MESSAGES,
    (link, message) =>
      attempts.get(message.attemptId)?.handleMessage(link, message),
  );
  const stopObserving = options.network.observeLinks({
    onLinkClose: link => {
      for (const attempt of [...attempts.values()]) {
        attempt.handleLinkClose(link);
      }
    },
  });

  return {
    openAttempt: request => {
      const attemptId = request.open.attemptId;
      let isSettled = false;
      const attempt = createAttempt({
        ...options,
        ...request,
        onSettled: () => {
          isSettled = true;
          attempts.delete(attemptId);
        },
      });
      if (!isSettled) attempts.set(attemptId, attempt);
      return attempt;
    },
    countOpen: () => attempts.size,
    stop: () => {
      unsubscribe();
      stopObserving();
    },
  };
}
