import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import type {LogLine} from './gateways';
import {startSingleGateway, wait} from './testing/single-gateway';
import type {SingleGateway} from './testing/single-gateway';

const RESPONSE_MS = 600;
const DEADLINE_MS = 12_000;
/** More than the kernel buffers of both sides hold. */
const LONG_ANSWER_BYTES = 16_777_216;
/** Longer than log lines are buffered. */
const LOG_DELAY_MS = 400;

describe('log lines of a request', () => {
  let single: SingleGateway;

  beforeEach(async () => {
    single = await startSingleGateway({
      timeoutMs: DEADLINE_MS,
      targetMs: DEADLINE_MS,
      deadlineMs: DEADLINE_MS,
    });
    single.upstream.setFault({plainResponseMs: RESPONSE_MS});
  });
  afterEach(() => single.close());

  const send = async (text: string): Promise<Socket> => {
    const socket = connect(single.gateway.port, '127.0.0.1');
    socket.on('error', () => undefined);
    await new Promise<void>(resolve => socket.once('connect', resolve));
    socket.write(text);
    await wait(RESPONSE_MS / 2);
    return socket;
  };

  const findEnd = (attemptId: string): LogLine | undefined =>
    single.gateway
      .readLog()
      .find(({event, request}) => event === 6030 && request === attemptId);

  it('names a caller that left before its answer', async () => {
    const socket = await send(single.encodeOrder('left'));
    socket.destroy();
    await wait(LOG_DELAY_MS);
    expect(findEnd('left')).toMatchObject({status: 0, closedBy: 'caller'});
  });

  // Guards against requests that leave no line because they were not started.
  it('names a caller that left before its body was complete', async () => {
    const order = single.encodeOrder('unread');
    const socket = await send(
      order.replace('Content-Length: 0', 'Content-Length: 9'),
    );
    socket.destroy();
    await wait(LOG_DELAY_MS);
    expect(findEnd('unread')).toMatchObject({status: 0, closedBy: 'caller'});
  });

  it('names the gateway for a request that follows the last answer of its connection', async () => {
    single.upstream.setFault({
      plainResponseMs: RESPONSE_MS,
      plainAnswerBytes: LONG_ANSWER_BYTES,
    });
    const socket = await send(single.encodeOrder('last'));
    single.gateway.send('SIGTERM');
    await new Promise<void>(resolve => socket.once('readable', resolve));
    socket.write(single.encodeOrder('following'));
    await wait(LOG_DELAY_MS);
    socket.resume();
    await new Promise<void>(resolve => socket.once('close', resolve));
    await wait(LOG_DELAY_MS);
    expect(findEnd('following')).toMatchObject({
      status: 0,
      closedBy: 'gateway',
    });
  });

  it('names no close for a request that was answered', async () => {
    const socket = await send(single.encodeOrder('answered'));
    await wait(RESPONSE_MS + LOG_DELAY_MS);
    socket.destroy();
    expect(findEnd('answered')).toMatchObject({status: 200});
    expect(findEnd('answered')).not.toHaveProperty('closedBy');
  });
}, 60_000);
