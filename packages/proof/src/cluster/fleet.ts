/** Processes by name: start, signals, restart and stop. */
import {createSystemClock, failInvariant} from '@siskinplank/foundation';
import type {ManagedProcess, ProcessExit} from './managed-process';

/** Order in which processes are stopped. */
export enum FleetRank {
  Entry,
  Side,
  StandIn,
}

/** Starts a process, at its start and at each restart. */
export type ProcessStarter = () => ManagedProcess | Promise<ManagedProcess>;

/** All processes of a system under test. */
export interface Fleet {
  startProcess(
    name: string,
    rank: FleetRank,
    start: ProcessStarter,
  ): Promise<ManagedProcess>;
  getProcess(name: string): ManagedProcess;
  listRunning(): ManagedProcess[];
  kill(name: string): Promise<ProcessExit>;
  term(name: string): Promise<ProcessExit>;
  restart(name: string): Promise<void>;
  /** Returns how entry and side processes ended. */
  stop(): Promise<ReadonlyMap<string, ProcessExit>>;
}

/** Above the longest drain of a default settings file. */
const STOP_TIMEOUT_MS = 40_000;

interface FleetMember {
  rank: FleetRank;
  start: ProcessStarter;
  current: ManagedProcess;
}

/** Ends a process by SIGTERM, and by SIGKILL when that takes too long. */
async function stopProcess(managed: ManagedProcess): Promise<ProcessExit> {
  managed.sendSignal('SIGCONT');
  managed.sendSignal('SIGTERM');
  const timer = createSystemClock().startTimer(STOP_TIMEOUT_MS, () =>
    managed.sendSignal('SIGKILL'),
  );
  const exit = await managed.waitForExit();
  timer.cancel();
  return exit;
}

/** Creates an empty fleet. */
export function createFleet(): Fleet {
  const members = new Map<string, FleetMember>();
  const getMember = (name: string): FleetMember => {
    const known = [...members.keys()].join(', ');
    return (
      members.get(name) ?? failInvariant(`no process ${name}; known: ${known}`)
    );
  };
  return {
    startProcess: async (name, rank, start) => {
      const current = await start();
      members.set(name, {rank, start, current});
      return current;
    },
    getProcess: name => getMember(name).current,
    listRunning: () =>
      [...members.values()]
        .map(({current}) => current)
        .filter(managed => managed.isRunning()),
    kill: name => {
      const {current} = getMember(name);
      current.sendSignal('SIGKILL');
      return current.waitForExit();
    },
    term: name => {
      const {current} = getMember(name);
      current.sendSignal('SIGTERM');
      return current.waitForExit();
    },
    restart: async name => {
      const member = getMember(name);
      if (member.current.isRunning()) await stopProcess(member.current);
      member.current = await member.start();
    },
    stop: async () => {
      const exits = new Map<string, ProcessExit>();
      const ranks = [FleetRank.Entry, FleetRank.Side, FleetRank.StandIn];
      for (const rank of ranks) {
        const stopped = [...members]
          .filter(([, member]) => member.rank === rank)
          .map(async ([name, {current}]) => {
            const exit = await stopProcess(current);
            if (rank !== FleetRank.StandIn) exits.set(name, exit);
          });
        await Promise.all(stopped);
      }
      return exits;
    },
  };
}
