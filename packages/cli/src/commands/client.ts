/** Admin API client of the command line. */
import {readFileSync} from 'node:fs';
import {createClient} from '@connectrpc/connect';
import type {Client, Interceptor} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {Either, Left, Right} from 'purify-ts';
import {AdminService} from '@siskinplank/admin';

export type AdminClient = Client<typeof AdminService>;

/** Options of all commands that call the admin API. */
export interface ClientOptions {
  server?: string;
  tokenFile?: string;
}

/** Environment variables, which hold defaults of the options. */
export type Environment = Readonly<Record<string, string | undefined>>;

const SERVER_VARIABLE = 'SISKINPLANK_SERVER';
const TOKEN_FILE_VARIABLE = 'SISKINPLANK_TOKEN_FILE';

/** Creates the client, or returns a message about the faulty option. */
export function createAdminClient(
  options: ClientOptions,
  environment: Environment,
): Either<string, AdminClient> {
  const server = options.server ?? environment[SERVER_VARIABLE];
  const tokenFile = options.tokenFile ?? environment[TOKEN_FILE_VARIABLE];
  if (server === undefined) {
    return Left(`--server or ${SERVER_VARIABLE} is required`);
  }
  if (tokenFile === undefined) {
    return Left(`--token-file or ${TOKEN_FILE_VARIABLE} is required`);
  }
  return Either.encase(() => readFileSync(tokenFile, 'utf8').trim())
    .mapLeft(error => `--token-file: ${error.message}`)
    .chain(token => {
      const addToken: Interceptor = next => request => {
        request.header.set('authorization', `Bearer ${token}`);
        return next(request);
      };
      const transport = createConnectTransport({
        baseUrl: server,
        httpVersion: '1.1',
        useBinaryFormat: false,
        interceptors: [addToken],
      });
      return Right(createClient(AdminService, transport));
    });
}
