/** Variant: each entry host spends the whole rate of every account. */
import {Left, Right} from 'purify-ts';
import {asFunction} from 'awilix';
import type {ConfigurationReplica} from '@siskinplank/configuration';
import type {AccountLimiter} from '@siskinplank/limits';
import {ResourceKind} from '@siskinplank/resources';
import {runVariant} from './run-variant';

function createHostLimiter(
  configuration: ConfigurationReplica,
): AccountLimiter {
  const levels = new Map<string, {tokens: number; atMs: number}>();
  let lastId = 0;
  return {
    start: () => Promise.resolve(),
    stop: () => Promise.resolve(),
    settle: () => undefined,
    reserve: (account, tokens, nowMs) => {
      const found = configuration.getObject(
        ResourceKind.ClientAccount,
        account,
      );
      const {rateTokensPerSecond = 0, burstTokens = 0} = found?.value ?? {};
      const last = levels.get(account) ?? {tokens: burstTokens, atMs: nowMs};
      const gained = (rateTokensPerSecond * (nowMs - last.atMs)) / 1_000;
      const level = Math.min(burstTokens, last.tokens + gained);
      const isEnough = level >= tokens;
      const left = isEnough ? level - tokens : level;
      levels.set(account, {tokens: left, atMs: nowMs});
      lastId += 1;
      return Promise.resolve(
        isEnough
          ? Right({id: lastId, account, tokens})
          : Left({exceedsBurst: false, retryAfterMs: 1_000}),
      );
    },
  };
}

await runVariant({
  customizeEntry: container =>
    void container.register({
      limiter: asFunction(
        ({configuration}: {configuration: ConfigurationReplica}) =>
          createHostLimiter(configuration),
      ).singleton(),
    }),
});
