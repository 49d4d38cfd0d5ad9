/**
 * Limiters of several gateways that exchange messages over a simulated network,
 * with a manual clock.
 */
import {createManualClock, createRandom} from '@siskinplank/foundation';
import type {ManualClock} from '@siskinplank/foundation';
import {MessageType} from '@siskinplank/messages';
import type {Message} from '@siskinplank/messages';
import type {CallerRequest, ClientAccount} from '@siskinplank/serving';
import {createFreezableClock, runClock} from '@siskinplank/testing';
import type {FreezableClock} from '@siskinplank/testing';
import {createPoolHandover, createTokenShares} from '@siskinplank/token-shares';
import type {
  AccountLimit,
  PoolHandover,
  TokenShares,
} from '@siskinplank/token-shares';
import {createAccountLimiter} from '../account-limiter';
import type {AccountLimiter} from '../account-limiter';

/** Outcome of one request. */
export interface LimitedRequest {
  account: string;
  tokens: number;
  patienceMs: number;
  askedAtMs: number;
  endedAtMs: number;
  isRefused: boolean;
  retryAfterMs: number;
}

/** What `createLimiterFleet` needs. */
export interface LimiterFleetOptions {
  gatewayCount: number;
  limits: ReadonlyMap<string, AccountLimit>;
  extraBurst: number;
  /** Fraction of the messages that are lost. */
  lossRate?: number;
  /** Time until a gateway notices that another one does not answer. */
  detectMs?: number;
  seed: number;
}

/** Limiters of a simulated fleet. */
export interface LimiterFleet {
  clock: ManualClock;
  ended: LimitedRequest[];
  request(
    gateway: number,
    account: string,
    tokens: number,
    patienceMs?: number,
  ): void;
  /** Separates gateways for which the group differs, until `endCut`. */
  startCut(getGroup: (gateway: number) => number): void;
  endCut(): void;
  /** Replaces the process of a gateway; its requests end without a result. */
  restart(gateway: number): void;
  /** Makes a gateway pool no more tokens, as when it begins to leave. */
  retire(gateway: number): void;
  freeze(gateway: number): void;
  thaw(gateway: number): void;
  /** Gateway that most gateways ask for the account's tokens. */
  findHome(account: string): number;
  countMessages(): number;
  run(durationMs: number, onStep?: (nowMs: number) => void): Promise<void>;
}

interface SimulatedGateway {
  clock: FreezableClock;
  shares: TokenShares;
  limiter: AccountLimiter;
  seenAtMs: Map<string, number>;
  handover: PoolHandover;
  /** Capacities by the last states of the others. */
  capacities: Map<string, number>;
}

const STEP_MS = 10;
/** Longest wait for tokens of a request that resumes no stream. */
const PATIENCE_MS = 150;
const HOUSEKEEPING_MS = 100;
const STATE_PERIOD_MS = 1_700;
const MIN_DELAY_MS = 2;
const DELAY_SPREAD_MS = 20;

