/** Fault proxies between the processes under test. */
import {failInvariant} from '@siskinplank/foundation';
import {ProxyDirection, createFaultProxy} from '@siskinplank/stand-ins';
import type {FaultProxy} from '@siskinplank/stand-ins';
import {findConnectionOwner} from './process-table';
import type {LinkFaults} from './types';

/** Proxies by the name of the process whose listener they stand before. */
export interface FaultNetwork {
  /** Returns the port that others use; the real one when there are no proxies. */
  addListener(name: string, port: number): Promise<number>;
  getProxy(name: string): FaultProxy;
  getLink(from: string, to: string): LinkFaults;
  partition(groupA: readonly string[], groupB: readonly string[]): void;
  heal(): void;
  close(): Promise<void>;
}

/** Creates an empty network; `listProcesses` names the running processes. */
export function createFaultNetwork(
  hasProxies: boolean,
  listProcesses: () => Iterable<{name: string; pid: number}>,
): FaultNetwork {
  const proxies = new Map<string, FaultProxy>();
  const getProxy = (name: string): FaultProxy => {
    const proxy = proxies.get(name);
    const known = [...proxies.keys()].join(', ');
    // Only an invalid scenario has an unknown name.
    return proxy ?? failInvariant(`no proxy of ${name}; known: ${known}`);
  };
  const getLink = (from: string, to: string): LinkFaults => ({
    applyFault: fault => getProxy(to).applyFault(fault, from),
  });
  const stallBetween = (from: string, to: string): void => {
    if (proxies.has(to)) {
      getLink(from, to).applyFault({stall: ProxyDirection.Both});
    }
  };
  return {
    addListener: async (name, targetPort) => {
      if (!hasProxies) return targetPort;
      const proxy: FaultProxy = await createFaultProxy({
        targetPort,
        identifySource: client =>
          findConnectionOwner(
            client.remotePort ?? 0,
            client.localPort ?? 0,
            listProcesses(),
          ),
      });
      proxies.set(name, proxy);
      return proxy.port;
    },
    getProxy,
    getLink,
    partition: (groupA, groupB) => {
      for (const a of groupA) {
        for (const b of groupB) {
          stallBetween(a, b);
          stallBetween(b, a);
        }
      }
    },
    heal: () => {
      for (const proxy of proxies.values()) proxy.clearFaults();
    },
    close: async () => {
      await Promise.all([...proxies.values()].map(proxy => proxy.close()));
    },
  };
}
