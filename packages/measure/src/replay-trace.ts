/** Replays a trace against the entry hosts at its own times. */
import {monitorEventLoopDelay} from 'node:perf_hooks';
import {createSystemClock} from '@siskinplank/foundation';
import {Agent} from 'undici';
import type {Dispatcher} from 'undici';
import {sendTraceRequest} from './send-request';
import type {RequestOutcome} from './send-request';
import type {Trace} from './trace';

/** Something that happens during a run, such as a fault. */
export interface TimedAction {
  atMs: number;
  run(): Promise<void>;
}

/** Result of a run of a trace. */
export interface LoadResult {
  outcomes: RequestOutcome[];
  /** Delays of the load generator's own event loop. */
  loopDelayP99Ms: number;
  loopDelayMaxMs: number;
  /** Delay of the sends behind the times of the trace. */
  sendLagP99Ms: number;
}

const NANOSECONDS_IN_MILLISECOND = 1e6;
const LOOP_DELAY_RESOLUTION_MS = 1;
const CONNECTIONS_PER_ENTRY = 256;
const P99 = 0.99;

/** Sends every request of the trace, in turn to each entry host. */
export async function replayTrace(
  trace: Trace,
  entryUrls: readonly string[],
  keys: Readonly<Record<string, string>>,
  actions: readonly TimedAction[],
): Promise<LoadResult> {
  const clock = createSystemClock();
  const agent = new Agent({connections: CONNECTIONS_PER_ENTRY});
  const clients: Dispatcher[] = entryUrls.map(url =>
    agent.compose(
      dispatch => (options, handler) =>
        dispatch({...options, origin: url}, handler),
    ),
  );
  const delays = monitorEventLoopDelay({resolution: LOOP_DELAY_RESOLUTION_MS});
  delays.enable();
  const startMs = clock.getNowMs();
  const runAction = async ({atMs, run}: TimedAction): Promise<void> => {
    await clock.waitMs(Math.max(0, startMs + atMs - clock.getNowMs()));
    await run();
  };
  const running = actions.map(runAction);
  const pending: Array<Promise<RequestOutcome>> = [];
  for (const [index, request] of trace.requests.entries()) {
    const waitMs = startMs + request.atMs - clock.getNowMs();
    if (waitMs > 0) await clock.waitMs(waitMs);
    const client = clients[index % clients.length];
    const key = keys[request.account];
    pending.push(sendTraceRequest(client, request, index, key, startMs));
  }
  const outcomes = await Promise.all(pending);
  await Promise.all(running);
  delays.disable();
  await agent.close();
  const lags = outcomes
    .map(({sentAtMs, index}) => sentAtMs - trace.requests[index].atMs)
    .sort((a, b) => a - b);
  return {
    outcomes,
    loopDelayP99Ms: delays.percentile(P99 * 100) / NANOSECONDS_IN_MILLISECOND,
    loopDelayMaxMs: delays.max / NANOSECONDS_IN_MILLISECOND,
    sendLagP99Ms: lags[Math.floor(lags.length * P99)] ?? 0,
  };
}
