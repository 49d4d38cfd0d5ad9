/** Callers of a whole deployment, which send at the rates of its failure domains. */
import {connect} from 'node:net';
import type {Random} from '@siskinplank/foundation';
import {CallKind, createCaller, isReady} from '@siskinplank/platform-stand-ins';
import type {CallRecord, Caller} from '@siskinplank/platform-stand-ins';
import {DOMAIN_RATES, pickRequest} from './deployment';
import type {DrawnRequest} from './deployment';
import type {SoakGateway} from './gateways';
import type {Traffic, TrafficOptions} from './traffic';

const MILLISECONDS_PER_SECOND = 1_000;
/** Questions to the readiness of each gateway, and how many take it out. */
const QUESTION_PERIOD_MS = 1_000;
const MAX_FAILED_QUESTIONS = 2;
/** Fractions of the requests with a habit of their callers. */
const EARLY_CONNECTION_FRACTION = 0.1;
const CHUNKED_FRACTION = 0.3;
const SPLIT_FRACTION = 0.1;
const SLOW_READING_FRACTION = 0.1;
const MAX_EARLY_MS = 6_000;
const MAX_BODY_PART_DELAY_MS = 300;
const MAX_READ_PAUSE_MS = 1_200;
/** Connections that the callers of a failure domain keep. */
const MAX_KEPT_CONNECTIONS = 28;
const MIN_RETRY_MS = 50;
const MAX_RETRY_MS = 3_000;
const PROMPT_SUBJECT_COUNT = 36;
const REPEATABLE_AFTER: ReadonlySet<number> = new Set([408, 421, 429, 503]);

interface KeptConnection {
  caller: Caller;
  gateway: SoakGateway;
}

function wait(forMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, forMs));
}

interface Balancer {
  /** The nearest gateway that takes connections. */
  chooseGateway(domain: number): SoakGateway;
  stop(): void;
}

/** Takes a gateway out after two failed questions, as the platform does. */
function startBalancer(gateways: readonly SoakGateway[]): Balancer {
  const failures = gateways.map(() => 0);
  const ask = async (index: number): Promise<void> => {
    const isIn = await isReady(gateways[index].readinessPort);
    failures[index] = isIn ? 0 : failures[index] + 1;
  };
  const timer = setInterval(
    () => void Promise.all(gateways.map((_, index) => ask(index))),
    QUESTION_PERIOD_MS,
  );
  return {
    chooseGateway: domain => {
      const order = gateways.map(
        (_, step) => (domain + step) % failures.length,
      );
      const chosen = order.find(
        index => failures[index] < MAX_FAILED_QUESTIONS,
      );
      return gateways[chosen ?? domain];
    },
    stop: () => clearInterval(timer),
  };
}

/** Whether a caller may send a request again after this answer. */
function isRepeatable({kind, status, isComplete}: CallRecord): boolean {
  if (status === 200 && isComplete) return false;
  if (REPEATABLE_AFTER.has(status)) return true;
  return kind !== CallKind.Order && (status === 0 || status >= 500);
}

/** Starts the callers, which send requests until they are stopped. */
export function startDeploymentTraffic(
  options: TrafficOptions & {hasCommonMaxima: boolean},
): Traffic {
  const {gateways, accounts, history, hostName, getNowMs} = options;
  const random: Random = options.random;
  const balancer = startBalancer(gateways);
  const kept: KeptConnection[][] = gateways.map(() => []);
  const open = new Set<Promise<void>>();
  let isRunning = true;
  let requestCount = 0;

  const createConnection = (domain: number): KeptConnection => ({
    caller: createCaller({hostName, getNowMs}),
    gateway: balancer.chooseGateway(domain),
  });

  /** Connects now and returns the connection later, if it is still open. */
  const createEarlyConnection = async (
    domain: number,
  ): Promise<KeptConnection | undefined> => {
    const gateway = balancer.chooseGateway(domain);
    const socket = connect(gateway.port, '127.0.0.1');
    socket.on('error', () => undefined);
    // Reads, so that it learns when the gateway closes the connection.
    socket.resume();
    await wait(random.getNext() * MAX_EARLY_MS);
    if (socket.destroyed || socket.connecting) {
      socket.destroy();
      return undefined;
    }
    return {caller: createCaller({hostName, getNowMs, socket}), gateway};
  };

  /** Takes one of the connections that are still open. */
  const takeConnection = (domain: number): KeptConnection | undefined => {
    kept[domain] = kept[domain].filter(({caller}) => {
      const isUsable = caller.hasIdleConnection();
      if (!isUsable) caller.close();
      return isUsable;
    });
    const index = random.getInteger(kept[domain].length);
    return kept[domain].splice(index, 1).at(0);
  };

  const send = async (
    {caller, gateway}: KeptConnection,
    request: DrawnRequest,
    account: number,
  ): Promise<CallRecord> => {
    const {name, keys} = accounts[account];
    const subject = `${name}-${random.getInteger(PROMPT_SUBJECT_COUNT)}`;
    const draw = (fraction: number): boolean => random.getNext() < fraction;
    const record = await caller.call({
      ...request,
      account: name,
      key: keys[random.getInteger(keys.length)],
      gateway: gateway.name,
      port: gateway.port,
      promptParts: [name, subject, request.attemptId],
      isChunked: draw(CHUNKED_FRACTION),
      ...(draw(SPLIT_FRACTION) && {
        bodyPartDelayMs: random.getNext() * MAX_BODY_PART_DELAY_MS,
      }),
      ...(draw(SLOW_READING_FRACTION) && {
        readPauseMs: random.getNext() * MAX_READ_PAUSE_MS,
      }),
    });
    history.calls.push(record);
    return record;
  };

  const keepOrClose = (domain: number, connection: KeptConnection): void => {
    const canKeep =
      connection.caller.hasIdleConnection() &&
      kept[domain].length < MAX_KEPT_CONNECTIONS;
    if (canKeep) kept[domain].push(connection);
    else connection.caller.close();
  };

  const sendRequest = async (domain: number): Promise<void> => {
    requestCount += 1;
    const name = `${domain}-${requestCount}`;
    const request = pickRequest(random, name, options.hasCommonMaxima);
    const account = random.getInteger(accounts.length);
    const isEarly = random.getNext() < EARLY_CONNECTION_FRACTION;
    const connection = isEarly
      ? await createEarlyConnection(domain)
      : (takeConnection(domain) ?? createConnection(domain));
    if (connection === undefined) return;
    const record = await send(connection, request, account);
    keepOrClose(domain, connection);
    if (!isRepeatable(record) || !isRunning) return;
    const {retryAfterMs = MIN_RETRY_MS} = record;
    await wait(Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, retryAfterMs)));
    const retry = createConnection(domain);
    const attemptId = `again-${request.attemptId}`;
    await send(retry, {...request, attemptId}, account);
    keepOrClose(domain, retry);
  };

  const run = async (domain: number): Promise<void> => {
    const meanGapMs = MILLISECONDS_PER_SECOND / DOMAIN_RATES[domain];
    while (isRunning) {
      await wait(-Math.log(1 - random.getNext()) * meanGapMs);
      const sent = sendRequest(domain);
      open.add(sent);
      void sent.then(() => open.delete(sent));
    }
  };

  const running = gateways.map((_, domain) => run(domain));
  return {
    addPoison: () => () => undefined,
    stop: async () => {
      isRunning = false;
      await Promise.all(running);
      await Promise.all(open);
      balancer.stop();
      for (const {caller} of kept.flat()) caller.close();
    },
  };
}
