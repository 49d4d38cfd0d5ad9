/** Start, stop and reload of the components of entry and side processes. */
import {Left} from 'purify-ts';
import type {Either} from 'purify-ts';
import {
  formatProblem,
  loadLinkSecrets,
  loadSettings,
} from '@siskinplank/settings';
import type {CommonCradle} from './common';

type HookResult = Either<{message: string}, void>;

/** Life cycle of the common components. */
export interface CommonHooks {
  start(): Promise<HookResult>;
  /** Stops the network and the views, then closes as `close` does. */
  stop(): Promise<void>;
  /** Closes the platform client and exports pending spans. */
  close(): Promise<void>;
  reload(): HookResult;
  flushLogs(): Promise<void>;
}

/** Creates the hooks of the common components. */
export function createCommonHooks(
  file: string,
  cradle: CommonCradle,
): CommonHooks {
  const {network, membership, configuration, store, tracing} = cradle;
  const close = async (): Promise<void> => {
    await store.close();
    await tracing.shutdown();
  };
  return {
    close,
    // Standard error is written synchronously.
    flushLogs: () => Promise.resolve(),
    start: async () => {
      const started = await network.start();
      if (started.isLeft()) {
        return started.mapLeft(error => ({message: error.reason}));
      }
      membership.start();
      configuration.start();
      return started.mapLeft(() => ({message: ''}));
    },
    stop: async () => {
      await configuration.stop();
      membership.stop();
      await network.stop();
      await close();
    },
    reload: () =>
      loadSettings(file)
        .chain(settings =>
          settings.role === 'gateway'
            ? Left([{file, line: 1, key: 'role', expected: 'entry or side'}])
            : loadLinkSecrets(file, settings),
        )
        .mapLeft(problems => ({
          message: problems.map(formatProblem).join('; '),
        }))
        .chain(secrets =>
          network
            .replaceTls(secrets.tls)
            .map(() => network.setClusterKeys(secrets.clusterKeys))
            .mapLeft(({reason}) => ({message: `link.tls: ${reason}`})),
        ),
  };
}
