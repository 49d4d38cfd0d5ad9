/** Converts replica entries to and from the entries of messages. */
import type {Logger} from '@siskinplank/foundation';
import type {ConfigEntry} from '@siskinplank/messages';
import {CONFIGURATION_KINDS, parseResource} from '@siskinplank/resources';
import type {ConfigurationKind} from '@siskinplank/resources';
import {ENTRY_MALFORMED} from './events';
import type {ReplicaEntry} from './replica-state';

/** Converts an entry for a message; a removal has no value. */
export function convertEntry(entry: ReplicaEntry): ConfigEntry {
  const {kind, name, version, object} = entry;
  return object === undefined
    ? {kind, name, version}
    : {kind, name, version, value: object.value};
}

/**
 * Parses an entry from a peer; undefined for an unknown kind. A value that does
 * not match its schema becomes a removal, as it does when read from the
 * platform.
 */
export function parseEntry(
  entry: ConfigEntry,
  logger: Logger,
): ReplicaEntry | undefined {
  const {name, version, value} = entry;
  const kind = CONFIGURATION_KINDS.find(known => known === entry.kind) as
    ConfigurationKind | undefined;
  if (kind === undefined) return undefined;
  if (value === undefined || value === null) return {kind, name, version};
  return parseResource(kind, value)
    .ifLeft(error =>
      logger.log(ENTRY_MALFORMED, {
        kind,
        name,
        problems: error.problems.join('; ').slice(0, 300),
      }),
    )
    .map<ReplicaEntry>(checked => ({
      kind,
      name,
      version,
      object: {kind, name, version, value: checked},
    }))
    .orDefault({kind, name, version});
}
