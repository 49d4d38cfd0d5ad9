/** Circuit breaker with jittered probes. */
import type {Random} from '@siskinplank/foundation';

/** Consecutive failures after which the circuit opens. */
const FAILURE_LIMIT = 3;
const FIRST_DELAY_MS = 250;
/**
 * Longest time between probes. Configuration changes must take effect within
 * 7 s, also after an outage, so probes may only use a small part of that.
 */
const MAX_DELAY_MS = 2_000;

/** Whether a call may be sent. */
export enum CircuitPermit {
  Normal = 'normal',
  /** Its outcome decides whether the circuit closes; others are denied. */
  Probe = 'probe',
  Denied = 'denied',
}

/** Circuit breaker of the calls to the platform. */
export interface Circuit {
  acquirePermit(nowMs: number): CircuitPermit;
  /** Records a reply from an available platform; closes the circuit. */
  recordSuccess(): void;
  recordFailure(nowMs: number): void;
  /** Returns the permit of a probe that was not sent. */
  cancelProbe(): void;
  isClosed(): boolean;
  /** Whether the circuit is closed and the last call succeeded. */
  isHealthy(): boolean;
}

/** Creates a closed circuit; the callbacks run when it opens or closes. */
export function createCircuit(options: {
  random: Random;
  onOpen: () => void;
  onClose: () => void;
}): Circuit {
  let failures = 0;
  let isOpen = false;
  let isProbing = false;
  let probeAtMs = 0;
  let delayMs = FIRST_DELAY_MS;

  const scheduleProbe = (nowMs: number): void => {
    // Jitter between half and the whole delay, so that processes do not probe
    // at the same time.
    probeAtMs = nowMs + delayMs * (0.5 + options.random.getNext() / 2);
    delayMs = Math.min(MAX_DELAY_MS, delayMs * 2);
  };

  return {
    acquirePermit: nowMs => {
      if (!isOpen) return CircuitPermit.Normal;
      if (isProbing || nowMs < probeAtMs) return CircuitPermit.Denied;
      isProbing = true;
      return CircuitPermit.Probe;
    },
    recordSuccess: () => {
      const wasOpen = isOpen;
      failures = 0;
      isOpen = false;
      isProbing = false;
      delayMs = FIRST_DELAY_MS;
      if (wasOpen) options.onClose();
    },
    recordFailure: nowMs => {
      failures += 1;
      isProbing = false;
      if (isOpen) {
        scheduleProbe(nowMs);
        return;
      }
      if (failures < FAILURE_LIMIT) return;
      isOpen = true;
      scheduleProbe(nowMs);
      options.onOpen();
    },
    cancelProbe: () => {
      isProbing = false;
    },
    isClosed: () => !isOpen,
    isHealthy: () => !isOpen && failures === 0,
  };
}
