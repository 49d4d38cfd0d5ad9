/** Accepted versions of an object, as the platform keeps them. */
import type {ScenarioContext} from './context';

/** One accepted version. */
export interface AcceptedVersion {
  version: number;
  value: Record<string, unknown>;
  /** Time of the write on the platform's clock. */
  atMs: number;
}

interface WatchedEvent {
  type: string;
  name: string;
  version: number;
  value?: Record<string, unknown>;
}

/** Lists all versions of an object, the oldest first. */
export async function listVersions(
  {cluster}: ScenarioContext,
  kind: string,
  name: string,
): Promise<AcceptedVersion[]> {
  const {platform} = cluster;
  const path = `/v1/watch?kinds=${kind}&from=0&waitMs=0`;
  const history = (await platform.requestJson('GET', path)) as {
    events: WatchedEvent[];
  };
  const times = new Map(
    (await platform.listLog('write')).map(({version, atMs}) => [version, atMs]),
  );
  return history.events
    .filter(event => event.type === 'put' && event.name === name)
    .map(({version, value = {}}) => ({
      version,
      value,
      atMs: times.get(version) ?? 0,
    }));
}
