/** Runs a role with its settings file. */
import type {ExitStatus} from '../exit-status';
import {createEntryContainer} from './entry';
import type {EntryContainer} from './entry';
import {runContainer} from './run-container';
import {createSideContainer} from './side';
import type {SideContainer} from './side';

/** Runs the entry role; `customize` may replace dependencies first. */
export function runEntry(
  file: string | undefined,
  customize: (container: EntryContainer) => void = () => undefined,
): Promise<ExitStatus> {
  return runContainer(file, createEntryContainer, customize);
}

/** Runs the side role; `customize` may replace dependencies first. */
export function runSide(
  file: string | undefined,
  customize: (container: SideContainer) => void = () => undefined,
): Promise<ExitStatus> {
  return runContainer(file, createSideContainer, customize);
}
