/** Origins of streams of several gateways before one store, in one process. */
import type {SharedObjectStore} from '@siskinplank/directory';
import {createManualClock, waitForPoll} from '@siskinplank/foundation';
import type {Logger, ManualClock} from '@siskinplank/foundation';
import {MessageType} from '@siskinplank/messages';
import type {Message} from '@siskinplank/messages';
import {RequestKind, UpstreamState} from '@siskinplank/serving';
import type {
  CallerRequest,
  ServingConfiguration,
  Upstream,
} from '@siskinplank/serving';
import {
  OriginSource,
  OriginVerdictType,
  listOrigins,
} from '@siskinplank/stream-origins';
import type {OriginVerdict} from '@siskinplank/stream-origins';
import {MemorySharedObjectStore} from '@siskinplank/testing';
import type {AdmittedTarget} from '../admission';
import {createStreamOrigins} from '../stream-origins';
import type {StreamOrigins} from '../stream-origins';
import {FakeDirectory} from './fake-directory';

/** Service of the default target. */
export const SERVICE = 's';
/** Several periods of messages and writes. */
const SPREAD_MS = 2_000;
const STEP_MS = 100;
/** Granularity of the end of a cut. */
const CUT_POLL_MS = 10;

const SILENT_LOGGER: Logger = {
  log: () => undefined,
  withFields: () => SILENT_LOGGER,
};

/** What a request that resumes a stream was told. */
export interface ResumedVerdict {
  verdict: OriginVerdict | undefined;
  waitedMs: number;
}

/** Gateways, the store, and the messages between them. */
export interface OriginFleet {
  objects: MemorySharedObjectStore;
  /** Registrations of the upstreams, as the store has them. */
  directory: FakeDirectory<Upstream>;
  /** Configurations, as the store has them. */
  configurations: FakeDirectory<ServingConfiguration>;
  /** When the store answered again. */
  outageEndMs: number;
  clock: ManualClock;
  /** Gateways that receive messages, by name. */
  gateways: Map<string, StreamOrigins>;
  /** Attempts of the origins in all messages, with repetitions. */
  sentAttemptIds: string[];
  /** Gateways whose calls do not reach the store. */
  cut: Set<string>;
  /** Gateways that the answers of the store do not reach. */
  unanswered: Set<string>;
  countMessages(): number;
  /** Lets messages, calls and timers of `forMs` run. */
  run(forMs?: number): Promise<void>;
  startGateway(name: string, versions: readonly string[]): StreamOrigins;
  killAll(): void;
}

/** Makes a route whose streams callers may resume, at its first service. */
export function makeTarget(...services: string[]): AdmittedTarget {
  const route = {
    name: 'r',
    kind: RequestKind.Stream,
    isResumable: true,
    services: services.map(service => ({service, weight: 1})),
  };
  return {service: services[0], route} as unknown as AdmittedTarget;
}

/** Target of requests that name no other one. */
export const defaultTarget = makeTarget(SERVICE);

/** Makes a request; with a second attempt, one that resumes its stream. */
export function makeRequest(
  attemptId: string,
  resumedAttemptId?: string,
): CallerRequest {
  const lastEventId = resumedAttemptId === undefined ? undefined : '3';
  return {attemptId, resumedAttemptId, lastEventId} as CallerRequest;
}

/** Lists upstreams of the default service, one of each version. */
export function listUpstreams(versions: readonly string[]): Upstream[] {
  return versions.map(
    softwareVersion =>
      ({
        service: SERVICE,
        softwareVersion,
        state: UpstreamState.Ready,
      }) as Upstream,
  );
}

/** Makes the verdict on a stream of the default service. */
export function makeKnown(
  softwareVersion: string,
  source = OriginSource.Record,
): OriginVerdict {
  const origin = {service: SERVICE, softwareVersion};
  return {type: OriginVerdictType.Known, origin, source};
}

/** Makes the verdict on a stream that no record names. */
export function makeOnly(softwareVersion: string): OriginVerdict {
  return makeKnown(softwareVersion, OriginSource.OnlyVersion);
}

/** Begins a stream of the default service. */
export function startStream(
  origins: StreamOrigins,
  attemptId: string,
  softwareVersion: string,
): void {
  const origin = {service: SERVICE, softwareVersion};
  origins.recordBegun(makeRequest(attemptId), origin);
}

