/** Checks on the answers that callers got. */
import {z} from 'zod';
import {ResourceKind} from '@siskinplank/resources';
import {computeExpectedText, formatChatPrompt} from '@siskinplank/stand-ins';
import type {ChatMessage} from '@siskinplank/stand-ins';
import {getRunState} from '../caller';
import type {CallRecord} from '../caller';
import type {ScenarioContext} from '../context';
import {defineCheck, describeTooFew} from '../types';

const DEFAULT_MAX_TOKENS = 256;

interface CompletionBody {
  model: string;
  prompt?: string;
  messages?: ChatMessage[];
  max_tokens?: number;
  stream?: boolean;
}

interface ChoicePart {
  text?: string;
  message?: {content?: string};
  delta?: {content?: string};
}

interface AnswerPart {
  choices?: ChoicePart[];
  error?: unknown;
}

/** A stream as its reader understands it. */
interface StreamReading {
  text: string;
  isDone: boolean;
  hasError: boolean;
  isMalformed: boolean;
}

function extractText(part: AnswerPart): string {
  const choice = part.choices?.[0];
  return (
    choice?.text ?? choice?.message?.content ?? choice?.delta?.content ?? ''
  );
}

/** Reads server-sent events. */
export function readStream(text: string): StreamReading {
  const reading: StreamReading = {
    text: '',
    isDone: false,
    hasError: false,
    isMalformed: false,
  };
  for (const line of text.split('\n')) {
    if (!line.startsWith('data: ')) continue;
    const data = line.slice('data: '.length);
    if (data === '[DONE]') {
      reading.isDone = true;
      continue;
    }
    try {
      const part = JSON.parse(data) as AnswerPart;
      if (part.error !== undefined) reading.hasError = true;
      else reading.text += extractText(part);
    } catch {
      reading.isMalformed = true;
    }
  }
  return reading;
}

function computeReference(
  record: CallRecord,
  {scenario}: ScenarioContext,
): string {
  const body = JSON.parse(record.body) as CompletionBody;
  const adapter = scenario.system.objects.find(
    ({kind, name}) => kind === ResourceKind.Adapter && name === body.model,
  );
  return computeExpectedText({
    model: adapter === undefined ? body.model : String(adapter.spec.model),
    adapter: adapter?.name,
    prompt: body.prompt ?? formatChatPrompt(body.messages ?? []),
    maxTokens: body.max_tokens ?? DEFAULT_MAX_TOKENS,
  });
}

function checkStream(
  record: CallRecord,
  expected: string,
  mayBeCut: boolean,
): string | undefined {
  const {text, isDone, hasError, isMalformed} = readStream(record.text);
  if (isDone && record.error === undefined) {
    if (hasError) return 'a stream ended both with an error and as done';
    return text === expected ? undefined : `stream differs: ${text}`;
  }
  if (!expected.startsWith(text)) return `broken stream differs: ${text}`;
  if (hasError) return undefined;
  if (record.error !== undefined && mayBeCut) return undefined;
  return `stream ended without an error${isMalformed ? ', malformed' : ''}`;
}

function checkWhole(
  record: CallRecord,
  expected: string,
  mayBeCut: boolean,
): string | undefined {
  if (record.error !== undefined) {
    return mayBeCut ? undefined : `cut: ${record.error}`;
  }
  try {
    const text = extractText(JSON.parse(record.text) as AnswerPart);
    return text === expected ? undefined : `answer differs: ${text}`;
  } catch {
    return `malformed answer: ${record.text}`;
  }
}

function checkEcho(record: CallRecord, mayBeCut: boolean): string | undefined {
  if (record.error !== undefined) {
    return mayBeCut ? undefined : `cut: ${record.error}`;
  }
  try {
    const echo = JSON.parse(record.text) as {body?: unknown; path?: unknown};
    return echo.body === record.body && echo.path === record.path
      ? undefined
      : `answer to another request: ${record.text}`;
  } catch {
    return `malformed answer: ${record.text}`;
  }
}

function checkRecord(
  record: CallRecord,
  context: ScenarioContext,
  mayBeCut: boolean,
): string | undefined {
  if (record.path === '/v1/models') return undefined;
  if (!record.path.startsWith('/v1/')) return checkEcho(record, mayBeCut);
  const expected = computeReference(record, context);
  const type = record.headers['content-type'] ?? '';
  return type.startsWith('text/event-stream')
    ? checkStream(record, expected, mayBeCut)
    : checkWhole(record, expected, mayBeCut);
}

function describeRecord({name, marker, path}: CallRecord): string {
  return `${name ?? marker} ${path}`;
}

/**
 * Every answer with status 200 is whole and belongs to its request; every
 * incomplete one ended with an explicit error.
 */
export const wholeAnswerCheck = defineCheck(
  z.strictObject({
    /** Whether a cut connection is allowed, as when the entry process was killed. */
    mayBeCut: z.boolean().default(false),
    /** Least number of answers, so that the check is not empty. */
    atLeast: z.int().min(0).default(1),
  }),
  ({mayBeCut, atLeast}, context) => {
    const answered = context.caller
      .listRecords()
      .filter(({status, isCancelled}) => status === 200 && !isCancelled);
    const problems = answered.flatMap(record => {
      const problem = checkRecord(record, context, mayBeCut);
      return problem === undefined
        ? []
        : [`${describeRecord(record)}: ${problem}`];
    });
    return [
      ...problems,
      ...describeTooFew('answers', answered.length, atLeast),
    ];
  },
);

/** No request was cut: each was answered whole or refused as not run. */
export const noCutCheck = defineCheck(
  z.strictObject({atLeast: z.int().min(0).default(1)}),
  ({atLeast}, context) => {
    const records = context.caller
      .listRecords()
      .filter(({isCancelled}) => !isCancelled);
    const problems = records.flatMap(record => {
      if (record.error !== undefined) {
        return [`${describeRecord(record)}: ${record.error}`];
      }
      if (record.status === 200) {
        const problem = checkRecord(record, context, false);
        return problem ? [`${describeRecord(record)}: ${problem}`] : [];
      }
      if (getRunState(record) === 'not-run') return [];
      return [`${describeRecord(record)}: ${record.status} ${record.text}`];
    });
    const answers = records.filter(({status}) => status === 200).length;
    return [...problems, ...describeTooFew('answers', answers, atLeast)];
  },
);

/** Every request was answered whole; none was refused. */
export const allAnsweredCheck = defineCheck(
  z.strictObject({
    atLeast: z.int().min(1).default(1),
    /** Named requests whose outcome the steps expect. */
    except: z.array(z.string()).default([]),
  }),
  ({atLeast, except}, context) => {
    const records = context.caller
      .listRecords()
      .filter(({name}) => name === undefined || !except.includes(name));
    const problems = records.flatMap(record => {
      const {status, text, error} = record;
      const isWhole = status === 200 && error === undefined;
      const problem = isWhole
        ? checkRecord(record, context, false)
        : `${status} ${error ?? ''} ${text.slice(-200)}`;
      return problem ? [`${describeRecord(record)}: ${problem}`] : [];
    });
    if (records.length < atLeast) {
      problems.push(`${records.length} requests; expected ${atLeast} or more`);
    }
    return problems;
  },
);
