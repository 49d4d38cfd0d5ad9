/** One typical message of each type at the later size. */
import {makeSecureId} from '@siskinplank/foundation';
import {
  GrantOutcome,
  AttemptState,
  FreshnessState,
  MessageType,
  ProcessRole,
  TargetType,
} from '@siskinplank/messages';
import type {Message} from '@siskinplank/messages';
import {
  PriorityClass,
  RefusalCode,
  ResourceKind,
  RunState,
} from '@siskinplank/resources';
import {LATER_SIZE, makeLoad, makeMember, makeObject} from './fixtures';

/** A message with the name that its figures carry. */
export interface MessageSample {
  name: string;
  message: Message;
}

const BODY_BYTES = 2_000;
const ACCOUNTS_IN_BUCKET = 13;

/** Messages of the control plane and of one request. */
export function makeMessageSamples(): MessageSample[] {
  const attemptId = makeSecureId();
  const requestId = makeSecureId();
  const header = {
    revision: 4_321,
    freshness: {state: FreshnessState.Confirmed, ageMs: 812.25},
    stamp: {sentMs: 123_456.25, echoMs: 123_400.5},
    isWatcher: false,
  };
  const account = makeObject(ResourceKind.ClientAccount, 7, LATER_SIZE);
  const key = makeObject(ResourceKind.ApiKey, 7, LATER_SIZE);
  const members = Array.from({length: 10}, (_, index) =>
    makeMember(ProcessRole.Side, index),
  );
  const makeDelta = (object: typeof key): Message => ({
    type: MessageType.ConfigDelta,
    fromRevision: 4_320,
    ...header,
    entries: [{...object}],
  });
  const accountTokens = Object.fromEntries(
    Array.from({length: ACCOUNTS_IN_BUCKET}, (_, index) => [
      `account-${index}`,
      12.5 + index,
    ]),
  );
  const samples: Array<[string, Message]> = [
    [
      'request of 2,000 B',
      {
        type: MessageType.RequestOpen,
        attemptId,
        requestId,
        accountTag: '0123456789abcdef',
        accountWeight: 1,
        target: {type: TargetType.Model, model: 'model-17'},
        method: 'POST',
        path: '/v1/chat/completions',
        headers: {'content-type': 'application/json'},
        body: new Uint8Array(BODY_BYTES),
        priority: PriorityClass.Awaited,
        deadlineMs: 59_000,
        estimatedTokens: 620,
        idempotent: true,
        traceparent: `00-${'a'.repeat(32)}-${'b'.repeat(16)}-01`,
        credit: 262_144,
        hopsLeft: 2,
      },
    ],
    [
      'response head',
      {
        type: MessageType.ResponseHead,
        attemptId,
        sideIncarnation: makeSecureId(),
        status: 200,
        headers: {'content-type': 'text/event-stream'},
      },
    ],
    [
      'response chunk of 200 B',
      {
        type: MessageType.ResponseChunk,
        attemptId,
        sequence: 40,
        data: new Uint8Array(200),
      },
    ],
    [
      'response end',
      {
        type: MessageType.ResponseEnd,
        attemptId,
        chunkCount: 250,
        byteCount: 50_000,
        usage: {promptTokens: 500, completionTokens: 120},
      },
    ],
    [
      'refusal',
      {
        type: MessageType.Refused,
        attemptId,
        code: RefusalCode.Overloaded,
        runState: RunState.NotRun,
        message: 'the queue is full',
        retryAfterMs: 1_000,
      },
    ],
    ['credit', {type: MessageType.Credit, attemptId, bytes: 65_536}],
    [
      'attempt status',
      {
        type: MessageType.AttemptStatus,
        attemptId,
        sideIncarnation: makeSecureId(),
        state: AttemptState.Queued,
      },
    ],
    [
      'load report of 0 prefixes',
      {type: MessageType.LoadReport, load: makeLoad(7, LATER_SIZE, 0)},
    ],
    [
      'load report of 256 prefixes',
      {type: MessageType.LoadReport, load: makeLoad(7, LATER_SIZE, 256)},
    ],
    ['configuration digest', {type: MessageType.ConfigDigest, ...header}],
    ['configuration delta of a key', makeDelta(key)],
    ['configuration delta of an account', makeDelta(account as typeof key)],
    [
      'heartbeat',
      {type: MessageType.Heartbeat, member: makeMember(ProcessRole.Side, 7)},
    ],
    ['member digest of 10', {type: MessageType.MemberDigest, members}],
    [
      'lend request',
      {
        type: MessageType.LendRequest,
        requestId,
        bucket: 3,
        durationMs: 10_000,
      },
    ],
    [
      'loan of 13 accounts',
      {
        type: MessageType.Loan,
        requestId,
        bucket: 3,
        units: 2,
        unitCount: 1_024,
        lentTokens: accountTokens,
        durationMs: 10_000,
      },
    ],
    [
      'grant request',
      {
        type: MessageType.GrantRequest,
        requestId,
        account: 'account-7',
        neededTokens: 620,
        wantedTokens: 1_200,
        reports: [
          {
            requestId: makeSecureId(),
            spentTokens: 600,
            returnedTokens: 0,
            refundedTokens: 100,
          },
        ],
      },
    ],
    [
      'grant',
      {
        type: MessageType.Grant,
        requestId,
        account: 'account-7',
        outcome: GrantOutcome.Granted,
        tokens: 1_800,
        durationMs: 7_000,
        retryAfterMs: 0,
      },
    ],
  ];
  return samples.map(([name, message]) => ({name, message}));
}
