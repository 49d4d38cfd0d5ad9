/** The siskinplank binary: roles and operators' commands. */
export {runCommandLine} from './command-line';
export {ExitStatus} from './exit-status';
export {runEntry, runSide} from './roles/run';
export type {EntryContainer, EntryCradle} from './roles/entry';
export type {SideContainer, SideCradle} from './roles/side';
