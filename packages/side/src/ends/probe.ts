/** Finds out whether the upstream process still exists. */
import {connect} from 'node:net';
import type {NetworkAddress} from '@siskinplank/resources';
import {
  MAX_UPSTREAM_PROBES,
  PROBE_OPEN_MS,
  PROBE_TIMEOUT_MS,
} from '../constants';

/** What became of one connection. */
enum ProbeResult {
  /** No process listens at the address. */
  Refused = 'refused',
  /** Accepted and closed at once. */
  Closed = 'closed',
  /** Accepted and kept open, or no reply. */
  Open = 'open',
}

function probeOnce({host, port}: NetworkAddress): Promise<ProbeResult> {
  return new Promise(resolve => {
    const socket = connect({host, port, timeout: PROBE_TIMEOUT_MS});
    const settle = (result: ProbeResult): void => {
      socket.destroy();
      resolve(result);
    };
    socket.once('connect', () => socket.setTimeout(PROBE_OPEN_MS));
    socket.once('timeout', () => settle(ProbeResult.Open));
    socket.once('end', () => settle(ProbeResult.Closed));
    socket.once('error', (error: NodeJS.ErrnoException) =>
      settle(
        error.code === 'ECONNREFUSED'
          ? ProbeResult.Refused
          : ProbeResult.Closed,
      ),
    );
    socket.resume();
  });
}

/**
 * Whether the upstream's host refuses connections to its port, as it does when
 * no process listens there. An open connection or silence proves nothing. When
 * a process is killed, its connections may be closed before its listener, which
 * then resets those that it has accepted meanwhile.
 */
export async function probeRefusal(address: NetworkAddress): Promise<boolean> {
  for (let count = 0; count < MAX_UPSTREAM_PROBES; count += 1) {
    const result = await probeOnce(address);
    if (result !== ProbeResult.Closed) return result === ProbeResult.Refused;
  }
  return false;
}
