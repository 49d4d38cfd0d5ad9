/** Interface to the models and adapters of the upstream. */
import type {LoadSummary, RequestTarget} from '@siskinplank/messages';

/** Memory, models, adapters and prefixes for a load report. */
export type ContentSummary = Pick<
  LoadSummary,
  'freeMemoryMiB' | 'models' | 'loadingModels' | 'adapters' | 'cachedPrefixes'
>;

/** Controls which targets an upstream serves, now or after a load. */
export interface UpstreamControl {
  start(): void;
  stop(): Promise<void>;
  /** Whether a request for the target may be sent to the upstream now. */
  isReady(target: RequestTarget): boolean;
  /** Whether the target is served now or after a load. */
  canServe(target: RequestTarget): boolean;
  /** Checks soon whether queued requests need a load. */
  notifyQueued(): void;
  summarizeContent(): ContentSummary;
}
