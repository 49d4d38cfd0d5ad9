/** Sends one request of a trace and times its answer from outside. */
import {createSystemClock} from '@siskinplank/foundation';
import {PriorityClass} from '@siskinplank/resources';
import type {Dispatcher} from 'undici';
import type {TraceRequest} from './trace';

/** Outcome of one request at its caller; times since the start of the run. */
export interface RequestOutcome {
  index: number;
  sentAtMs: number;
  /** Response head; absent when the connection failed. */
  headAtMs?: number;
  firstTokenAtMs?: number;
  endAtMs: number;
  status: number;
  /** Code of a refusal or of an error in the stream. */
  code: string;
  isComplete: boolean;
  tokens: number;
  promptTokens: number;
  /** 95th percentile of the times between the tokens of this request. */
  betweenTokensP95Ms: number;
}

const HTTP_OK = 200;
/** Time after the deadline in which the answer to a refusal must come. */
const TIMEOUT_MARGIN_MS = 5_000;
const ERROR_CODE_PATTERN = /"code":"([a-z_]+)"/;
const PROMPT_TOKENS_PATTERN = /"prompt_tokens":(\d+)/;
const clock = createSystemClock();

/** Nearest-rank quantile; 0 of no values. */
export function computeQuantile(
  values: readonly number[],
  quantile: number,
): number {
  if (values.length === 0) return 0;
  const sorted = [...values].sort((a, b) => a - b);
  const rank = Math.ceil(quantile * sorted.length) - 1;
  return sorted[Math.max(0, Math.min(sorted.length - 1, rank))];
}

function buildOptions(
  request: TraceRequest,
  key: string,
): Dispatcher.RequestOptions {
  const timeout = request.deadlineMs + TIMEOUT_MARGIN_MS;
  const headers = {
    authorization: `Bearer ${key}`,
    'content-type': 'application/json',
    'x-siskinplank-deadline-ms': String(Math.round(request.deadlineMs)),
    'x-siskinplank-priority': request.priority,
  };
  const common = {headers, headersTimeout: timeout, bodyTimeout: timeout};
  if (request.target === '') {
    return {...common, method: 'GET', path: '/stock/willow'};
  }
  return {
    ...common,
    method: 'POST',
    path: '/v1/completions',
    body: JSON.stringify({
      model: request.target,
      prompt: request.prompt,
      max_tokens: request.maxTokens,
      stream: true,
      stream_options: {include_usage: true},
    }),
  };
}

/** Sends the request; every failure is part of the outcome. */
export async function sendTraceRequest(
  dispatcher: Dispatcher,
  request: TraceRequest,
  index: number,
  key: string,
  startMs: number,
): Promise<RequestOutcome> {
  const getAtMs = (): number => clock.getNowMs() - startMs;
  const outcome: RequestOutcome = {
    index,
    sentAtMs: getAtMs(),
    endAtMs: 0,
    status: 0,
    code: '',
    isComplete: false,
    tokens: 0,
    promptTokens: 0,
    betweenTokensP95Ms: 0,
  };
  const gaps: number[] = [];
  try {
    const response = await dispatcher.request(buildOptions(request, key));
    outcome.status = response.statusCode;
    outcome.headAtMs = getAtMs();
    let lastMs = 0;
    let tail = '';
    for await (const part of response.body as AsyncIterable<Buffer>) {
      const nowMs = getAtMs();
      const text = tail + part.toString('latin1');
      const events = text.split('\n\n');
      tail = events.pop() ?? '';
      for (const event of events) {
        const isToken = event.includes('"finish_reason":null');
        if (isToken) {
          if (outcome.tokens > 0) gaps.push(nowMs - lastMs);
          outcome.firstTokenAtMs ??= nowMs;
          lastMs = nowMs;
          outcome.tokens += 1;
        } else if (event.includes('data: [DONE]')) {
          outcome.isComplete = true;
        } else if (event.includes('"error"')) {
          outcome.code = ERROR_CODE_PATTERN.exec(event)?.[1] ?? 'error';
        } else {
          const usage = PROMPT_TOKENS_PATTERN.exec(event);
          if (usage !== null) outcome.promptTokens = Number(usage[1]);
        }
      }
    }
    if (outcome.status !== HTTP_OK) {
      outcome.code = ERROR_CODE_PATTERN.exec(tail)?.[1] ?? 'error';
    } else if (request.target === '') {
      outcome.isComplete = true;
      outcome.firstTokenAtMs = getAtMs();
    }
  } catch (error) {
    outcome.code ||= `connection: ${String(error).slice(0, 80)}`;
  }
  outcome.endAtMs = getAtMs();
  outcome.betweenTokensP95Ms = computeQuantile(gaps, 0.95);
  return outcome;
}

/** Whether a request waits for its answer, rather than collecting it later. */
export function isAwaited(request: TraceRequest): boolean {
  return request.priority === PriorityClass.Awaited;
}
