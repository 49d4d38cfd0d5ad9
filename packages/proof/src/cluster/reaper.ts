/**
 * Ends the processes of a harness that was killed before it cleaned up. Reads lines
 * `add PID START` and `remove PID` and acts when its input ends.
 */
import {createInterface} from 'node:readline';
import {readStartTicks} from './process-table';

const tracked = new Map<number, string>();

function stopOrphans(): void {
  for (const [pid, startTicks] of tracked) {
    // A reused pid has another start time and must not be touched.
    if (readStartTicks(pid) === startTicks) process.kill(pid, 'SIGKILL');
  }
}

const lines = createInterface({input: process.stdin});
lines.on('line', line => {
  const [command, pid, startTicks] = line.split(' ');
  if (command === 'add') tracked.set(Number(pid), startTicks);
  else tracked.delete(Number(pid));
});
lines.on('close', stopOrphans);
