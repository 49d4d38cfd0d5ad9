/** Requests that end each upstream that begins to run them. */
import {afterEach, describe, expect, it} from 'vitest';
import {MessageType, computeRequestKey} from '@siskinplank/messages';
import type {Message, MessageOf} from '@siskinplank/messages';
import {
  RefusalCode,
  ResourceKind,
  RunState,
  formatKey,
  hashSecret,
} from '@siskinplank/resources';
import {
  HASH_KEY,
  SECRET,
  replyWithResponse,
  startHarness,
} from '../testing/harness';
import type {Harness} from '../testing/harness';
import type {FakeSide} from '../testing/fake-network';

type Open = MessageOf<MessageType.RequestOpen>;

const DEADLY = 'ends each upstream';
const OTHER_KEY_ID = 'key00002';
const SIDE_COUNT = 5;

/** Entry processes whose upstreams end under some requests. */
interface DeadlyCluster {
  harnesses: Harness[];
  /** Whether an upstream ends under the request; may change. */
  isDeadly: (open: Open) => boolean;
  ends: number;
  answers: Message[];
}

const running: Harness[] = [];
afterEach(async () => {
  for (const {entry} of running.splice(0)) await entry.stop();
});

function makeEndNews(open: Open, endId: string): Message {
  return {
    type: MessageType.UpstreamEnded,
    upstream: 'any',
    endId,
    requests: [[computeRequestKey(open), 1]],
  };
}

async function startDeadlyCluster(entryCount: number): Promise<DeadlyCluster> {
  const cluster: DeadlyCluster = {
    harnesses: [],
    isDeadly: open => Buffer.from(open.body).includes(DEADLY),
    ends: 0,
    answers: [],
  };
  const handleMessage = (
    message: Message,
    reply: (message: Message) => void,
    side: FakeSide,
  ): void => {
    if (message.type === MessageType.RequestAnswered) {
      cluster.answers.push(message);
      for (const {sides} of cluster.harnesses) {
        if (!sides.includes(side)) sides[0].push(message);
      }
    }
    if (message.type !== MessageType.RequestOpen) return;
    if (!cluster.isDeadly(message)) {
      replyWithResponse(message, reply, ['{}']);
      return;
    }
    cluster.ends += 1;
    const news = makeEndNews(message, `end-${cluster.ends}`);
    for (const {sides} of cluster.harnesses) {
      if (!sides.includes(side)) sides[0].push(news);
    }
    reply(news);
    reply({
      type: MessageType.Refused,
      attemptId: message.attemptId,
      code: RefusalCode.UpstreamFailed,
      runState: RunState.Unknown,
      message: 'other side closed',
    });
  };
  for (let index = 0; index < entryCount; index += 1) {
    const harness = await startHarness(handleMessage, {sideCount: SIDE_COUNT});
    harness.configuration.put(ResourceKind.ClientAccount, {
      name: 'banat',
      rateTokensPerSecond: 100,
      burstTokens: 1_000,
    });
    harness.configuration.put(ResourceKind.ApiKey, {
      name: OTHER_KEY_ID,
      account: 'banat',
      secretHash: hashSecret(HASH_KEY, SECRET),
      createdAtMs: 0,
    });
    cluster.harnesses.push(harness);
    running.push(harness);
  }
  return cluster;
}

function sendDeadly(
  harness: Harness,
  headers: Record<string, string> = {},
): Promise<Response> {
  const messages = [{role: 'user', content: DEADLY}];
  return harness.sendChat({messages}, headers);
}

