/** Settings and secret files of the processes under test. */
import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {makeSecureId} from '@siskinplank/foundation';
import {stringify} from 'yaml';
import type {ClusterSecrets, SettingsOverride} from './types';

const SECRET_BYTES = 32;
const PRIVATE_MODE = 0o600;

/** Addresses that go into a settings file. */
export interface CommonSettingsInput {
  name: string;
  failureDomain: string;
  region: string;
  linkPort: number;
  /** Port of the proxy before the link listener. */
  advertisedPort: number;
  platformPort: number;
  collectorPort: number | undefined;
}

/** Writes files to a directory of its own. */
export interface SettingsWriter {
  secrets: ClusterSecrets;
  writeEntry(
    input: CommonSettingsInput & {callerPort: number; adminPort: number},
    overrides: ReadonlyArray<SettingsOverride | undefined>,
  ): string;
  writeSide(
    input: CommonSettingsInput & {httpPort: number; upstream: string},
    overrides: ReadonlyArray<SettingsOverride | undefined>,
  ): string;
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Merges maps deeply; other values are replaced. */
export function mergeSettings(
  base: SettingsOverride,
  override: SettingsOverride = {},
): SettingsOverride {
  const merged: Record<string, unknown> = {...base};
  for (const [key, value] of Object.entries(override)) {
    const current = merged[key];
    merged[key] =
      isRecord(current) && isRecord(value)
        ? mergeSettings(current, value)
        : value;
  }
  return merged;
}

/** Creates the directory's secret files and a writer of settings files. */
export function createSettingsWriter(directory: string): SettingsWriter {
  mkdirSync(directory, {recursive: true});
  const secrets: ClusterSecrets = {
    clusterKey: makeSecureId(SECRET_BYTES),
    keyHashSecret: makeSecureId(SECRET_BYTES),
    bootstrapToken: makeSecureId(SECRET_BYTES),
  };
  const writeSecret = (name: string, secret: string): string => {
    const file = join(directory, name);
    writeFileSync(file, `${secret}\n`, {mode: PRIVATE_MODE});
    return file;
  };
  const clusterKeyFile = writeSecret('cluster.key', secrets.clusterKey);
  const hashFile = writeSecret('key-hash.secret', secrets.keyHashSecret);
  const tokenFile = writeSecret('bootstrap.token', secrets.bootstrapToken);

  const makeCommon = (input: CommonSettingsInput): SettingsOverride => ({
    process: {
      name: input.name,
      failureDomain: input.failureDomain,
      region: input.region,
    },
    link: {
      host: '127.0.0.1',
      port: input.linkPort,
      clusterKeyFiles: [clusterKeyFile],
      ...(input.advertisedPort === input.linkPort
        ? {}
        : {advertise: {host: '127.0.0.1', port: input.advertisedPort}}),
    },
    platform: {host: '127.0.0.1', port: input.platformPort},
    ...(input.collectorPort === undefined
      ? {}
      : {
          tracing: {
            endpoint: `http://127.0.0.1:${input.collectorPort}/v1/traces`,
          },
        }),
  });
  const writeSettings = (
    name: string,
    settings: SettingsOverride,
    overrides: ReadonlyArray<SettingsOverride | undefined>,
  ): string => {
    const file = join(directory, `${name}.yaml`);
    const merged = overrides.reduce<SettingsOverride>(
      (base, override) => mergeSettings(base, override),
      settings,
    );
    writeFileSync(file, stringify(merged));
    return file;
  };
  return {
    secrets,
    writeEntry: (input, overrides) =>
      writeSettings(
        input.name,
        {
          role: 'entry',
          ...makeCommon(input),
          caller: {host: '127.0.0.1', port: input.callerPort},
          admin: {host: '127.0.0.1', port: input.adminPort},
          // No load balancer stands before the entry processes.
          drain: {noticeMs: 0},
          keyHashSecretFile: hashFile,
          bootstrapOperatorTokenFile: tokenFile,
        },
        overrides,
      ),
    writeSide: (input, overrides) =>
      writeSettings(
        input.name,
        {
          role: 'side',
          ...makeCommon(input),
          upstream: input.upstream,
          http: {host: '127.0.0.1', port: input.httpPort},
        },
        overrides,
      ),
  };
}
