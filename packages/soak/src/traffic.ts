/** Callers of a soak, which send all kinds of requests for several accounts. */
import type {Random} from '@siskinplank/foundation';
import {
  CallKind,
  LARGE_SUFFIX,
  createCaller,
  createPipeliningCaller,
} from '@siskinplank/platform-stand-ins';
import type {
  CallInput,
  CallRecord,
  Caller,
} from '@siskinplank/platform-stand-ins';
import type {SoakGateway} from './gateways';
import type {History} from './history';
import {MODELS} from './upstreams';

/** An account and the keys that its callers use. */
export interface SoakAccount {
  name: string;
  keys: string[];
}

/** Options of `startTraffic`. */
export interface TrafficOptions {
  gateways: readonly SoakGateway[];
  accounts: readonly SoakAccount[];
  history: History;
  random: Random;
  hostName: string;
  getNowMs(): number;
}

/** Running callers. */
export interface Traffic {
  /** Adds a poisoned part to a share of the streams; the result ends it. */
  addPoison(part: string): () => void;
  /** Stops the callers once their open calls have ended. */
  stop(): Promise<void>;
}

/** How a caller uses its connection. */
enum CallerHabit {
  Plain,
  /** Sends its next request the moment an answer ends. */
  Immediate,
  /** Stops reading large answers for a while after their heads. */
  SlowReading,
  /** Sends its bodies in two parts. */
  SplitBodies,
  /** Sends a second request before the first one is answered. */
  Pipelining,
}

/** Habits of the callers, in turn. */
const HABITS: readonly CallerHabit[] = [
  CallerHabit.Plain,
  CallerHabit.Plain,
  CallerHabit.Plain,
  CallerHabit.Immediate,
  CallerHabit.SlowReading,
  CallerHabit.SplitBodies,
  CallerHabit.Pipelining,
];
const MIN_READ_PAUSE_MS = 300;
const MAX_READ_PAUSE_MS = 1_200;
const MAX_BODY_PART_DELAY_MS = 300;
const MAX_PIPELINED_AFTER_MS = 400;
const CALLER_COUNT = 24;
const MEAN_PAUSE_MS = 350;
/** Probability of switching gateways after a failed connection or a 503. */
const SWITCH_PROBABILITY = 0.5;
/** Fraction of the streams with a poisoned part while there is one. */
const POISONED_FRACTION = 0.08;
/** Parts that the prompts of several requests have in common. */
const SUBJECT_COUNT = 12;
/** Fraction of the calls after which a caller opens a new connection. */
const RECONNECT_FRACTION = 0.05;
const DEADLINES: Readonly<Record<CallKind, number>> = {
  [CallKind.Stream]: 8_000,
  [CallKind.Order]: 1_500,
  [CallKind.Status]: 1_500,
};

function wait(forMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, forMs));
}

/** Starts callers, which send requests until they are stopped. */
export function startTraffic(options: TrafficOptions): Traffic {
  const {gateways, accounts, history, random} = options;
  let isRunning = true;
  let callCount = 0;
  const poisons: string[] = [];

  const makePromptParts = (account: string, attemptId: string): string[] => {
    const subject = `${account}-${random.getInteger(SUBJECT_COUNT)}`;
    const parts = [account, subject];
    if (poisons.length > 0 && random.getNext() < POISONED_FRACTION) {
      const poison = poisons[random.getInteger(poisons.length)];
      parts.push(poison);
      history.poisonedAttempts.set(attemptId, poison);
    }
    return [...parts, attemptId];
  };

  const chooseKind = (): CallKind => {
    const drawn = random.getNext();
    if (drawn < 0.6) return CallKind.Stream;
    return drawn < 0.85 ? CallKind.Order : CallKind.Status;
  };

  const chooseModel = (): string => {
    // Skewed towards the first models, but every model is requested.
    const model = MODELS[Math.floor(random.getNext() ** 2 * MODELS.length)];
    return random.getNext() < 0.2
      ? `${model}/a${1 + random.getInteger(6)}`
      : model;
  };

  const pause = (): Promise<void> =>
    new Promise(resolve => {
      const pauseMs = -Math.log(1 - random.getNext()) * MEAN_PAUSE_MS;
      setTimeout(resolve, pauseMs);
    });

  const drawHabits = (
    habit: CallerHabit,
  ): Pick<CallInput, 'readPauseMs' | 'bodyPartDelayMs'> => {
    const span = MAX_READ_PAUSE_MS - MIN_READ_PAUSE_MS;
    if (habit === CallerHabit.SlowReading) {
      return {readPauseMs: MIN_READ_PAUSE_MS + random.getNext() * span};
    }
    return habit === CallerHabit.SplitBodies
      ? {bodyPartDelayMs: random.getNext() * MAX_BODY_PART_DELAY_MS}
      : {};
  };

  const run = async (index: number): Promise<void> => {
    const habit = HABITS[index % HABITS.length];
    let isServed = false;
    const account = accounts[index % accounts.length];
    const create =
      habit === CallerHabit.Pipelining ? createPipeliningCaller : createCaller;
    let gateway = gateways[index % gateways.length];
    let caller: Caller = create(options);

    const sendCall = async (kind: CallKind): Promise<CallRecord> => {
      callCount += 1;
      const suffix = habit === CallerHabit.SlowReading ? LARGE_SUFFIX : '';
      const attemptId = `c${index}-${callCount}${suffix}`;
      const record = await caller.call({
        attemptId,
        kind,
        account: account.name,
        key: account.keys[random.getInteger(account.keys.length)],
        model: chooseModel(),
        promptTokens: 100 + random.getInteger(900),
        outputTokens: 72,
        deadlineMs: DEADLINES[kind],
        gateway: gateway.name,
        port: gateway.port,
        promptParts:
          kind === CallKind.Stream
            ? makePromptParts(account.name, attemptId)
            : undefined,
        ...drawHabits(habit),
      });
      history.calls.push(record);
      return record;
    };

    while (isRunning) {
      if (!isServed || habit !== CallerHabit.Immediate) await pause();
      if (!isRunning) break;
      const kind = chooseKind();
      const sent = [sendCall(kind)];
      if (habit === CallerHabit.Pipelining) {
        await wait(random.getNext() * MAX_PIPELINED_AFTER_MS);
        sent.push(sendCall(kind));
      }
      const records = await Promise.all(sent);
      isServed = records.every(
        ({status, isComplete}) => status === 200 && isComplete,
      );
      const isUnserved = records.some(
        ({status}) => status === 0 || status === 503,
      );
      const isSwitching = isUnserved && random.getNext() < SWITCH_PROBABILITY;
      const isReconnecting =
        habit !== CallerHabit.Immediate &&
        random.getNext() < RECONNECT_FRACTION;
      if (isSwitching || isReconnecting) {
        caller.close();
        caller = create(options);
        gateway = gateways[random.getInteger(gateways.length)];
      }
    }
    caller.close();
  };

  const callers = Array.from({length: CALLER_COUNT}, (_, index) => run(index));
  return {
    addPoison: part => {
      poisons.push(part);
      return () => void poisons.splice(poisons.indexOf(part), 1);
    },
    stop: async () => {
      isRunning = false;
      await Promise.all(callers);
    },
  };
}
