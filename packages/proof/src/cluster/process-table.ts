/** Facts about own child processes, read from /proc. */
import {readFileSync, readdirSync, readlinkSync} from 'node:fs';

const START_TICKS_INDEX = 19;
const LOCAL_ADDRESS_INDEX = 1;
const REMOTE_ADDRESS_INDEX = 2;
const INODE_INDEX = 9;
const HEX = 16;

/** Start time of a process; another process may get the same pid later. */
export function readStartTicks(pid: number): string | undefined {
  try {
    const text = readFileSync(`/proc/${pid}/stat`, 'utf8');
    // The command name may hold spaces; the fields after it do not.
    const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
    return fields[START_TICKS_INDEX];
  } catch {
    return undefined;
  }
}

function parsePort(address: string): number {
  return parseInt(address.slice(address.indexOf(':') + 1), HEX);
}

/** Inode of the client socket of a loopback connection. */
function findClientInode(
  clientPort: number,
  serverPort: number,
): string | undefined {
  const rows = readFileSync('/proc/net/tcp', 'utf8').split('\n').slice(1);
  for (const row of rows) {
    const fields = row.trim().split(/\s+/);
    if (fields.length <= INODE_INDEX) continue;
    if (parsePort(fields[LOCAL_ADDRESS_INDEX]) !== clientPort) continue;
    if (parsePort(fields[REMOTE_ADDRESS_INDEX]) !== serverPort) continue;
    return fields[INODE_INDEX];
  }
  return undefined;
}

function hasSocket(pid: number, inode: string): boolean {
  const directory = `/proc/${pid}/fd`;
  try {
    return readdirSync(directory).some(descriptor => {
      try {
        return (
          readlinkSync(`${directory}/${descriptor}`) === `socket:[${inode}]`
        );
      } catch {
        return false;
      }
    });
  } catch {
    return false;
  }
}

/** Finds which of the given processes opened a loopback connection. */
export function findConnectionOwner(
  clientPort: number,
  serverPort: number,
  processes: Iterable<{name: string; pid: number}>,
): string | undefined {
  const inode = findClientInode(clientPort, serverPort);
  if (inode === undefined) return undefined;
  for (const {name, pid} of processes) {
    if (hasSocket(pid, inode)) return name;
  }
  return undefined;
}
