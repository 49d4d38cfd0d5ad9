/** Variant: a planned stop waits for no open request. */
import {replacePart} from './replace-part';
import {runVariant} from './run-variant';

const drain = (): Promise<void> => Promise.resolve();

await runVariant({
  customizeEntry: container =>
    replacePart(container, 'hooks', hooks => ({...hooks, drain})),
  customizeSide: container =>
    replacePart(container, 'hooks', hooks => ({...hooks, drain})),
});
