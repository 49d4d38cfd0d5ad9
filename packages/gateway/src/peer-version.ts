/** Whether other gateways apply a configuration that the store has lost. */

/** What `createPeerVersionCheck` observes at one time. */
export interface PeerVersionInput {
  /** Version in force here; 0 if none is. */
  ownVersion: number;
  /** Newest version in force at a responsive peer; 0 if none is known. */
  peerVersion: number;
  /** Send time of the last successful call to the store. */
  confirmedAtMs: number;
  nowMs: number;
}

/** Compares the version in force with those of the peers. */
export interface PeerVersionCheck {
  /** Returns true when a newer version of a peer became known. */
  observe(input: PeerVersionInput): boolean;
  /**
   * Whether the store has lost a version of a peer. It then shows an older one
   * to a call that was sent after that version was known to be in force. While
   * a change spreads, such a call shows the new version.
   */
  isLost(input: PeerVersionInput): boolean;
}

/** Creates a check that knows of no peer. */
export function createPeerVersionCheck(): PeerVersionCheck {
  /** A newer version of a peer, and since when it is known. */
  let newer: {version: number; sinceMs: number} | undefined;
  return {
    observe: ({ownVersion, peerVersion, nowMs}) => {
      if (peerVersion <= ownVersion) {
        newer = undefined;
        return false;
      }
      const isKnown =
        newer !== undefined &&
        newer.version > ownVersion &&
        newer.version <= peerVersion;
      if (isKnown) return false;
      newer = {version: peerVersion, sinceMs: nowMs};
      return true;
    },
    // A version counts only while a responsive peer names it, so that gateways
    // can start from the copy if nobody knows the lost version any more.
    isLost: ({ownVersion, peerVersion, confirmedAtMs}) =>
      newer !== undefined &&
      newer.version > ownVersion &&
      newer.version <= peerVersion &&
      confirmedAtMs > newer.sinceMs,
  };
}
