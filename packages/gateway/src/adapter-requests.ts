/** Asks the order leader, which is another gateway, to load adapters. */
import {startWaitTimer} from '@siskinplank/foundation';
import type {Clock} from '@siskinplank/foundation';
import {MessageType} from '@siskinplank/messages';
import type {MessageOf} from '@siskinplank/messages';
import type {FleetNode} from './fleet-node';

/** What `createAdapterRequests` needs. */
export interface AdapterRequestOptions {
  ownName: string;
  clock: Clock;
  getFleet(): FleetNode;
}

/** Requests of this gateway for adapters. */
export interface AdapterRequests {
  /**
   * Resolves to the milliseconds until the adapter is ready, or to undefined
   * when it can't be loaded.
   */
  request(
    upstreamId: string,
    model: string,
    adapter: string,
  ): Promise<number | undefined>;
  handleReply(reply: MessageOf<MessageType.AdapterReply>): void;
}

/** Maximum wait for the reply of the order leader. */
const REPLY_TIMEOUT_MS = 450;

/** Creates the requests of one gateway. */
export function createAdapterRequests(
  options: AdapterRequestOptions,
): AdapterRequests {
  const {clock} = options;
  const pending = new Map<string, (readyInMs: number | undefined) => void>();
  let requestCount = 0;

  return {
    request: (upstreamId, model, adapter) => {
      const fleet = options.getFleet();
      const leader = fleet.peers
        .listResponsive(clock.getNowMs())
        .find(({state}) => state.isOrdering);
      if (leader === undefined) return Promise.resolve(undefined);
      requestCount += 1;
      const requestId = `${options.ownName}/${requestCount}`;
      return new Promise(resolve => {
        const timer = startWaitTimer(clock, REPLY_TIMEOUT_MS, () =>
          settle(undefined),
        );
        const settle = (readyInMs: number | undefined): void => {
          timer.cancel();
          pending.delete(requestId);
          resolve(readyInMs);
        };
        pending.set(requestId, settle);
        const isSent = fleet.sendTo(leader.name, {
          type: MessageType.AdapterRequest,
          requestId,
          upstream: upstreamId,
          model,
          adapter,
        });
        if (!isSent) settle(undefined);
      });
    },
    handleReply: ({requestId, readyInMs}) =>
      pending.get(requestId)?.(readyInMs),
  };
}
