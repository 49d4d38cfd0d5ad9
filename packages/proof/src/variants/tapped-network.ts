/** Network of an entry process whose attempt messages can be changed. */
import {MessageType} from '@siskinplank/messages';
import type {Message} from '@siskinplank/messages';
import type {Link, ManagedPeerNetwork} from '@siskinplank/transport';

/** Message of a side process about an attempt. */
export type AttemptMessage = Extract<
  Message,
  {
    type:
      | MessageType.ResponseHead
      | MessageType.ResponseChunk
      | MessageType.ResponseEnd
      | MessageType.Refused
      | MessageType.AttemptStatus;
  }
>;

/** What a variant does with the messages of attempts. */
export interface MessageTap {
  /** Observes the messages that the entry process sends about attempts. */
  onSend?(link: Link, message: Message): void;
  /** Returns what the entry process gets in place of a message. */
  onMessage(link: Link, message: AttemptMessage): AttemptMessage[];
  /** Returns messages that seem to arrive when a link closes. */
  onClose?(link: Link): AttemptMessage[];
}

type Handler = (link: Link, message: never) => void;

const ATTEMPT_TYPES: ReadonlySet<MessageType> = new Set([
  MessageType.ResponseHead,
  MessageType.ResponseChunk,
  MessageType.ResponseEnd,
  MessageType.Refused,
  MessageType.AttemptStatus,
]);

/** Wraps a network; links keep one wrapper each, as they are compared. */
export function createTappedNetwork(
  network: ManagedPeerNetwork,
  tap: MessageTap,
): ManagedPeerNetwork {
  const wrappers = new Map<Link, Link>();
  const handlers = new Set<Handler>();
  const wrapLink = (link: Link): Link => {
    const known = wrappers.get(link);
    if (known !== undefined) return known;
    const wrapper: Link = {
      id: link.id,
      peer: link.peer,
      isOpen: link.isOpen,
      getBufferedBytes: link.getBufferedBytes,
      close: link.close,
      send: message => {
        tap.onSend?.(wrapper, message);
        return link.send(message);
      },
    };
    wrappers.set(link, wrapper);
    return wrapper;
  };
  const deliver = (link: Link, messages: readonly AttemptMessage[]): void => {
    for (const message of messages) {
      for (const handler of [...handlers]) handler(link, message as never);
    }
  };
  network.observeLinks({
    onLinkClose: link => {
      const wrapper = wrappers.get(link);
      if (wrapper !== undefined) deliver(wrapper, tap.onClose?.(wrapper) ?? []);
    },
  });
  return {
    ...network,
    acquireLink: async (address, timeoutMs) => {
      const link = await network.acquireLink(address, timeoutMs);
      return link === undefined ? undefined : wrapLink(link);
    },
    subscribe: (types, handler) => {
      if (!types.some(type => ATTEMPT_TYPES.has(type))) {
        return network.subscribe(types, handler);
      }
      handlers.add(handler as Handler);
      const unsubscribe = network.subscribe(types, (link, message) => {
        const wrapper = wrapLink(link);
        const replaced = tap.onMessage(wrapper, message as AttemptMessage);
        for (const one of replaced) (handler as Handler)(wrapper, one as never);
      });
      return () => {
        handlers.delete(handler as Handler);
        unsubscribe();
      };
    },
    observeLinks: observer =>
      network.observeLinks({
        onLinkOpen: link => observer.onLinkOpen?.(link),
        onLinkClose: (link, reason) => {
          observer.onLinkClose?.(link, reason);
          const wrapper = wrappers.get(link);
          if (wrapper !== undefined) observer.onLinkClose?.(wrapper, reason);
        },
      }),
  };
}