describe('requests that end upstreams', () => {
  // Guards against each repetition ending up to maxAttempts upstreams.
  it('end two upstreams however often they are sent again', async () => {
    const cluster = await startDeadlyCluster(1);
    const [harness] = cluster.harnesses;
    const first = await sendDeadly(harness);
    expect(first.headers.get('x-siskinplank-run-state')).toBe('unknown');
    for (let count = 0; count < 8; count += 1) {
      const response = await sendDeadly(harness);
      expect(response.status).toBe(503);
      expect(response.headers.get('x-siskinplank-run-state')).toBe('not-run');
      expect(Number(response.headers.get('retry-after'))).toBeGreaterThan(0);
      expect(await response.json()).toMatchObject({
        error: {code: RefusalCode.PoisonedRequest},
      });
    }
    expect(cluster.ends).toBe(2);
    const opens = harness.sides.flatMap(side => side.listOpens());
    expect(opens).toHaveLength(2);
    expect(harness.limiter.settled.slice(-8)).toEqual(Array(8).fill(0));
  });

  // Guards against entry processes that each let the request end upstreams.
  it('end two upstreams over all entry processes', async () => {
    const cluster = await startDeadlyCluster(3);
    for (let count = 0; count < 12; count += 1) {
      await sendDeadly(cluster.harnesses[count % 3]);
    }
    expect(cluster.ends).toBe(2);
  });

  // Guards against a further run of a non-idempotent request at each repetition.
  it('are refused on non-idempotent routes after two ends', async () => {
    const cluster = await startDeadlyCluster(2);
    const statuses: number[] = [];
    for (let count = 0; count < 6; count += 1) {
      const {baseUrl, key} = cluster.harnesses[count % 2];
      const response = await fetch(`${baseUrl}/orders/17`, {
        method: 'POST',
        headers: {authorization: `Bearer ${key}`},
        body: DEADLY,
      });
      statuses.push(response.status);
    }
    expect(cluster.ends).toBe(2);
    expect(statuses).toEqual([502, 502, 503, 503, 503, 503]);
  });

  // Guards against refusing what another account asks for, or asks otherwise.
  it('do not affect other accounts, bodies and paths', async () => {
    const cluster = await startDeadlyCluster(1);
    const [harness] = cluster.harnesses;
    const ownTag = (open: Open): string => open.accountTag;
    let deadlyTag: string | undefined;
    cluster.isDeadly = open => {
      if (!Buffer.from(open.body).includes(DEADLY)) return false;
      deadlyTag ??= ownTag(open);
      return deadlyTag === ownTag(open);
    };
    await sendDeadly(harness);
    expect((await sendDeadly(harness)).status).toBe(503);
    const otherKey = formatKey(OTHER_KEY_ID, SECRET);
    const other = {authorization: `Bearer ${otherKey}`};
    expect((await sendDeadly(harness, other)).status).toBe(200);
    expect((await harness.sendChat()).status).toBe(200);
    const path = await fetch(`${harness.baseUrl}/catalogue/birch`);
    expect(path.status).toBe(200);
  });

  // Guards against refusing a sound request after ends that it did not cause.
  it('are sound again once one of them is answered, at all entry processes', async () => {
    const cluster = await startDeadlyCluster(2);
    let deadlyCount = 1;
    cluster.isDeadly = () => deadlyCount-- > 0;
    for (let round = 0; round < 5; round += 1) {
      deadlyCount = 1;
      const harness = cluster.harnesses[round % 2];
      expect((await sendDeadly(harness)).status).toBe(200);
      await new Promise(resolve => setTimeout(resolve, 20));
    }
    expect(cluster.ends).toBe(5);
    expect(cluster.answers).toHaveLength(5);
  });

  // Guards against refusing a request whose links or answers were lost.
  it('are not those of which an attempt failed without an end', async () => {
    const cluster = await startDeadlyCluster(1);
    const [harness] = cluster.harnesses;
    for (const side of harness.sides) {
      side.script = (message, reply, {dropLink}) => {
        if (message.type !== MessageType.RequestOpen) return;
        side.incarnation += 'x';
        dropLink();
      };
    }
    for (let count = 0; count < 4; count += 1) {
      const response = await sendDeadly(harness);
      expect(response.status).toBe(502);
    }
    for (const side of harness.sides) {
      side.script = (message, reply) => {
        if (message.type !== MessageType.RequestOpen) return;
        replyWithResponse(message, reply, ['{}']);
      };
    }
    expect((await sendDeadly(harness)).status).toBe(200);
  });
});
