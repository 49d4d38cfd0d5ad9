/** Injects planned faults and ends them. */
import {
  EndlessPace,
  EndlessScope,
  EndlessWay,
  StoreOutage,
} from '@siskinplank/platform-stand-ins';
import type {StoreStandIn} from '@siskinplank/platform-stand-ins';
import {ProxyDirection} from '@siskinplank/stand-ins';
import type {FaultProxy} from '@siskinplank/stand-ins';
import type {SoakGateway} from './gateways';
import {FaultKind} from './history';
import type {FaultSpan, History, NamedLimit} from './history';
import type {PlannedFault} from './plan';
import {StopCompanion} from './plan-stops';
import type {PlannedStop} from './plan-stops';
import {createStoreRestores} from './store-restores';
import {LeavingNotice} from './upstreams';
import type {SoakUpstream} from './upstreams';

/** Processes, stand-ins and configuration that faults act on. */
export interface FaultTargets {
  gateways: readonly SoakGateway[];
  upstreams: readonly SoakUpstream[];
  store: StoreStandIn;
  history: History;
  getNowMs(): number;
  /** Withdraws a key of the account that `variant` selects. */
  withdrawKey(variant: number): void;
  /** Poisons a part of the prompts of new streams; the result ends it. */
  poisonPrompts(variant: number): () => void;
  /** Changes the limit of the account that `variant` selects. */
  changeLimit(variant: number): void;
}

/** Injects faults; a fault whose target already has one is skipped. */
export interface FaultInjector {
  /** Resolves when the fault is over. */
  inject(fault: PlannedFault): Promise<void>;
}

/** Time after which the store drops the entry of an unresponsive upstream. */
const ENTRY_EXPIRY_MS = 3_600;
/** Least time that a draining upstream keeps serving after its report. */
const DRAINING_MS = 3_500;
/** Time in which gateways learn of a limit, and a window to count it in. */
const LIMIT_MS = 8_000;
/** Range of the limits that upstreams name, in requests a second. */
const MIN_LIMIT = 0.5;
const MAX_LIMIT = 4;
/** Range of the times for which upstreams want nothing, in seconds. */
const MIN_RETRY_AFTER = 0.8;
const MAX_RETRY_AFTER = 5;
/** Time for which prompts with a poisoned part are sent. */
const POISON_MS = 10_000;
/** Times of a restore: least age of the copy, outage, writes again. */
const MIN_COPY_AGE_MS = 1_000;
const MAX_AWAY_MS = 1_000;
const WRITE_AGAIN_MS = 2_000;
/** Fraction of a restore's planned time by which some upstreams are later. */
const LATE_FRACTION = 0.4;
/** Range of the silences of streams. */
const MIN_SILENT_MS = 800;
const MAX_SILENT_MS = 2_000;
/** Signals that a gateway gets while it stops. */
const LATER_SIGNALS: ReadonlyMap<StopCompanion, NodeJS.Signals> = new Map([
  [StopCompanion.ReloadAfter, 'SIGHUP'],
  [StopCompanion.SecondStop, 'SIGTERM'],
]);
/** Time for a process to restart. */
const RESTART_MS = 1_500;

function wait(forMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, forMs));
}

