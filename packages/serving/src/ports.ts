/** What a gateway needs from the platform it runs on. */
import type {Directory, SharedObjectStore} from '@siskinplank/directory';
import type {Either} from 'purify-ts';
import type {ServingConfiguration} from './configuration';
import type {
  CallerRequest,
  ResponseClass,
  UpstreamInstructions,
} from './requests';
import type {Upstream, UpstreamReport} from './upstreams';

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
  abstract resolveResponseClass(
    status: number,
    headers: ResponseHeaders,
    attemptId: string,
  ): ResponseClass;

  /** Headers of an answer made by the gateway: name and value in turn. */
  abstract encodeGatewayHeaders(
    attemptId: string | undefined,
    retryAfterMs: number | undefined,
  ): string[];
}

/** What an order asks an upstream for. */
export enum OrderOperation {
  Load = 'load',
  Unload = 'unload',
}

/** An order to an upstream. */
export interface UpstreamOrder {
  operation: OrderOperation;
  model: string;
  /** The order is about this adapter of the model. */
  adapter: string | undefined;
  /** Orders that the upstream has accepted so far; others void the order. */
  expectedSequence: number;
  holder: string;
  /** Fencing token of the holder. */
  token: number;
}

/** What became of an order. */
export enum OrderOutcome {
  /** It is being carried out. */
  Accepted = 'accepted',
  /** It already holds, or was carried out at once. */
  Done = 'done',
  /** Another order is under way, or the sequence differs. */
  Conflict = 'conflict',
  /** A higher fencing token is in use. */
  Fenced = 'fenced',
  /** The order cannot be understood there, or another upstream answered. */
  Refused = 'refused',
  /** It may have been accepted, or may be carried out later. */
  NoAnswer = 'no-answer',
}

/** Orders and reports of upstreams. */
export abstract class UpstreamControl {
  abstract sendOrder(
    upstream: Upstream,
    order: UpstreamOrder,
  ): Promise<OrderOutcome>;

  /** The load of an upstream; Left says why there is none. */
  abstract readReport(
    upstream: Upstream,
  ): Promise<Either<string, UpstreamReport>>;
}

/** The platform as a gateway sees it. */
export interface PlatformPorts {
  exchangeFormat: ExchangeFormat;
  configurations: Directory<ServingConfiguration>;
  upstreams: Directory<Upstream>;
  upstreamControl: UpstreamControl;
  /** Objects that the gateways share among themselves. */
  sharedObjects: SharedObjectStore;
  /** Path that the load balancer asks for readiness. */
  readinessPath: string;
}
