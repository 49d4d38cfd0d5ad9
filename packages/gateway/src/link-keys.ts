/**
 * Keys of the links between gateways. The stored one is checked again whenever
 * the store was restored from an older copy, which may lack it.
 */
import {createHash} from 'node:crypto';
import type {SharedObjectStore} from '@siskinplank/directory';
import {ensureLinkKey} from '@siskinplank/fleet';
import type {Clock, Logger} from '@siskinplank/foundation';
import type {ClusterKey} from '@siskinplank/transport';
import {LINK_KEY_FAILED} from './events';

/** What `createLinkKeys` needs. */
export interface LinkKeysOptions {
  objects: SharedObjectStore;
  retryDelayMs: number;
  clock: Clock;
  logger: Logger;
  /** Called with all accepted keys when there is a new one. */
  onChange(keys: readonly ClusterKey[]): void;
}

/** Keys of the links of one gateway. */
export interface LinkKeys {
  /** Resolves when the first key is known, or after `stop`. */
  start(): Promise<void>;
  stop(): void;
}

/** Keys accepted at once; each restore of the store can add one. */
const MAX_KEYS = 4;
const KEY_ID_LENGTH = 16;

/** Gateways with different sets of keys find a common one by its id. */
function makeKey(hexSecret: string): ClusterKey {
  const secret = Buffer.from(hexSecret, 'hex');
  const digest = createHash('sha256').update('id').update(secret).digest('hex');
  return {id: digest.slice(0, KEY_ID_LENGTH), secret};
}

/** Creates keys that are not read before `start`. */
export function createLinkKeys(options: LinkKeysOptions): LinkKeys {
  const {objects, clock, logger} = options;
  /** The one stored last is first. */
  let secrets: string[] = [];
  let isCheckDue = false;
  let isChecking = false;
  let isStopped = false;

  const addSecret = (secret: string): void => {
    if (secrets[0] === secret) return;
    const former = secrets.filter(other => other !== secret);
    secrets = [secret, ...former].slice(0, MAX_KEYS);
    options.onChange(secrets.map(makeKey));
  };

  const runChecks = async (): Promise<void> => {
    if (isChecking) return;
    isChecking = true;
    while (isCheckDue && !isStopped) {
      isCheckDue = false;
      const stored = await ensureLinkKey(objects, secrets.at(0));
      stored.ifRight(addSecret);
      if (stored.isRight()) continue;
      isCheckDue = true;
      stored.ifLeft(({code, reason}) =>
        logger.log(LINK_KEY_FAILED, {code, reason}),
      );
      await clock.waitMs(options.retryDelayMs);
    }
    isChecking = false;
  };

  objects.observeRestores(() => {
    isCheckDue = true;
    if (secrets.length > 0) void runChecks();
  });

  return {
    start: () => {
      isCheckDue = true;
      return runChecks();
    },
    stop: () => {
      isStopped = true;
    },
  };
}
