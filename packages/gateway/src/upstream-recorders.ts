/** What the sessions of one request record about upstreams. */
import type {UpstreamTable} from '@siskinplank/dispatch';
import type {Clock} from '@siskinplank/foundation';
import type {CallerRequest, Upstream} from '@siskinplank/serving';
import type {SessionOptions} from './session-types';
import type {UpstreamBackoffs} from './upstream-backoffs';

/** What `createUpstreamRecorders` needs. */
export interface UpstreamRecorderOptions {
  upstreams: UpstreamTable;
  backoffs: UpstreamBackoffs;
  clock: Clock;
  /** Called when an upstream rejects a request as misdirected. */
  onMisdirected(upstream: Upstream, hasModel: boolean): void;
}

type UpstreamRecorders = Pick<
  SessionOptions,
  'isUsable' | 'recordFault' | 'recordUnreachable' | 'recordMisdirected'
>;

/** Creates the recorders of a request. */
export function createUpstreamRecorders(
  {upstreams, backoffs, clock, onMisdirected}: UpstreamRecorderOptions,
  {model, adapter}: CallerRequest,
): UpstreamRecorders {
  return {
    isUsable: ({upstream}) =>
      upstreams.getEntry(upstream.id)?.upstream.startedAtMs ===
        upstream.startedAtMs &&
      backoffs.getEndMs(upstream, clock.getNowMs()) === undefined,
    recordFault: ({upstream}, weight) =>
      upstreams.recordFault(upstream.id, weight, clock.getNowMs()),
    recordUnreachable: ({upstream}) =>
      upstreams.recordUnreachable(upstream.id, clock.getNowMs()),
    recordMisdirected: ({upstream}, sentAtMs) => {
      if (model !== undefined && adapter === undefined)
        upstreams.removeModel(upstream, model, sentAtMs);
      onMisdirected(upstream, model !== undefined);
    },
  };
}
