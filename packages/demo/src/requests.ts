/** Requests of the demo and the checks of their responses. */
import OpenAI from 'openai';
import {createSystemClock} from '@siskinplank/foundation';
import type {Cluster, EntryNode} from '@siskinplank/proof';
import {computeExpectedText, formatChatPrompt} from '@siskinplank/stand-ins';
import type {ReceivedSpan} from '@siskinplank/stand-ins';
import type {DemoReport} from './report';

const HOPS_HEADER = 'x-siskinplank-hops';
const MAX_TOKENS = 48;
/** Maximum wait for spans, which are exported every half second. */
const TRACE_LIMIT_MS = 5_000;
/** Maximum time until an accepted change is in force in all processes. */
const IN_FORCE_LIMIT_MS = 7_000;
const POLL_MS = 100;
const HTTP_OK = 200;
const KEY_PATTERN = /sk-[a-z0-9]+-[0-9a-f]+/;

/** The demo's caller. */
export interface DemoCaller {
  /** Waits until the entry process accepts the key; records the result. */
  waitForKey(entry: EntryNode): Promise<void>;
  runStreamedCompletion(entry: EntryNode, model: string): Promise<void>;
  runAdapterCompletion(
    entry: EntryNode,
    adapter: string,
    model: string,
  ): Promise<void>;
  runRepeatedOrder(entries: readonly EntryNode[]): Promise<void>;
  checkUpstreamLogs(names: readonly string[]): Promise<void>;
  /** Prints the services of a trace with spans of several processes. */
  checkTraces(): Promise<void>;
}

/** Lists the services of the first trace that has spans of several. */
function listTraceServices(spans: readonly ReceivedSpan[]): string[] {
  const services = new Map<string, Set<string>>();
  for (const {traceId, service} of spans) {
    const seen = services.get(traceId) ?? new Set<string>();
    services.set(traceId, seen.add(service));
  }
  const firstShared = [...services.values()].find(({size}) => size > 1);
  return [...(firstShared ?? [])];
}

interface OrderResponse {
  status: number;
  text: string;
  headers: Headers;
}

/** Creates a caller that authenticates with `key`. */
export function createDemoCaller(
  cluster: Cluster,
  key: string,
  report: DemoReport,
): DemoCaller {
  const createClient = (entry: EntryNode): OpenAI =>
    new OpenAI({
      apiKey: key,
      baseURL: `${entry.callerUrl}/v1`,
      maxRetries: 0,
    });
  const printResponse = (
    title: string,
    entry: EntryNode,
    answer: string,
    headers: Headers,
  ): void => {
    report.print(`${title} through ${entry.name}`);
    report.print(`  response: ${answer}`);
    const hops = headers.get(HOPS_HEADER) ?? '';
    report.print(`  hops: ${hops}`);
    report.recordCheck('the response lists its hops', hops !== '');
  };
  const makeMessages = (content: string) => [{role: 'user' as const, content}];
  const checkText = (
    text: string,
    input: {model: string; adapter?: string; content: string},
  ): void => {
    const {model, adapter, content} = input;
    const prompt = formatChatPrompt(makeMessages(content));
    const expected = computeExpectedText({
      model,
      adapter,
      prompt,
      maxTokens: MAX_TOKENS,
    });
    report.recordCheck(
      'the response is complete and correct',
      text === expected,
    );
  };
  const sendOrder = async (
    entry: EntryNode,
    idempotencyKey: string,
  ): Promise<OrderResponse> => {
    const response = await fetch(`${entry.callerUrl}/orders`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${key}`,
        'content-type': 'application/json',
        'idempotency-key': idempotencyKey,
      },
      body: JSON.stringify({plate: 'brass', text: 'Opened in 1911'}),
    });
    const {status, headers} = response;
    return {status, headers, text: await response.text()};
  };
  return {
    waitForKey: async entry => {
      const clock = createSystemClock();
      const deadlineMs = clock.getNowMs() + IN_FORCE_LIMIT_MS;
      for (;;) {
        const response = await fetch(`${entry.callerUrl}/v1/models`, {
          headers: {authorization: `Bearer ${key}`},
        });
        await response.text();
        const isKnown = response.status === HTTP_OK;
        if (isKnown || clock.getNowMs() > deadlineMs) {
          report.recordCheck(
            `${entry.name} accepts the key within 7 s`,
            isKnown,
          );
          return;
        }
        await clock.waitMs(POLL_MS);
      }
    },
    runStreamedCompletion: async (entry, model) => {
      const content = 'Draft the text of a plate for the new bridge';
      const {data, response} = await createClient(entry)
        .chat.completions.create({
          model,
          messages: makeMessages(content),
          max_tokens: MAX_TOKENS,
          stream: true,
        })
        .withResponse();
      let text = '';
      let chunks = 0;
      for await (const chunk of data) {
        text += chunk.choices[0]?.delta.content ?? '';
        chunks += 1;
      }
      printResponse('Streamed completion', entry, text, response.headers);
      report.print(`  chunks: ${chunks}`);
      checkText(text, {model, content});
    },
    runAdapterCompletion: async (entry, adapter, model) => {
      const content = 'Set the same text for brass';
      const {data, response} = await createClient(entry)
        .chat.completions.create({
          model: adapter,
          messages: makeMessages(content),
          max_tokens: MAX_TOKENS,
        })
        .withResponse();
      const text = data.choices[0]?.message.content ?? '';
      printResponse('Adapter completion', entry, text, response.headers);
      checkText(text, {model, adapter, content});
    },
    runRepeatedOrder: async entries => {
      const answers: OrderResponse[] = [];
      for (const entry of entries) {
        const answer = await sendOrder(entry, 'demo-order-1');
        printResponse('Order', entry, answer.text, answer.headers);
        answers.push(answer);
      }
      const isDone = answers.every(({status}) => status === HTTP_OK);
      report.recordCheck('both orders succeeded', isDone);
      const isSame = answers.every(({text}) => text === answers[0].text);
      report.recordCheck('both responses are the same', isSame);
      const runs = await cluster.getStandIn('orders').listLog('run');
      report.recordCheck('the order ran once', runs.length === 1);
    },
    checkUpstreamLogs: async names => {
      for (const name of names) {
        const log = await cluster.getStandIn(name).listLog();
        const isSeen = KEY_PATTERN.test(JSON.stringify(log));
        report.recordCheck(`${name} received no caller's key`, !isSeen);
      }
    },
    checkTraces: async () => {
      const clock = createSystemClock();
      const deadlineMs = clock.getNowMs() + TRACE_LIMIT_MS;
      let hops: string[] = [];
      while (hops.length === 0 && clock.getNowMs() < deadlineMs) {
        await clock.waitMs(POLL_MS);
        const received = (await cluster.collector?.requestJson(
          'GET',
          '/control/spans',
        )) as {spans: ReceivedSpan[]};
        hops = listTraceServices(received.spans);
      }
      report.print(`Trace with spans of: ${hops.join(', ')}`);
      report.recordCheck('a trace has spans of both hops', hops.length > 1);
    },
  };
}
