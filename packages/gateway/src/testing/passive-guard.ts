/** Guard without evidence, for tests of sessions. */
import type {RequestGuard} from '../request-guard';

/** Creates a guard that lets each request be sent, and sent on. */
export function createPassiveGuard(): RequestGuard {
  return {
    checkRequest: () => ({isRefused: false, retryAfterMs: 0, isTrial: false}),
    isBlamed: () => false,
    recordAnswer: () => undefined,
    recordResponse: () => undefined,
    reportBroken: (_upstream, _ended, onDecided) => {
      onDecided(true);
      return () => undefined;
    },
    updatePeer: () => undefined,
    describe: () => ({endings: [], sound: [], blames: [], deadlyRequests: []}),
    countBlames: () => 0,
  };
}
