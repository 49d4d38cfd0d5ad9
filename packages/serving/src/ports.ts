/** What a gateway needs from the platform it runs on. */
import type {Either} from 'purify-ts';
import type {ServingConfiguration} from './configuration';
import type {
  CallerRequest,
  ResponseMeaning,
  UpstreamInstructions,
} from './requests';
import type {Upstream} from './upstreams';

/** Headers of a response, by lower-case name. */
export type ResponseHeaders = ReadonlyMap<string, string>;

/** Names and formats of the requests that callers and upstreams exchange. */
export abstract class ExchangeFormat {
  /** Decodes the head of a caller's request; Left says what is malformed. */
  abstract decodeRequest(
    method: string,
    target: string,
    rawHeaders: readonly string[],
  ): Either<string, CallerRequest>;

  /** Head of the request for an upstream: name and value in turn. */
  abstract encodeUpstreamHeaders(
    request: CallerRequest,
    instructions: UpstreamInstructions,
  ): string[];

  /** Classifies the head of a response to `attemptId`. */
  abstract resolveMeaning(
    status: number,
    headers: ResponseHeaders,
    attemptId: string,
  ): ResponseMeaning;

  /** Headers of an answer made by the gateway: name and value in turn. */
  abstract encodeOwnHeaders(
    attemptId: string | undefined,
    retryAfterMs: number | undefined,
  ): string[];
}

/** Why the directory could not be read. */
export interface DirectoryFailure {
  reason: string;
  /** Whether the history asked for is gone, so that a new list is needed. */
  isHistoryLost: boolean;
}

/** An entry that could not be decoded. */
export interface MalformedEntry {
  name: string;
  reason: string;
}

/** Configuration or upstreams at one revision of the store. */
export interface DirectoryList<T> {
  revision: number;
  items: ReadonlyMap<string, T>;
  malformed: readonly MalformedEntry[];
}

/** Changes after a revision; an item that is undefined was removed. */
export interface DirectoryChanges<T> {
  revision: number;
  changes: ReadonlyArray<{name: string; item: T | undefined}>;
  malformed: readonly MalformedEntry[];
}

/** One kind of entries that operators or upstreams write and gateways read. */
export abstract class Directory<T> {
  abstract list(): Promise<Either<DirectoryFailure, DirectoryList<T>>>;

  /** Waits up to `waitMs` for changes after `revision`. */
  abstract watch(
    revision: number,
    waitMs: number,
  ): Promise<Either<DirectoryFailure, DirectoryChanges<T>>>;
}

/** The platform as a gateway sees it. */
export interface PlatformPorts {
  exchangeFormat: ExchangeFormat;
  configurations: Directory<ServingConfiguration>;
  upstreams: Directory<Upstream>;
  /** Path that the load balancer asks for readiness. */
  readinessPath: string;
}