/** Creates a fault injector. */
export function createFaultInjector(targets: FaultTargets): FaultInjector {
  const {gateways, upstreams, store} = targets;
  const storeRestores = createStoreRestores(targets);
  /** Keys of the targets with an active fault. */
  const activeKeys = new Set<string>();

  const cut = (proxy: FaultProxy, variant: number): void => {
    const directions = [
      ProxyDirection.Both,
      ProxyDirection.ToTarget,
      ProxyDirection.ToClient,
    ];
    proxy.applyFault({stall: directions[Math.floor(variant * 3)]});
  };

  /** Stops a gateway as a supervisor does. */
  const stopGateway = async (gateway: SoakGateway): Promise<void> => {
    targets.history.stops.push({
      gateway: gateway.name,
      atMs: targets.getNowMs(),
    });
    await gateway.stop();
  };

  const stopWithCompanion = async (
    gateway: SoakGateway,
    {companion, companionMs}: PlannedStop,
  ): Promise<void> => {
    if (companion === StopCompanion.ReloadBefore) {
      gateway.send('SIGHUP');
      await wait(companionMs);
    }
    const stopped = stopGateway(gateway);
    const later = LATER_SIGNALS.get(companion);
    const timer = setTimeout(() => {
      if (later !== undefined) gateway.send(later);
    }, companionMs);
    await stopped;
    clearTimeout(timer);
  };

  /** Stops a gateway, and again soon after each of its starts. */
  const stopInSeries = async (
    gateway: SoakGateway,
    stops: readonly PlannedStop[],
  ): Promise<void> => {
    const target = String(gateways.indexOf(gateway));
    const kind = FaultKind.GatewayStop;
    for (const [index, stop] of stops.entries()) {
      if (index > 0) await wait(stop.afterStartMs);
      const span: FaultSpan = {
        kind,
        target,
        fromMs: targets.getNowMs(),
        toMs: Infinity,
      };
      if (stop.isKill === true) span.kind = FaultKind.GatewayKill;
      targets.history.faults.push(span);
      if (stop.isKill === true) {
        gateway.send('SIGKILL');
        await gateway.waitForExit();
      } else await stopWithCompanion(gateway, stop);
      if (stop.isMove === true) await gateway.relocate();
      if (stop.restartAfterMs !== undefined) await wait(stop.restartAfterMs);
      gateway.start();
      span.toMs = targets.getNowMs();
    }
    await wait(RESTART_MS);
  };

  const injectGatewayFault = async (
    gateway: SoakGateway,
    {kind, forMs, variant, stops = []}: PlannedFault,
  ): Promise<void> => {
    switch (kind) {
      case FaultKind.GatewayStopSeries:
        await stopInSeries(gateway, stops);
        return;
      case FaultKind.GatewayPause:
        gateway.send('SIGSTOP');
        await wait(forMs);
        gateway.send('SIGCONT');
        return;
      case FaultKind.GatewayReload:
        gateway.send('SIGHUP');
        return;
      case FaultKind.StoreCut:
        cut(gateway.storeProxy, variant);
        await wait(forMs);
        // Drops the buffered bytes, as a reset by the sender does.
        gateway.storeProxy.applyFault({cut: true, stall: null});
        return;
      default:
        if (kind === FaultKind.GatewayStop) await stopGateway(gateway);
        else gateway.send('SIGKILL');
        await gateway.waitForExit();
        await wait(forMs / 2);
        gateway.start();
        await wait(RESTART_MS);
    }
  };

  const injectStoreFault = async ({
    kind,
    forMs,
    variant,
  }: PlannedFault): Promise<void> => {
    const outages = Object.values(StoreOutage);
    switch (kind) {
      case FaultKind.StoreOutage:
        store.setFault({
          outage: outages[Math.floor(variant * outages.length)],
        });
        break;
      case FaultKind.StoreSlow:
        store.setFault({slowMs: 50 + variant * 400});
        break;
      case FaultKind.StoreRestored: {
        const upstreamsAfterMs = (1 - variant) * WRITE_AGAIN_MS;
        await storeRestores.restore({
          copyAgeMs: MIN_COPY_AGE_MS + forMs,
          awayMs: Math.min(forMs, MAX_AWAY_MS),
          keepsWatches: variant < 0.5,
          configurationAfterMs: variant * WRITE_AGAIN_MS,
          upstreamsAfterMs,
          lateUpstreamsAfterMs: upstreamsAfterMs + forMs * LATE_FRACTION,
        });
        return;
      }
      case FaultKind.StoreLost:
        store.setFault({lostResponseShare: 0.1 + variant * 0.5});
        break;
      default:
        store.compact();
        return;
    }
    await wait(forMs);
    store.setFault({});
  };

  const injectUpstreamFault = async (
    upstream: SoakUpstream,
    {kind, forMs, variant, awayMs = 0}: PlannedFault,
  ): Promise<void> => {
    const {standIn, proxy} = upstream;
    switch (kind) {
      case FaultKind.UpstreamCrash:
        standIn.crash();
        setTimeout(upstream.removeEntry, Math.min(ENTRY_EXPIRY_MS, forMs));
        await wait(forMs + 1);
        upstream.removeEntry();
        standIn.restart();
        upstream.register();
        return;
      case FaultKind.UpstreamDrain: {
        const notices = Object.values(LeavingNotice);
        upstream.drain(notices[Math.floor(variant * notices.length)]);
        await wait(DRAINING_MS + forMs);
        upstream.removeEntry();
        standIn.crash();
        if (awayMs > 0) await wait(awayMs);
        standIn.restart();
        upstream.register();
        return;
      }
      case FaultKind.LinkDelay:
        proxy.applyFault({delayMs: 20 + variant * 300});
        await wait(forMs);
        proxy.applyFault({delayMs: 0});
        return;
      case FaultKind.LinkCut:
        proxy.applyFault({cut: true});
        return;
      case FaultKind.LinkStall:
        cut(proxy, variant);
        await wait(forMs);
        proxy.applyFault({cut: true, stall: null});
        return;
      case FaultKind.UpstreamLimited: {
        const perSecond = MIN_LIMIT + variant * (MAX_LIMIT - MIN_LIMIT);
        const limit: NamedLimit = {
          upstreamId: standIn.getId(),
          perSecond: Math.round(perSecond * 10) / 10,
          fromMs: targets.getNowMs(),
          toMs: Infinity,
        };
        targets.history.namedLimits.push(limit);
        standIn.setFault({namedLimit: limit.perSecond});
        await wait(LIMIT_MS + forMs);
        limit.toMs = targets.getNowMs();
        standIn.setFault({});
        return;
      }
      case FaultKind.UpstreamBacksOff: {
        const seconds =
          MIN_RETRY_AFTER + variant * (MAX_RETRY_AFTER - MIN_RETRY_AFTER);
        standIn.setFault({retryAfterSeconds: Math.round(seconds * 10) / 10});
        break;
      }
      case FaultKind.UpstreamEndless: {
        const ways = Object.values(EndlessWay);
        const scopes = Object.values(EndlessScope);
        const drawn = Math.floor(variant * ways.length * scopes.length);
        // The soak's own process sends the bytes, and has other work.
        const pace = EndlessPace.Metered;
        standIn.setFault({
          endless: {
            way: ways[drawn % ways.length],
            pace,
            scope: scopes[Math.floor(drawn / ways.length)],
          },
        });
        break;
      }
      case FaultKind.UpstreamSilent:
        standIn.setFault({
          silentMs: MIN_SILENT_MS + variant * (MAX_SILENT_MS - MIN_SILENT_MS),
        });
        break;
      case FaultKind.UpstreamFails:
        standIn.setFault({failShare: 0.2 + variant * 0.6});
        break;
      case FaultKind.UpstreamLosesResponses:
        standIn.setFault({lostResponseShare: 0.1 + variant * 0.5});
        break;
      case FaultKind.UpstreamUnresponsive:
        standIn.setFault({isUnresponsive: true});
        break;
      default:
        standIn.setFault({lateOrderShare: 0.2 + variant * 0.6});
    }
    await wait(forMs);
    standIn.setFault({});
  };

  const run = async (fault: PlannedFault): Promise<void> => {
    switch (fault.kind) {
      case FaultKind.KeyWithdrawn:
        targets.withdrawKey(fault.variant);
        return;
      case FaultKind.LimitChanged:
        targets.changeLimit(fault.variant);
        return;
      case FaultKind.PromptPoisoned: {
        const stop = targets.poisonPrompts(fault.variant);
        await wait(POISON_MS);
        stop();
        return;
      }
      case FaultKind.GatewayStop:
      case FaultKind.GatewayStopSeries:
      case FaultKind.GatewayKill:
      case FaultKind.GatewayPause:
      case FaultKind.GatewayReload:
      case FaultKind.StoreCut:
        await injectGatewayFault(gateways[fault.target], fault);
        return;
      case FaultKind.StoreOutage:
      case FaultKind.StoreSlow:
      case FaultKind.StoreLost:
      case FaultKind.StoreCompact:
      case FaultKind.StoreRestored:
        await injectStoreFault(fault);
        return;
      default:
        await injectUpstreamFault(upstreams[fault.target], fault);
    }
  };

  /** Faults that would end each other's effect share a key. */
  const getFaultKey = ({kind, target}: PlannedFault): string => {
    if (kind === FaultKind.StoreCut) return `store-link ${target}`;
    if (kind.startsWith('gateway')) return `gateway ${target}`;
    if (kind.startsWith('store')) return 'store';
    if (kind.startsWith('link')) return `link ${target}`;
    if (kind.startsWith('upstream')) return `upstream ${target}`;
    return kind;
  };

  return {
    inject: async fault => {
      const faultKey = getFaultKey(fault);
      if (activeKeys.has(faultKey)) return;
      activeKeys.add(faultKey);
      const span: FaultSpan = {
        kind: fault.kind,
        target: String(fault.target),
        fromMs: targets.getNowMs(),
        toMs: Infinity,
      };
      targets.history.faults.push(span);
      await run(fault);
      span.toMs = targets.getNowMs();
      activeKeys.delete(faultKey);
    },
  };
}
