/**
 * Orders of this gateway while it is the one that gives them, and what the
 * others tell of theirs. Every gateway runs it; one at a time has a term.
 */
import type {UpstreamTable} from '@siskinplank/dispatch';
import {createOrderLeadership} from '@siskinplank/fleet';
import type {OrderLeadership} from '@siskinplank/fleet';
import type {SharedObjectStore} from '@siskinplank/directory';
import type {Clock, Logger, Timer} from '@siskinplank/foundation';
import {MessageType} from '@siskinplank/messages';
import type {Message, MessageOf} from '@siskinplank/messages';
import {
  createDemandTracker,
  createPlacementController,
} from '@siskinplank/model-orders';
import type {PlacementController} from '@siskinplank/model-orders';
import type {RouteTable, Upstream, UpstreamControl} from '@siskinplank/serving';
import type {DemandCounter} from './demand-counter';
import type {FleetNode} from './fleet-node';

/** What `createOrderGiver` needs. */
export interface OrderManagerOptions {
  objects: SharedObjectStore;
  control: UpstreamControl;
  ownName: string;
  ownIncarnation: string;
  watchWaitMs: number;
  retryDelayMs: number;
  leaseMs: number;
  openPerCopy: number;
  clock: Clock;
  logger: Logger;
  table: UpstreamTable;
  demand: DemandCounter;
  getFleet(): FleetNode;
  getRoutes(): RouteTable | undefined;
  listUpstreams(): readonly Upstream[];
  isLeaving(): boolean;
  /** Holdings have changed; waiting requests may be served. */
  onModelStateChange(): void;
}

/** Orders and holdings. */
export interface OrderManager {
  leadership: OrderLeadership;
  start(): void;
  /** Gives the orders up if another gateway can take them over. */
  releaseLease(): Promise<void>;
  stop(): Promise<void>;
  /** Whether some gateway, this one included, gives orders now. */
  hasOrderLeader(nowMs: number): boolean;
  loadAdapter(
    upstreamId: string,
    model: string,
    adapter: string,
  ): Promise<number | undefined>;
  handleMessage(peer: string, message: Message): void;
  /** Plans at once: a request waits for a model. */
  schedulePlan(): void;
}

type UpstreamLoads = MessageOf<MessageType.UpstreamLoads>;

const TICK_MS = 100;
const PLAN_DELAY_MS = 5;
/** Changes of holdings are told together after this delay. */
const TELL_DELAY_MS = 10;
/** Holdings are told again in this period, for gateways that just started. */
const TELL_PERIOD_MS = 500;
/** Age from which on told holdings are not used any more. */
const HOLDINGS_KEPT_MS = 2_500;
/** Longest wait for the answer of the gateway that gives orders. */
const ADAPTER_ANSWER_MS = 450;

