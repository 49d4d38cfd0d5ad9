/** Decides whether a caller request is served, and by which service. */
import type {Random} from '@siskinplank/foundation';
import type {CallerRequest, ClientAccount, Route} from '@siskinplank/serving';
import type {OriginSource} from '@siskinplank/stream-origins';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {ConfigurationReplica} from './configuration-replica';
import {RefusalCode} from './refusals';
import type {Refusal} from './refusals';

/** What `createAdmission` needs. */
export interface AdmissionOptions {
  configuration: Pick<
    ConfigurationReplica,
    'getTable' | 'getAgeMs' | 'mayBeLost'
  >;
  /** Age of the configuration from which keys are not trusted. */
  maxConfigurationAgeMs: number;
  random: Random;
}

/** Route, account and service of an admitted request. */
export interface AdmittedTarget {
  route: Route;
  /** Undefined if the route needs no key. */
  account: ClientAccount | undefined;
  service: string;
  /**
   * Software version that began the stream that the request goes on with;
   * undefined if any version may run it.
   */
  softwareVersion: string | undefined;
  /** How that version is known. */
  originSource?: OriginSource;
}

/** Admits caller requests by the configuration in force. */
export interface Admission {
  admit(request: CallerRequest, nowMs: number): Either<Refusal, AdmittedTarget>;
}

/** Retry-After while the process or its configuration is not ready. */
const NOT_READY_RETRY_MS = 500;

const NOT_READY: Refusal = {
  code: RefusalCode.NotReady,
  retryAfterMs: NOT_READY_RETRY_MS,
};

/** Time at which the caller's deadline or the route's timeout ends. */
export function computeDeadlineAtMs(
  {deadlineMs = Infinity}: CallerRequest,
  {timeoutMs}: Route,
  arrivedAtMs: number,
): number {
  return arrivedAtMs + Math.min(deadlineMs, timeoutMs);
}

/** Creates the admission. */
export function createAdmission(options: AdmissionOptions): Admission {
  const {configuration, random} = options;

  /** Picks one of the route's services at random, by weight. */
  const pickService = (route: Route): string | undefined => {
    const total = route.services.reduce((sum, {weight}) => sum + weight, 0);
    let remainder = random.getNext() * total;
    for (const {service, weight} of route.services) {
      remainder -= weight;
      if (remainder < 0) return service;
    }
    return route.services.at(-1)?.service;
  };

  return {
    admit: (request, nowMs) => {
      const table = configuration.getTable();
      if (table === undefined) return Left(NOT_READY);
      // The peers may apply a newer version, with other routes and keys.
      const mayBeLost = configuration.mayBeLost(nowMs);
      const route = table.findRoute(request.hostName, request.target);
      if (route === undefined) {
        return Left(mayBeLost ? NOT_READY : {code: RefusalCode.NoRoute});
      }
      const service = pickService(route);
      if (service === undefined) return Left({code: RefusalCode.NoUpstream});
      // Known later, for requests that resume a stream.
      const softwareVersion = undefined;
      const needsKey =
        table.configuration.accounts !== undefined && !route.isPublic;
      if (!needsKey)
        return Right({route, account: undefined, service, softwareVersion});
      const isFresh =
        configuration.getAgeMs(nowMs) < options.maxConfigurationAgeMs;
      if (!isFresh || mayBeLost) return Left(NOT_READY);
      const account =
        request.key === undefined ? undefined : table.findAccount(request.key);
      if (account === undefined) return Left({code: RefusalCode.UnknownKey});
      return Right({route, account, service, softwareVersion});
    },
  };
}
