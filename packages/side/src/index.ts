/** Role that runs beside each upstream. */
export {createMemoryLedger} from './memory/ledger';
export type {LedgerLimits, MemoryLedger} from './memory/ledger';
export {createSideProcess} from './process';
export type {SideOptions, SideProcess, StartError} from './types';