/** Creates a fleet without gateways. */
export function createOriginFleet(): OriginFleet {
  const objects = new MemorySharedObjectStore();
  const directory = new FakeDirectory<Upstream>();
  const configurations = new FakeDirectory<ServingConfiguration>();
  const clock = createManualClock();
  const gateways = new Map<string, StreamOrigins>();
  const sentAttemptIds: string[] = [];
  const cut = new Set<string>();
  const unanswered = new Set<string>();
  let messageCount = 0;

  const sendCall = async <T>(
    name: string,
    call: () => Promise<T>,
  ): Promise<T> => {
    while (cut.has(name)) await clock.waitMs(CUT_POLL_MS);
    const answer = await call();
    while (unanswered.has(name)) await clock.waitMs(CUT_POLL_MS);
    return answer;
  };

  /** The store as a gateway reaches it. */
  const reachObjects = (name: string): SharedObjectStore =>
    new Proxy<SharedObjectStore>(objects, {
      get: (target, key: keyof SharedObjectStore) => {
        const method = target[key].bind(target) as (
          ...values: unknown[]
        ) => unknown;
        if (!/Objects?$/.test(key)) return method;
        return (...values: unknown[]) =>
          sendCall(name, () => Promise.resolve(method(...values)));
      },
    });

  const startGateway = (
    name: string,
    versions: readonly string[],
  ): StreamOrigins => {
    const deliver = (to: string, message: Message): boolean => {
      messageCount += 1;
      if (message.type === MessageType.StreamOrigins) {
        const sent = listOrigins(message.origins);
        sentAttemptIds.push(...sent.map(([attemptId]) => attemptId));
      }
      return gateways.get(to)?.handleMessage(name, message) ?? false;
    };
    const origins = createStreamOrigins({
      ports: {
        sharedObjects: reachObjects(name),
        upstreams: {list: () => sendCall(name, () => directory.list())},
        configurations: {
          list: () => sendCall(name, () => configurations.list()),
        },
      },
      storeHealth: {getOutageEndMs: () => fleet.outageEndMs},
      ownName: name,
      retryDelayMs: 50,
      clock,
      logger: SILENT_LOGGER,
      getFleet: () => ({
        registry: {
          listOthers: () => Array(Math.max(0, gateways.size - 1)) as never[],
        },
        peers: {
          listResponsive: () =>
            [...gateways.keys()]
              .filter(other => other !== name)
              .map(other => ({name: other})),
        },
        // The first by name of those that receive messages.
        isOwner: () => [...gateways.keys()].sort()[0] === name,
        sendTo: deliver,
        sendToAll: message => {
          for (const other of gateways.keys()) {
            if (gateways.get(name) === origins && other !== name) {
              deliver(other, message);
            }
          }
        },
      }),
    });
    gateways.set(name, origins);
    origins.start();
    origins.observeUpstreams(listUpstreams(versions), clock.getNowMs());
    return origins;
  };

  const fleet: OriginFleet = {
    objects,
    directory,
    configurations,
    outageEndMs: -Infinity,
    clock,
    gateways,
    sentAttemptIds,
    cut,
    unanswered,
    countMessages: () => messageCount,
    run: async (forMs = SPREAD_MS) => {
      const stepMs = Math.min(forMs, STEP_MS);
      for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += stepMs) {
        await waitForPoll();
        await clock.runFor(stepMs);
      }
      await waitForPoll();
    },
    startGateway,
    killAll: () => {
      for (const origins of gateways.values()) origins.stop();
      gateways.clear();
    },
  };
  return fleet;
}

/** Resolves a request that is read now, as the request handler does. */
export function resumeStream(
  {clock}: Pick<OriginFleet, 'clock'>,
  origins: StreamOrigins,
  resumedAttemptId: string,
  target = defaultTarget,
): Promise<ResumedVerdict> {
  const sinceMs = clock.getNowMs();
  const request = makeRequest('later', resumedAttemptId);
  return new Promise(resolve => {
    const findOrigin = (): void => {
      const nowMs = clock.getNowMs();
      const verdict = origins.findOrigin(request, target, sinceMs, nowMs);
      const isWaiting =
        verdict?.type === OriginVerdictType.Unknown &&
        origins.awaitRead(sinceMs, nowMs, findOrigin);
      if (!isWaiting) resolve({verdict, waitedMs: nowMs - sinceMs});
    };
    findOrigin();
  });
}
