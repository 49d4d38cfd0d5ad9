/** Starts a role with parts of the product replaced by unprotected ones. */
import {parseArgs} from 'node:util';
import {runEntry, runSide} from '@siskinplank/cli';
import type {EntryContainer, SideContainer} from '@siskinplank/cli';

/** Replacements in each role. */
export interface Variant {
  customizeEntry?: (container: EntryContainer) => void;
  customizeSide?: (container: SideContainer) => void;
}

/** Runs the role named on the command line, as the product's binary does. */
export async function runVariant(variant: Variant): Promise<void> {
  const {positionals, values} = parseArgs({
    allowPositionals: true,
    options: {settings: {type: 'string'}},
  });
  process.exit(
    await (positionals[0] === 'entry'
      ? runEntry(values.settings, variant.customizeEntry)
      : runSide(values.settings, variant.customizeSide)),
  );
}