/** Creates a fleet whose gateways all know each other. */
export function createLimiterFleet(options: LimiterFleetOptions): LimiterFleet {
  const {gatewayCount, limits, lossRate = 0, detectMs = 1_000} = options;
  const clock = createManualClock();
  const random = createRandom(options.seed);
  const ended: LimitedRequest[] = [];
  let cut: ((gateway: number) => number) | undefined;
  let cutAtMs = 0;
  let messageCount = 0;
  const retired = new Set<number>();
  const names = Array.from({length: gatewayCount}, (_, index) => `g${index}`);
  const getIndex = (name: string): number => Number(name.slice(1));

  const getCapacity = (index: number): number => (retired.has(index) ? 0 : 1);

  const isCut = (from: number, to: number): boolean =>
    cut !== undefined && cut(from) !== cut(to);

  const deliver = (
    from: number,
    to: number,
    receive: (target: SimulatedGateway) => void,
  ): void => {
    if (isCut(from, to) || random.getNext() < lossRate) return;
    const target = gateways[to];
    const delayMs = MIN_DELAY_MS + random.getInteger(DELAY_SPREAD_MS);
    target.clock.startTimer(delayMs, () => {
      target.seenAtMs.set(names[from], target.clock.getNowMs());
      receive(target);
    });
  };

  const sendMessage = (from: number, to: number, message: Message): void => {
    messageCount += 1;
    deliver(from, to, target =>
      target.limiter.handleMessage(names[from], message),
    );
  };

  /** States are sent to all gateways, and show that this one responds. */
  const sendStates = (from: number): void => {
    const announced = getCapacity(from);
    for (let to = 0; to < gatewayCount; to += 1) {
      deliver(from, to, ({shares, capacities, clock: ownClock}) => {
        capacities.set(names[from], announced);
        shares.markResponsive(names[from], ownClock.getNowMs());
      });
    }
  };

  const updateGateway = (index: number): void => {
    const {shares, handover, capacities, clock: ownClock} = gateways[index];
    const {own, isEnding} = handover.update(
      getCapacity(index),
      ownClock.getNowMs(),
    );
    if (isEnding) shares.startHandover(ownClock.getNowMs());
    const nowMs = clock.getNowMs();
    const isNoticed = nowMs - cutAtMs >= detectMs;
    const members = names
      .filter((_, other) => !isNoticed || !isCut(index, other))
      .map(name => ({
        name,
        capacity: name === names[index] ? own : (capacities.get(name) ?? 1),
      }));
    shares.setMembers(members, ownClock.getNowMs());
    for (const [home, tokens] of shares.withdrawReturns(ownClock.getNowMs())) {
      const message = {type: MessageType.TokenReturn, tokens} as const;
      sendMessage(index, getIndex(home), message);
    }
  };

  const createGateway = (index: number): SimulatedGateway => {
    const ownClock = createFreezableClock(clock, 0);
    const seenAtMs = new Map<string, number>();
    const nowMs = clock.getNowMs();
    const shares = createTokenShares({
      ownName: names[index],
      extraBurst: options.extraBurst,
      startedAtMs: nowMs,
    });
    shares.setLimits(limits, nowMs);
    shares.setFraction(1 / gatewayCount, nowMs);
    const limiter = createAccountLimiter({
      ownName: names[index],
      shares,
      clock: ownClock,
      sendTo: (peer, message) => {
        sendMessage(index, getIndex(peer), message);
        return true;
      },
      getLastSeenAtMs: peer => seenAtMs.get(peer),
    });
    const phaseMs = (index * HOUSEKEEPING_MS) / gatewayCount;
    ownClock.startTimer(phaseMs, () =>
      ownClock.startInterval(HOUSEKEEPING_MS, () => updateGateway(index)),
    );
    ownClock.startTimer((index * STATE_PERIOD_MS) / gatewayCount, () =>
      ownClock.startInterval(STATE_PERIOD_MS, () => sendStates(index)),
    );
    return {
      clock: ownClock,
      shares,
      limiter,
      seenAtMs,
      handover: createPoolHandover(),
      capacities: new Map(),
    };
  };

  const gateways: SimulatedGateway[] = [];
  for (let index = 0; index < gatewayCount; index += 1) {
    gateways.push(createGateway(index));
  }
  for (let index = 0; index < gatewayCount; index += 1) updateGateway(index);

  return {
    clock,
    ended,
    request: (gateway, account, tokens, patienceMs = PATIENCE_MS) => {
      const askedAtMs = clock.getNowMs();
      const client = {name: account, countsTokens: true} as ClientAccount;
      const request = {
        promptTokens: tokens,
        maxOutputTokens: 0,
      } as CallerRequest;
      gateways[gateway].limiter.take(client, request, patienceMs, result =>
        ended.push({
          account,
          tokens,
          patienceMs,
          askedAtMs,
          endedAtMs: clock.getNowMs(),
          isRefused: result.isLeft(),
          retryAfterMs: result
            .swap()
            .map(left => left.retryAfterMs)
            .orDefault(0),
        }),
      );
    },
    startCut: getGroup => {
      cut = getGroup;
      cutAtMs = clock.getNowMs();
    },
    endCut: () => {
      cut = undefined;
    },
    restart: gateway => {
      gateways[gateway].clock.stop();
      gateways[gateway] = createGateway(gateway);
    },
    retire: gateway => void retired.add(gateway),
    freeze: gateway => gateways[gateway].clock.freeze(),
    thaw: gateway => gateways[gateway].clock.thaw(),
    findHome: account => {
      const votes = new Map<string, number>();
      for (const {shares} of gateways) {
        const home = shares.findHome(account);
        votes.set(home, (votes.get(home) ?? 0) + 1);
      }
      const [best] = [...votes].sort(([, left], [, right]) => right - left);
      return getIndex(best[0]);
    },
    countMessages: () => messageCount,
    run: (durationMs, onStep) =>
      runClock(clock, durationMs, STEP_MS, () => onStep?.(clock.getNowMs())),
  };
}
