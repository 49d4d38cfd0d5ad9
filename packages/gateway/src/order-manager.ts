/**
 * Sends orders to upstreams while this gateway is the order leader, and shares
 * the model state of the upstreams between gateways. Every gateway runs it;
 * one at a time holds the order lease.
 */
import type {UpstreamTable} from '@siskinplank/dispatch';
import {createOrderLeadership} from '@siskinplank/fleet';
import type {OrderLeadership} from '@siskinplank/fleet';
import type {SharedObjectStore, StoreHealth} from '@siskinplank/directory';
import {waitForPoll} from '@siskinplank/foundation';
import type {Clock, Logger, Timer} from '@siskinplank/foundation';
import {MessageType} from '@siskinplank/messages';
import type {Message, MessageOf} from '@siskinplank/messages';
import {
  createDemandTracker,
  createPlacementController,
} from '@siskinplank/model-orders';
import type {PlacementController} from '@siskinplank/model-orders';
import type {RouteTable, Upstream, UpstreamControl} from '@siskinplank/serving';
import {createAdapterRequests} from './adapter-requests';
import type {DemandCounter} from './demand-counter';
import type {FleetNode} from './fleet-node';

/** What `createOrderManager` needs. */
export interface OrderManagerOptions {
  objects: SharedObjectStore;
  control: UpstreamControl;
  ownName: string;
  ownIncarnation: string;
  watchWaitMs: number;
  retryDelayMs: number;
  storeHealth?: StoreHealth;
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
  /** Called when the model state of upstreams may have changed. */
  onModelStateChange(): void;
  /** Called when another upstream has the address of this one. */
  onUpstreamEnded(upstream: Upstream): void;
}

/** Order lease, placement controllers and model state of one gateway. */
export interface OrderManager {
  leadership: OrderLeadership;
  start(): void;
  /** Releases the order lease if another gateway can take it over. */
  releaseLease(): Promise<void>;
  stop(): Promise<void>;
  /** Whether some gateway, this one included, holds the order lease. */
  hasOrderLeader(nowMs: number): boolean;
  /**
   * Has the order leader load an adapter. Resolves to the milliseconds until
   * it is ready, or to undefined when it can't be loaded.
   */
  loadAdapter(
    upstreamId: string,
    model: string,
    adapter: string,
  ): Promise<number | undefined>;
  handleMessage(peer: string, message: Message): void;
  /** Sends the model state to a gateway that has just connected. */
  handleConnected(peer: string): void;
  /** Plans within milliseconds, since a request waits for a model. */
  schedulePlan(): void;
}

type UpstreamLoads = MessageOf<MessageType.UpstreamLoads>;

const TICK_MS = 100;
const PLAN_DELAY_MS = 5;
/** Changes of the model state are batched for this time before sending. */
const MODEL_STATE_DELAY_MS = 10;
/** Period of sending the changes of the model state, also if there are none. */
const MODEL_STATE_PERIOD_MS = 500;
/**
 * Period of sending the model state of all upstreams, for gateways that did not
 * know an upstream yet when its change was sent.
 */
const FULL_MODEL_STATE_PERIOD_MS = 2_000;
/** Age above which the reported model state is discarded. */
const MODEL_STATE_MAX_AGE_MS = 2_500;
/**
 * Time in which the reply reaches the gateway and the state that it sends next
 * reaches the order leader, on hosts that are short of processor time.
 */
const STATE_EXCHANGE_MARGIN_MS = 200;

