/**
 * Gives property tests a fixed seed, so that every run has the same result.
 * Set `FAST_CHECK_SEED` to use another seed.
 */
import fc from 'fast-check';

const DEFAULT_SEED = 20_261_204;

fc.configureGlobal({
  seed: Number(process.env.FAST_CHECK_SEED ?? DEFAULT_SEED),
});