/** Creates an order giver that does nothing before `start`. */
export function createOrderManager(options: OrderManagerOptions): OrderManager {
  const {clock, logger, table} = options;
  const demandTracker = createDemandTracker();
  const desks = new Map<string, PlacementController>();
  const pendingAdapters = new Map<
    string,
    (readyInMs: number | undefined) => void
  >();
  const timers: Timer[] = [];
  let planTimer: Timer | undefined;
  let tellTimer: Timer | undefined;
  let requestCount = 0;
  let holdingsToldAtMs = -Infinity;
  let termToken: number | undefined;

  const leadership = createOrderLeadership({
    objects: options.objects,
    ownName: options.ownName,
    ownIncarnation: options.ownIncarnation,
    watchWaitMs: options.watchWaitMs,
    retryDelayMs: options.retryDelayMs,
    leaseMs: options.leaseMs,
    clock,
    logger,
    describePeers: (holder, nowMs) => {
      const {registry, peers} = options.getFleet();
      const heard = peers.listResponsive(nowMs);
      const record = registry.listOthers().find(({name}) => name === holder);
      const peer = heard.find(({name}) => name === holder);
      return {
        isLeaving: options.isLeaving(),
        candidates: [
          options.ownName,
          ...heard.filter(({state}) => !state.isLeaving).map(({name}) => name),
        ],
        holderIncarnation: peer?.incarnation ?? record?.incarnation,
        holderLastSeenAtMs:
          holder === undefined ? undefined : peers.getLastSeenAtMs(holder),
      };
    },
  });

  const getToken = (nowMs: number): number | undefined => {
    const term = leadership.getTerm();
    if (term === undefined || nowMs < term.pausedUntilMs) return undefined;
    return term.token;
  };

  const makeLoads = (nowMs: number): UpstreamLoads => {
    const loads: UpstreamLoads['loads'] = {};
    for (const desk of desks.values()) {
      for (const summary of desk.summarize(nowMs)) {
        loads[summary.id] = {
          startedAtMs: summary.startedAtMs,
          queued: summary.queuedCount,
          running: summary.runningCount,
          usedCacheTokens: summary.usedCacheTokens,
          models: summary.models.map(({name, adapters}) => [
            name,
            0,
            [...adapters],
          ]),
          changing: summary.changing,
          changeEndsInMs: summary.changeEndsInMs,
        };
      }
    }
    return {
      type: MessageType.UpstreamLoads,
      orderToken: leadership.getHighestToken(),
      loads,
      unavailable: {},
    };
  };

  const applyLoads = ({loads}: UpstreamLoads, nowMs: number): void => {
    holdingsToldAtMs = nowMs;
    for (const [id, load] of Object.entries(loads)) {
      table.setModelState(id, load.startedAtMs, {
        models: new Map(
          load.models.map(([name, , adapters]) => [name, new Set(adapters)]),
        ),
        arriving:
          load.changing === undefined
            ? undefined
            : {
                model: load.changing,
                expectedAtMs:
                  load.changeEndsInMs === undefined
                    ? undefined
                    : nowMs + load.changeEndsInMs,
              },
      });
    }
    options.onModelStateChange();
  };

  const tell = (): void => {
    tellTimer?.cancel();
    tellTimer = undefined;
    if (leadership.getTerm() === undefined) return;
    const nowMs = clock.getNowMs();
    const message = makeLoads(nowMs);
    if (Object.keys(message.loads).length === 0) return;
    options.getFleet().sendToAll(message);
    applyLoads(message, nowMs);
  };

  const tellSoon = (): void => {
    tellTimer ??= clock.startTimer(TELL_DELAY_MS, tell);
  };

  const ensureDesk = (service: string): PlacementController => {
    const known = desks.get(service);
    if (known !== undefined) return known;
    const desk = createPlacementController({
      control: options.control,
      clock,
      logger,
      holder: options.ownName,
      getToken,
      onFenced: () => leadership.observeToken(leadership.getHighestToken() + 1),
      onChange: tellSoon,
      openPerCopy: options.openPerCopy,
    });
    desks.set(service, desk);
    return desk;
  };

  const collectDemand = (nowMs: number): void => {
    const {peers} = options.getFleet();
    const open = table.countOpenRequests();
    const openByModel = new Map<string, number>();
    for (const keys of open.values()) {
      for (const [key, count] of keys) {
        const [model] = key.split('/');
        openByModel.set(model, (openByModel.get(model) ?? 0) + count);
      }
    }
    demandTracker.record(
      [
        {
          gateway: options.ownName,
          incarnation: options.ownIncarnation,
          models: options.demand.describe(nowMs),
        },
        ...peers.listResponsive(nowMs).map(({name, incarnation, state}) => ({
          gateway: name,
          incarnation,
          models: state.demand,
        })),
      ],
      openByModel,
      nowMs,
    );
  };

  const plan = (): void => {
    planTimer?.cancel();
    planTimer = undefined;
    const nowMs = clock.getNowMs();
    const routes = options.getRoutes();
    if (routes === undefined || getToken(nowMs) === undefined) return;
    collectDemand(nowMs);
    const demand = demandTracker.listDemand(nowMs);
    const open = table.countOpenRequests();
    for (const {name, engine} of routes.configuration.services.values()) {
      if (engine === undefined) continue;
      ensureDesk(name).tick(
        {
          engine,
          upstreams: options
            .listUpstreams()
            .filter(({service}) => service === name),
          demand,
          open,
        },
        nowMs,
      );
    }
  };

  const tick = (): void => {
    const nowMs = clock.getNowMs();
    leadership.tick(nowMs);
    const token = leadership.getTerm()?.token;
    if (token !== termToken) {
      termToken = token;
      // What an earlier term knew may have been changed by another gateway.
      for (const desk of desks.values()) desk.reset();
      desks.clear();
    }
    if (nowMs - holdingsToldAtMs > HOLDINGS_KEPT_MS) {
      holdingsToldAtMs = Infinity;
      table.resetModelState();
    }
    plan();
  };

  const loadOwnAdapter = (
    upstreamId: string,
    model: string,
    adapter: string,
  ): Promise<number | undefined> => {
    const service = table.getEntry(upstreamId)?.upstream.service;
    const desk = service === undefined ? undefined : desks.get(service);
    if (desk === undefined) return Promise.resolve(undefined);
    return desk.loadAdapter(upstreamId, model, adapter);
  };

  return {
    leadership,
    start: () => {
      leadership.start();
      timers.push(
        clock.startInterval(TICK_MS, tick),
        clock.startInterval(TELL_PERIOD_MS, tell),
      );
    },
    releaseLease: async () => {
      const canFollow = options
        .getFleet()
        .peers.listResponsive(clock.getNowMs())
        .some(({state}) => !state.isLeaving);
      if (canFollow) await leadership.release();
    },
    stop: async () => {
      for (const timer of timers) timer.cancel();
      planTimer?.cancel();
      tellTimer?.cancel();
      await leadership.release();
      leadership.stop();
    },
    hasOrderLeader: nowMs =>
      leadership.getTerm() !== undefined ||
      options
        .getFleet()
        .peers.listResponsive(nowMs)
        .some(({state}) => state.isOrdering),
    loadAdapter: (upstreamId, model, adapter) => {
      if (leadership.getTerm() !== undefined) {
        return loadOwnAdapter(upstreamId, model, adapter);
      }
      const fleet = options.getFleet();
      const giver = fleet.peers
        .listResponsive(clock.getNowMs())
        .find(({state}) => state.isOrdering);
      if (giver === undefined) return Promise.resolve(undefined);
      requestCount += 1;
      const requestId = `${options.ownName}/${requestCount}`;
      return new Promise(resolve => {
        const timer = clock.startTimer(ADAPTER_ANSWER_MS, () =>
          settle(undefined),
        );
        const settle = (readyInMs: number | undefined): void => {
          timer.cancel();
          pendingAdapters.delete(requestId);
          resolve(readyInMs);
        };
        pendingAdapters.set(requestId, settle);
        const isSent = fleet.sendTo(giver.name, {
          type: MessageType.AdapterRequest,
          requestId,
          upstream: upstreamId,
          model,
          adapter,
        });
        if (!isSent) settle(undefined);
      });
    },
    handleMessage: (peer, message) => {
      switch (message.type) {
        case MessageType.UpstreamLoads:
          leadership.observeToken(message.orderToken);
          if (message.orderToken < leadership.getHighestToken()) return;
          applyLoads(message, clock.getNowMs());
          return;
        case MessageType.AdapterRequest: {
          const {requestId, upstream, model, adapter} = message;
          void loadOwnAdapter(upstream, model, adapter).then(readyInMs => {
            options.getFleet().sendTo(peer, {
              type: MessageType.AdapterReply,
              requestId,
              readyInMs,
            });
          });
          return;
        }
        case MessageType.AdapterReply:
          pendingAdapters.get(message.requestId)?.(message.readyInMs);
          return;
        default:
      }
    },
    schedulePlan: () => {
      planTimer ??= clock.startTimer(PLAN_DELAY_MS, plan);
    },
  };
}
