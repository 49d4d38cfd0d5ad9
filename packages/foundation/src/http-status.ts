/** Valid statuses of HTTP responses (RFC 9110, section 15). */
const MIN_INTERIM_STATUS = 100;
const MIN_FINAL_STATUS = 200;
const MAX_FINAL_STATUS = 599;
const SWITCHING_PROTOCOLS = 101;

/** Whether a response with this status ends the exchange. */
export function isFinalStatus(status: number): boolean {
  return status >= MIN_FINAL_STATUS && status <= MAX_FINAL_STATUS;
}

/**
 * Whether a final response follows one with this status. None follows a switch
 * of protocols, for which no request asks.
 */
export function isInterimStatus(status: number): boolean {
  return (
    status >= MIN_INTERIM_STATUS &&
    status < MIN_FINAL_STATUS &&
    status !== SWITCHING_PROTOCOLS
  );
}
