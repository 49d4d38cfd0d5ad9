/** Secrets, kept in separate files that the settings refer to. */
import {createHash} from 'node:crypto';
import {Either, Left, Right} from 'purify-ts';
import {readReferencedFile} from './load';
import type {SettingsProblem} from './load';
import type {EntrySettings, LinkedSettings} from './types';

/** A cluster key with the id that identifies it in handshakes. */
export interface LoadedClusterKey {
  id: string;
  secret: Uint8Array;
}

/** Link certificate with its key and authority, in PEM. */
export interface LoadedTls {
  certificate: string;
  privateKey: string;
  certificateAuthority: string;
}

/** Secrets that both roles need. */
export interface LinkSecrets {
  clusterKeys: LoadedClusterKey[];
  tls: LoadedTls | undefined;
}

/** Secrets that only the entry role needs. */
export interface EntrySecrets {
  hashKey: Uint8Array;
  bootstrapToken: string | undefined;
}

const MIN_SECRET_BYTES = 16;
const KEY_ID_LENGTH = 12;

type Loaded<T> = Either<SettingsProblem[], T>;

function loadSecret(
  file: string,
  key: string,
  path: string,
): Loaded<Uint8Array> {
  return readReferencedFile(file, key, path).chain(text => {
    const secret = Buffer.from(text.trim(), 'utf8');
    if (secret.length >= MIN_SECRET_BYTES) return Right(secret);
    const expected = `a file with a secret of at least ${MIN_SECRET_BYTES} bytes`;
    return Left([{file, line: 1, key, expected}]);
  });
}

/** Derives the id from the secret, so that key files need no ids. */
function makeClusterKey(secret: Uint8Array): LoadedClusterKey {
  const digest = createHash('sha256').update('id').update(secret).digest('hex');
  return {id: digest.slice(0, KEY_ID_LENGTH), secret};
}

function loadTls(
  file: string,
  settings: LinkedSettings,
): Loaded<LoadedTls | undefined> {
  const {tls} = settings.link;
  if (tls === undefined) return Right(undefined);
  const read = (key: keyof typeof tls): Loaded<string> =>
    readReferencedFile(file, `link.tls.${key}`, tls[key]);
  return read('certificateFile').chain(certificate =>
    read('privateKeyFile').chain(privateKey =>
      read('certificateAuthorityFile').map(certificateAuthority => ({
        certificate,
        privateKey,
        certificateAuthority,
      })),
    ),
  );
}

/** Reads the cluster keys and the link certificate. */
export function loadLinkSecrets(
  file: string,
  settings: LinkedSettings,
): Loaded<LinkSecrets> {
  const keys = Either.sequence(
    settings.link.clusterKeyFiles.map((path, index) =>
      loadSecret(file, `link.clusterKeyFiles.${index}`, path),
    ),
  );
  return keys.chain(secrets =>
    loadTls(file, settings).map(tls => ({
      clusterKeys: secrets.map(makeClusterKey),
      tls,
    })),
  );
}

/** Reads the key hash secret and the bootstrap operator token. */
export function loadEntrySecrets(
  file: string,
  settings: EntrySettings,
): Loaded<EntrySecrets> {
  const {keyHashSecretFile, bootstrapOperatorTokenFile} = settings;
  const loadToken = (): Loaded<string | undefined> => {
    if (bootstrapOperatorTokenFile === undefined) return Right(undefined);
    const key = 'bootstrapOperatorTokenFile';
    return loadSecret(file, key, bootstrapOperatorTokenFile).map(token =>
      Buffer.from(token).toString('utf8'),
    );
  };
  return loadSecret(file, 'keyHashSecretFile', keyHashSecretFile).chain(
    hashKey => loadToken().map(bootstrapToken => ({hashKey, bootstrapToken})),
  );
}
