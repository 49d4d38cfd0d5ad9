/** Registry of the open links of a process, by the address of the peer. */
import type {NetworkAddress} from '@siskinplank/resources';
import type {Link, PeerIdentity} from './types';

/** Formats an address as a map key. */
export function formatAddress(address: NetworkAddress): string {
  return `${address.host}:${address.port}`;
}

/** Registry of open links. */
export interface LinkRegistry {
  add(link: Link, dialedAddress: NetworkAddress | undefined): void;
  remove(link: Link): void;
  find(address: NetworkAddress): Link | undefined;
  list(): readonly Link[];
}

interface RegisteredLink {
  link: Link;
  isDialed: boolean;
  addressKeys: ReadonlySet<string>;
}

/** Creates the registry of the process with `identity`. */
export function createLinkRegistry(identity: PeerIdentity): LinkRegistry {
  const entries = new Map<string, RegisteredLink>();
  return {
    add: (link, dialedAddress) => {
      // Behind a forwarder, the dialed address differs from the peer's address.
      const addressKeys = new Set([formatAddress(link.peer.address)]);
      if (dialedAddress !== undefined) {
        addressKeys.add(formatAddress(dialedAddress));
      }
      const isDialed = dialedAddress !== undefined;
      entries.set(link.id, {link, isDialed, addressKeys});
    },
    remove: link => void entries.delete(link.id),
    find: address => {
      const addressKey = formatAddress(address);
      const found = [...entries.values()].filter(entry =>
        entry.addressKeys.has(addressKey),
      );
      const newest = found.at(-1);
      if (newest === undefined) return undefined;
      const {incarnation} = newest.link.peer;
      // Both ends prefer the link dialed by the lower incarnation, so that they
      // choose the same one of duplicate links.
      const isDialedPreferred = identity.incarnation < incarnation;
      const preferred = found.find(
        entry =>
          entry.link.peer.incarnation === incarnation &&
          entry.isDialed === isDialedPreferred,
      );
      return (preferred ?? newest).link;
    },
    list: () => [...entries.values()].map(entry => entry.link),
  };
}