/** Creates an order manager that does nothing before `start`. */
export function createOrderManager(options: OrderManagerOptions): OrderManager {
  const {clock, logger, table} = options;
  const demandTracker = createDemandTracker();
  const controllers = new Map<string, PlacementController>();
  const adapterRequests = createAdapterRequests(options);
  const timers: Timer[] = [];
  let planTimer: Timer | undefined;
  let modelStateTimer: Timer | undefined;
  let modelStateReportedAtMs = -Infinity;
  let firstToken: number | undefined;

  const leadership = createOrderLeadership({
    objects: options.objects,
    ownName: options.ownName,
    ownIncarnation: options.ownIncarnation,
    watchWaitMs: options.watchWaitMs,
    retryDelayMs: options.retryDelayMs,
    storeHealth: options.storeHealth,
    leaseMs: options.leaseMs,
    clock,
    logger,
    describePeers: (holder, nowMs) => {
      const {registry, peers} = options.getFleet();
      const responsivePeers = peers.listResponsive(nowMs);
      const record = registry.listOthers().find(({name}) => name === holder);
      const peer = responsivePeers.find(({name}) => name === holder);
      return {
        isLeaving: options.isLeaving(),
        candidates: [
          options.ownName,
          ...responsivePeers
            .filter(({state}) => !state.isLeaving)
            .map(({name}) => name),
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

  /** Model states as last sent to the other gateways, by upstream. */
  const sentModelStates = new Map<string, string>();
  let fullModelStateAtMs = -Infinity;

  const makeLoads = (nowMs: number): UpstreamLoads => {
    const loads: UpstreamLoads['loads'] = {};
    for (const controller of controllers.values()) {
      for (const summary of controller.summarize(nowMs)) {
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
          warmLoadMs: summary.warmLoadMs && {...summary.warmLoadMs},
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
    modelStateReportedAtMs = nowMs;
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
        warmLoadMs: new Map(Object.entries(load.warmLoadMs ?? {})),
        receivedAtMs: nowMs,
      });
    }
    options.onModelStateChange();
  };

  /** Removes the upstreams whose models are as last sent. */
  const selectChanges = (message: UpstreamLoads): UpstreamLoads => {
    const loads: UpstreamLoads['loads'] = {};
    for (const [id, load] of Object.entries(message.loads)) {
      const {startedAtMs, models, changing, changeEndsInMs} = load;
      const isEnding = changeEndsInMs !== undefined;
      const state = JSON.stringify([
        startedAtMs,
        models,
        changing,
        isEnding,
        load.warmLoadMs,
      ]);
      if (sentModelStates.get(id) === state) continue;
      sentModelStates.set(id, state);
      loads[id] = load;
    }
    return {...message, loads};
  };

  /** Sends the changes; without any, only the regular message is sent. */
  const sendModelState = (isRegular: boolean): void => {
    modelStateTimer?.cancel();
    modelStateTimer = undefined;
    if (leadership.getTerm() === undefined) return;
    const nowMs = clock.getNowMs();
    const isFull = nowMs - fullModelStateAtMs >= FULL_MODEL_STATE_PERIOD_MS;
    if (isFull) {
      fullModelStateAtMs = nowMs;
      sentModelStates.clear();
    }
    const message = makeLoads(nowMs);
    if (Object.keys(message.loads).length === 0) return;
    const changes = selectChanges(message);
    if (!isRegular && Object.keys(changes.loads).length === 0) return;
    options.getFleet().sendToAll(changes);
    applyLoads(changes, nowMs);
  };

  const scheduleModelState = (): void => {
    modelStateTimer ??= clock.startTimer(MODEL_STATE_DELAY_MS, () =>
      sendModelState(false),
    );
  };

  const ensureController = (service: string): PlacementController => {
    const known = controllers.get(service);
    if (known !== undefined) return known;
    const controller = createPlacementController({
      control: options.control,
      clock,
      logger,
      holder: options.ownName,
      getToken,
      onFenced: () => leadership.observeToken(leadership.getHighestToken() + 1),
      onEnded: options.onUpstreamEnded,
      onChange: scheduleModelState,
      openPerCopy: options.openPerCopy,
      // Open requests are counted at each tick, from the last states.
      getOpenReportDelayMs: () =>
        options.getFleet().getStatePeriodMs() +
        TICK_MS +
        STATE_EXCHANGE_MARGIN_MS,
    });
    controllers.set(service, controller);
    return controller;
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
          waitingStreams: options.demand.describeStreams(nowMs),
        },
        ...peers.listResponsive(nowMs).map(({name, incarnation, state}) => ({
          gateway: name,
          incarnation,
          models: state.demand,
          waitingStreams: state.waitingStreams,
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
    const unreachableIds = new Set(
      options
        .listUpstreams()
        .map(({id}) => id)
        .filter(id => table.getEntry(id)?.isUnreachable(nowMs) === true),
    );
    for (const {name, engine} of routes.configuration.services.values()) {
      if (engine === undefined) continue;
      ensureController(name).tick(
        {
          engine,
          upstreams: options
            .listUpstreams()
            .filter(({service}) => service === name),
          demand,
          unreachableIds,
          open,
        },
        nowMs,
      );
    }
  };

  const tick = async (): Promise<void> => {
    // Timers run before sockets are read: the leader may have sent meanwhile.
    await waitForPoll();
    const nowMs = clock.getNowMs();
    leadership.tick(nowMs);
    const termStart = leadership.getTerm()?.firstToken;
    if (termStart !== firstToken) {
      firstToken = termStart;
      // Another leader may have changed the upstreams since the earlier term.
      for (const controller of controllers.values()) controller.reset();
      controllers.clear();
      fullModelStateAtMs = -Infinity;
    }
    if (nowMs - modelStateReportedAtMs > MODEL_STATE_MAX_AGE_MS) {
      modelStateReportedAtMs = Infinity;
      table.resetModelState();
    }
    plan();
  };

  const loadAdapterAsLeader = (
    upstreamId: string,
    model: string,
    adapter: string,
  ): Promise<number | undefined> => {
    const service = table.getEntry(upstreamId)?.upstream.service;
    const controller =
      service === undefined ? undefined : controllers.get(service);
    if (controller === undefined) return Promise.resolve(undefined);
    return controller.loadAdapter(upstreamId, model, adapter);
  };

  return {
    leadership,
    start: () => {
      leadership.start();
      timers.push(
        clock.startInterval(TICK_MS, () => void tick()),
        clock.startInterval(MODEL_STATE_PERIOD_MS, () => sendModelState(true)),
      );
    },
    releaseLease: async () => {
      const hasSuccessor = options
        .getFleet()
        .peers.listResponsive(clock.getNowMs())
        .some(({state}) => !state.isLeaving);
      if (hasSuccessor) await leadership.release();
    },
    stop: async () => {
      for (const timer of timers) timer.cancel();
      planTimer?.cancel();
      modelStateTimer?.cancel();
      await leadership.release();
      leadership.stop();
    },
    hasOrderLeader: nowMs =>
      leadership.getTerm() !== undefined ||
      options
        .getFleet()
        .peers.listResponsive(nowMs)
        .some(({state}) => state.isOrdering),
    loadAdapter: (upstreamId, model, adapter) =>
      leadership.getTerm() === undefined
        ? adapterRequests.request(upstreamId, model, adapter)
        : loadAdapterAsLeader(upstreamId, model, adapter),
    handleMessage: (peer, message) => {
      switch (message.type) {
        case MessageType.UpstreamLoads:
          leadership.observeToken(message.orderToken);
          if (message.orderToken < leadership.getHighestToken()) return;
          applyLoads(message, clock.getNowMs());
          return;
        case MessageType.AdapterRequest: {
          const {requestId, upstream, model, adapter} = message;
          void loadAdapterAsLeader(upstream, model, adapter).then(readyInMs => {
            options.getFleet().sendTo(peer, {
              type: MessageType.AdapterReply,
              requestId,
              readyInMs,
            });
          });
          return;
        }
        case MessageType.AdapterReply:
          adapterRequests.handleReply(message);
          return;
        default:
      }
    },
    handleConnected: peer => {
      if (leadership.getTerm() === undefined) return;
      const message = makeLoads(clock.getNowMs());
      if (Object.keys(message.loads).length === 0) return;
      options.getFleet().sendTo(peer, message);
    },
    schedulePlan: () => {
      planTimer ??= clock.startTimer(PLAN_DELAY_MS, plan);
    },
  };
}
