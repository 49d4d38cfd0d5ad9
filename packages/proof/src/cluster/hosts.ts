/** The host list that the harness registers at the platform. */
import type {PlatformHost} from '@siskinplank/stand-ins';
import type {StandInControl} from './types';

/** Hosts by name; each change is sent to the platform stand-in. */
export interface HostRegistry {
  addHost(host: PlatformHost): void;
  setHostState(name: string, state: 'live' | 'leaving'): Promise<void>;
  removeHost(name: string): Promise<void>;
  publishHosts(): Promise<void>;
}

/** Creates an empty registry. */
export function createHostRegistry(platform: StandInControl): HostRegistry {
  const hosts = new Map<string, PlatformHost>();
  const publishHosts = async (): Promise<void> => {
    const body = {hosts: [...hosts.values()]};
    await platform.requestJson('POST', '/control/hosts', body);
  };
  return {
    addHost: host => void hosts.set(host.name, host),
    setHostState: async (name, state) => {
      const host = hosts.get(name);
      if (host === undefined) return;
      hosts.set(name, {...host, state});
      await publishHosts();
    },
    removeHost: async name => {
      hosts.delete(name);
      await publishHosts();
    },
    publishHosts,
  };
}
