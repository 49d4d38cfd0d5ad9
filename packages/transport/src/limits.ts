/** Size limits and timeouts of links. */

/** Size limits and timeouts of links, with defaults in `DEFAULT_LIMITS`. */
export interface TransportLimits {
  /** Largest frame accepted, in bytes. */
  maxFrameBytes: number;
  /**
   * Largest number of fragments of a message. Peers of this system send each
   * message in one frame.
   */
  maxFragments: number;
  /** Largest number of reads that hold an incomplete frame. */
  maxBufferedReads: number;
  /** Largest handshake frame accepted, in bytes. */
  maxHandshakeBytes: number;
  /** Largest number of accepted connections in the handshake. */
  maxPendingHandshakes: number;
  /** Send buffer of a link in bytes; exceeding it closes the link. */
  maxBufferedBytes: number;
  handshakeTimeoutMs: number;
  /** Time without received data after which a link is pinged. */
  pingMs: number;
  /** Time without received data after which a link is closed. */
  idleMs: number;
  backoffBaseMs: number;
  backoffMaxMs: number;
}

/**
 * A frame carries at most a request body (1 MiB by default), a stored object
 * (1 MB) or a full copy of the configuration, for which 8 MiB leaves room. Such a
 * frame takes 5,800 reads if each is one segment of Ethernet. The idle limit
 * tolerates the loss of two pings.
 */
export const DEFAULT_LIMITS: TransportLimits = {
  maxFrameBytes: 8 * 1024 * 1024,
  maxFragments: 16,
  maxBufferedReads: 16_384,
  maxHandshakeBytes: 8 * 1024,
  maxPendingHandshakes: 128,
  maxBufferedBytes: 32 * 1024 * 1024,
  handshakeTimeoutMs: 5_000,
  pingMs: 3_000,
  idleMs: 10_000,
  backoffBaseMs: 100,
  backoffMaxMs: 5_000,
};
