/** The upstreams that may get requests, as far as the store has told. */
import {createDirectoryWatcher} from '@siskinplank/directory';
import type {Directory} from '@siskinplank/directory';
import type {Clock, Logger} from '@siskinplank/foundation';
import {UpstreamState} from '@siskinplank/serving';
import type {Upstream} from '@siskinplank/serving';
import {UPSTREAM_CHANGED} from './events';

/** What `createUpstreamView` needs. */
export interface UpstreamViewOptions {
  directory: Directory<Upstream>;
  watchWaitMs: number;
  retryDelayMs: number;
  clock: Clock;
  logger: Logger;
  /** The set of usable upstreams, or what they hold, has changed. */
  onChange(usable: readonly Upstream[], nowMs: number): void;
}

/** Follows the registrations of the upstreams. */
export interface UpstreamView {
  start(): void;
  stop(): void;
  /** Whether a complete list was read. */
  isLoaded(): boolean;
  /** Upstreams that may get requests. */
  listUsable(): readonly Upstream[];
}

/**
 * Changes of several upstreams come together when demand moves. A leaving one
 * must be known within 2 s.
 */
const SETTLE_DELAY_MS = 300;

/** Creates a view that is empty until it is started. */
export function createUpstreamView(options: UpstreamViewOptions): UpstreamView {
  const {logger} = options;
  const known = new Map<string, Upstream>();
  let isLoaded = false;
  let usable: readonly Upstream[] = [];

  const set = (id: string, upstream: Upstream | undefined): void => {
    const former = known.get(id);
    if (upstream === undefined) known.delete(id);
    else known.set(id, upstream);
    const isUnchanged =
      former?.state === upstream?.state &&
      former?.startedAtMs === upstream?.startedAtMs;
    if (isUnchanged) return;
    logger.log(UPSTREAM_CHANGED, {
      upstream: id,
      service: (upstream ?? former)?.service,
      state: upstream?.state ?? 'gone',
      former: former?.state,
    });
  };

  const watcher = createDirectoryWatcher({
    name: 'upstreams',
    directory: options.directory,
    watchWaitMs: options.watchWaitMs,
    retryDelayMs: options.retryDelayMs,
    settleDelayMs: SETTLE_DELAY_MS,
    clock: options.clock,
    logger,
    onList: items => {
      for (const id of [...known.keys()]) {
        if (!items.has(id)) set(id, undefined);
      }
      items.forEach((upstream, id) => set(id, upstream));
    },
    onChange: set,
    onSettled: nowMs => {
      isLoaded = true;
      usable = [...known.values()].filter(
        ({state}) => state === UpstreamState.Ready,
      );
      options.onChange(usable, nowMs);
    },
  });

  return {
    start: watcher.start,
    stop: watcher.stop,
    isLoaded: () => isLoaded,
    listUsable: () => usable,
  };
}
