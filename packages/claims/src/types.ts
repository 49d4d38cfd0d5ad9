/** Interface of the idempotency claims. */

/** Response stored with a completed claim. */
export interface ClaimResponse {
  status: number;
  contentType: string;
  body: Uint8Array;
}

/** A claim held by this process. */
export interface HeldClaim {
  readonly name: string;
  readonly nonce: string;
  /** Version of the claim object. */
  readonly version: number;
}

/** Result of an attempt to claim an idempotency key. */
export enum ClaimOutcomeType {
  /** This process may run the request. */
  Acquired = 'acquired',
  /** The request ran; its stored response is returned. */
  Replay = 'replay',
  /** The request is still running, or too many others try to claim the key. */
  InProgress = 'in-progress',
  /** The key was used with another body. */
  BodyMismatch = 'body-mismatch',
  /** It is not known whether the request ran, e.g. after the claimant died. */
  Unresolved = 'unresolved',
  /** The request ran, but its response was too large to be stored. */
  RanWithoutResponse = 'ran-without-response',
  /** The claim was not written; the request must not run. */
  PlatformUnavailable = 'platform-unavailable',
}

export type ClaimOutcome =
  | {type: ClaimOutcomeType.Acquired; claim: HeldClaim}
  | {type: ClaimOutcomeType.Replay; response: ClaimResponse}
  | {
      type:
        | ClaimOutcomeType.InProgress
        | ClaimOutcomeType.BodyMismatch
        | ClaimOutcomeType.Unresolved
        | ClaimOutcomeType.RanWithoutResponse
        | ClaimOutcomeType.PlatformUnavailable;
    };

/** Claims on idempotency keys, stored in the platform. */
export interface ClaimRegistry {
  acquire(request: {
    account: string;
    idempotencyKey: string;
    bodyHash: string;
    wallMs: number;
  }): Promise<ClaimOutcome>;
  /** Stores the response; retries in the background during an outage. */
  complete(claim: HeldClaim, response: ClaimResponse): Promise<void>;
  /** Releases the claim; only allowed if the request certainly did not run. */
  release(claim: HeldClaim): Promise<void>;
  /** Records that it is unknown whether the request ran. */
  markUnknown(claim: HeldClaim): Promise<void>;
  /** Waits up to 5 s for background writes, for a graceful shutdown. */
  stop(): Promise<void>;
}
