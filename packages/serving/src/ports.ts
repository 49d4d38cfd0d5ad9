/** Interfaces that a platform implements for the gateways that run on it. */
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

/** Encodes and decodes the heads of requests and responses. */
export abstract class ExchangeFormat {
  /** Decodes the head of a caller's request; Left holds the reason on error. */
  abstract decodeRequest(
    method: string,
    target: string,
    rawHeaders: readonly string[],
  ): Either<string, CallerRequest>;

  /** Headers of the request to an upstream: alternating names and values. */
  abstract encodeUpstreamHeaders(
    request: CallerRequest,
    instructions: UpstreamInstructions,
  ): string[];

  /**
   * Classifies a response to the attempt `attemptId` by its head.
   *
   * @param isReused whether the response may belong to an earlier request on
   *     the same connection.
   */
  abstract resolveResponseClass(
    status: number,
    headers: ResponseHeaders,
    attemptId: string,
    isReused: boolean,
  ): ResponseClass;

  /** Requests a second that the upstream takes from all gateways together. */
  abstract readUpstreamLimit(headers: ResponseHeaders): number | undefined;

  /** Whether the upstream says that it leaves. */
  abstract isUpstreamLeaving(headers: ResponseHeaders): boolean;

  /** Time for which the upstream wants nothing from this gateway. */
  abstract readBackoffMs(
    status: number,
    headers: ResponseHeaders,
  ): number | undefined;

  /** Headers of the gateway's own responses: alternating names and values. */
  abstract encodeGatewayHeaders(
    attemptId: string | undefined,
    retryAfterMs: number | undefined,
  ): string[];
}

/** Operation of an order. */
export enum OrderOperation {
  Load = 'load',
  Unload = 'unload',
}

/** A command to an upstream to load or unload a model or an adapter. */
export interface UpstreamOrder {
  operation: OrderOperation;
  model: string;
  /** Adapter of the model to load or unload; undefined for the model itself. */
  adapter: string | undefined;
  /**
   * Number of orders that the upstream should have accepted so far. It rejects
   * the order if the number differs.
   */
  expectedSequence: number;
  /** Name of the gateway that holds the right to send orders. */
  holder: string;
  /** Fencing token of the holder. */
  token: number;
}

/** Result of sending an order. */
export enum OrderOutcome {
  /** The upstream has started to execute the order. */
  Accepted = 'accepted',
  /** The upstream is already in the requested state, or reached it at once. */
  Done = 'done',
  /** Another order is being executed, or `expectedSequence` differs. */
  Conflict = 'conflict',
  /** The upstream has seen a higher fencing token. */
  Fenced = 'fenced',
  /** The upstream can't interpret the order, or another upstream replied. */
  Refused = 'refused',
  /** No response: the order may have been accepted or may still be executed. */
  NoAnswer = 'no-answer',
}

/** Result of a health check that asks whether an upstream still runs. */
export enum LifeSign {
  /** It holds a connection or responded, whatever it said of its health. */
  Alive = 'alive',
  /** It accepts no connection, or another one has its address. */
  Ended = 'ended',
  /**
   * The connection was made and then lost: the upstream has too many, or
   * something else accepts connections in its place.
   */
  Unclear = 'unclear',
}

/** A sign of life and what it was inferred from. */
export interface LifeCheck {
  sign: LifeSign;
  reason: string;
}

/** Why a report was not read. */
export enum ReportFailureCode {
  /** Another upstream has the address, so that the asked one has ended. */
  OtherUpstream = 'other-upstream',
  /** It accepts no connection. */
  NotConnected = 'not-connected',
  /** No response was received, or not all of it. */
  NoAnswer = 'no-answer',
  /** A response was received that is no report. */
  Unreadable = 'unreadable',
}

/** A report that was not read. */
export interface ReportFailure {
  code: ReportFailureCode;
  reason: string;
}

/** Sends orders to upstreams and reads their reports. */
export abstract class UpstreamControl {
  abstract sendOrder(
    upstream: Upstream,
    order: UpstreamOrder,
  ): Promise<OrderOutcome>;

  abstract readReport(
    upstream: Upstream,
  ): Promise<Either<ReportFailure, UpstreamReport>>;

  /** Checks whether an upstream still runs, over a connection of its own. */
  abstract checkLife(
    upstream: Upstream,
    healthPath: string,
  ): Promise<LifeCheck>;
}

/** All interfaces between a gateway and its platform. */
export interface PlatformPorts {
  exchangeFormat: ExchangeFormat;
  configurations: Directory<ServingConfiguration>;
  upstreams: Directory<Upstream>;
  upstreamControl: UpstreamControl;
  /** Objects that the gateways share among themselves. */
  sharedObjects: SharedObjectStore;
  /** Path of the readiness check by the load balancer. */
  readinessPath: string;
}
