/** Entry point of the siskinplank binary. */
import {runCommandLine} from './command-line';

// Node.js 20 can loop forever when it closes the handles of aborted sockets
// at exit; an explicit exit skips that step. No work is pending here.
void runCommandLine(process.argv, process.env).then(status =>
  process.exit(status),
);
