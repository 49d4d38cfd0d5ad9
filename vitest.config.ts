import {defineConfig} from 'vitest/config';

export default defineConfig({
  test: {
    include: ['packages/*/src/**/*.test.ts', 'platform/**/src/**/*.test.ts'],
    setupFiles: ['scripts/fast-check-seed.ts', 'scripts/skip-known-red.ts'],
    testTimeout: 30_000,
    hookTimeout: 30_000,
    pool: 'forks',
    poolOptions: {forks: {maxForks: 6}},
  },
});
