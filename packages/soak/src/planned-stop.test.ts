import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {CallKind} from '@siskinplank/platform-stand-ins';
import type {CallRecord} from '@siskinplank/platform-stand-ins';
import {ProxyDirection, getMonotonicMs} from '@siskinplank/stand-ins';
import {afterEach, describe, expect, it} from 'vitest';
import {startGatewayFleet} from './testing/gateway-fleet';
import type {GatewayFleet} from './testing/gateway-fleet';
import {startSingleGateway, wait} from './testing/single-gateway';
import type {SingleGateway} from './testing/single-gateway';

const RESPONSE_MS = 1_200;
const DEADLINE_MS = 12_000;
/** So long that no request counts as one that waited unread for too long. */
const TARGET_MS = 60_000;
/** Time after SIGTERM until which the load balancer sends new connections. */
const NOTICE_MS = 1_500;
/** Time after SIGTERM at which the gateway ends what is still open. */
const GRACE_END_MS = 7_500;
/** The platform would kill the process this long after SIGTERM. */
const KILL_MS = 8_000;
/** For the time that processes take to act. */
const TOLERANCE_MS = 500;
const WARM_UP_COUNT = 12;
/** More than the kernel buffers of both sides hold. */
const LONG_ANSWER_BYTES = 16_777_216;
/** Pause of the slow caller between two reads. */
const READ_PAUSE_MS = 10;
const HEAD_END = '\r\n\r\n';

/** Whether a gateway accepts connections. */
function canConnect(port: number): Promise<boolean> {
  return new Promise(resolve => {
    const socket = connect(port, '127.0.0.1');
    socket.on('error', () => resolve(false));
    socket.on('connect', () => {
      socket.destroy();
      resolve(true);
    });
  });
}

describe('planned stop of a gateway', () => {
  let single: SingleGateway;

  afterEach(() => single.close());

  const start = async (plainResponseMs: number): Promise<void> => {
    single = await startSingleGateway({
      timeoutMs: DEADLINE_MS,
      targetMs: TARGET_MS,
      deadlineMs: DEADLINE_MS,
    });
    single.upstream.setFault({plainResponseMs});
  };

  /** Sends an order whose body follows `bodyDelayMs` after its head. */
  const sendOrder = async (
    attemptId: string,
    bodyDelayMs?: number,
  ): Promise<CallRecord> => {
    const {record, caller} = single.sendRequest(
      attemptId,
      CallKind.Order,
      bodyDelayMs,
    );
    const ended = await record;
    caller.close();
    return ended;
  };

  const warmUp = async (): Promise<void> => {
    const calls = Array.from({length: WARM_UP_COUNT}, (_, index) =>
      sendOrder(`warm-up-${index}`),
    );
    await Promise.all(calls);
  };

  const hasRun = (attemptId: string): boolean =>
    single.runs.some(run => run.attemptId === attemptId);

  /** Resolves to what the gateway sent until the connection closed. */
  const readAll = (socket: Socket): Promise<string> =>
    new Promise(resolve => {
      let text = '';
      socket.setEncoding('utf8');
      socket.on('data', (chunk: string) => {
        text += chunk;
      });
      if (socket.destroyed) resolve(text);
      socket.on('close', () => resolve(text));
    });

  const openConnection = async (): Promise<Socket> => {
    const socket = connect(single.gateway.port, '127.0.0.1');
    socket.on('error', () => undefined);
    await new Promise<void>(resolve => socket.once('connect', resolve));
    return socket;
  };

  it('ends no order that came late in the grace without an answer', async () => {
    await start(RESPONSE_MS);
    await warmUp();
    single.gateway.send('SIGTERM');
    const calls: Array<Promise<CallRecord>> = [];
    const bodyAtMs: number[] = [];
    for (let atMs = 0; atMs < NOTICE_MS; atMs += 50) {
      const bodyDelayMs = (atMs / NOTICE_MS) * KILL_MS;
      bodyAtMs.push(atMs + bodyDelayMs);
      calls.push(sendOrder(`order-${atMs}`, bodyDelayMs));
      await wait(50);
    }
    const records = await Promise.all(calls);
    const cut = records.filter(
      ({attemptId, isComplete}) => !isComplete && hasRun(attemptId),
    );
    expect(cut.map(({attemptId}) => attemptId)).toEqual([]);
    const early = records.filter(
      (_, index) => bodyAtMs[index] < GRACE_END_MS - 2 * RESPONSE_MS,
    );
    expect(new Set(early.map(({status}) => status))).toEqual(new Set([200]));
    const refused = records.filter(({status}) => status === 503);
    expect(refused.length).toBeGreaterThan(0);
    for (const {attemptId, retryAfterMs} of refused) {
      expect(hasRun(attemptId)).toBe(false);
      expect(retryAfterMs).toBeLessThanOrEqual(100);
    }
  });

  it('answers an order that its upstream does not answer in the grace', async () => {
    await start(DEADLINE_MS);
    const order = sendOrder('hanging-order');
    await wait(100);
    single.gateway.send('SIGTERM');
    const {status, isComplete} = await order;
    expect(hasRun('hanging-order')).toBe(true);
    expect([status, isComplete]).toEqual([502, true]);
  });

  it('refuses an order whose body is not complete at the end of the grace', async () => {
    await start(RESPONSE_MS);
    const order = sendOrder('slow-body', DEADLINE_MS);
    await wait(100);
    single.gateway.send('SIGTERM');
    const {status, isComplete} = await order;
    expect([status, isComplete]).toEqual([503, true]);
    expect(hasRun('slow-body')).toBe(false);
  });

  it('passes on no order of a connection without a request that it cuts', async () => {
    await start(RESPONSE_MS);
    await warmUp();
    const count = 30;
    const sockets: Socket[] = [];
    for (let index = 0; index < count; index += 1) {
      sockets.push(await openConnection());
    }
    single.gateway.send('SIGTERM');
    const outcomes: Array<Promise<{attemptId: string; text: string}>> = [];
    for (const [index, socket] of sockets.entries()) {
      const attemptId = `kept-${index}`;
      outcomes.push(readAll(socket).then(text => ({attemptId, text})));
      socket.write(single.encodeOrder(attemptId));
      await wait(KILL_MS / count);
    }
    const cut = (await Promise.all(outcomes))
      .filter(({attemptId, text}) => text === '' && hasRun(attemptId))
      .map(({attemptId}) => attemptId);
    expect(cut).toEqual([]);
  });

  // The connection is closed with the response to the first of them.
  it('answers orders that follow another one on its connection', async () => {
    await start(RESPONSE_MS);
    await warmUp();
    const socket = await openConnection();
    const answered = readAll(socket);
    socket.write(single.encodeOrder('first') + single.encodeOrder('second'));
    await wait(RESPONSE_MS / 4);
    single.gateway.send('SIGTERM');
    await wait(RESPONSE_MS / 4);
    socket.write(single.encodeOrder('third'));
    const text = await answered;
    const attemptIds = ['first', 'second', 'third'];
    expect(attemptIds.filter(hasRun)).toEqual(attemptIds);
    expect(text.match(/HTTP\/1.1 200/g)).toHaveLength(attemptIds.length);
  });

  // A close with unread bytes of the caller resets the connection, which drops
  // what the kernel has taken and not delivered.
  it('drops nothing of a long answer whose caller sends while it reads', async () => {
    await start(RESPONSE_MS / 4);
    single.upstream.setFault({plainAnswerBytes: LONG_ANSWER_BYTES});
    const socket = await openConnection();
    const answered = new Promise<Buffer>(resolve => {
      const chunks: Buffer[] = [];
      socket.on('data', (chunk: Buffer) => {
        if (chunks.length === 0) single.gateway.send('SIGTERM');
        chunks.push(chunk);
        socket.write('\r\n');
        socket.pause();
        setTimeout(() => socket.resume(), READ_PAUSE_MS);
      });
      socket.on('close', () => resolve(Buffer.concat(chunks)));
    });
    socket.write(single.encodeOrder('long'));
    const received = await answered;
    const headBytes = received.indexOf(HEAD_END) + HEAD_END.length;
    expect(received.length - headBytes).toBe(LONG_ANSWER_BYTES);
  });

  it('answers or refuses orders that wait behind one whose answer is read slowly', async () => {
    await start(RESPONSE_MS / 4);
    single.upstream.setFault({plainAnswerBytes: LONG_ANSWER_BYTES});
    const socket = await openConnection();
    const attemptIds = ['first', 'second', 'third', 'unread'];
    for (const attemptId of attemptIds) {
      socket.write(single.encodeOrder(attemptId));
      await wait(RESPONSE_MS / 2);
    }
    single.gateway.send('SIGTERM');
    await wait(RESPONSE_MS / 2);
    const text = await readAll(socket);
    expect(text.match(/HTTP\/1.1 (200|503)/g)).toHaveLength(attemptIds.length);
  });

  it('ends in the grace though a caller does not close its connection', async () => {
    await start(RESPONSE_MS);
    const socket = connect({
      port: single.gateway.port,
      host: '127.0.0.1',
      allowHalfOpen: true,
    });
    const ended = new Promise<void>(resolve => socket.once('end', resolve));
    socket.resume();
    socket.write(single.encodeOrder('first'));
    await wait(RESPONSE_MS / 4);
    single.gateway.send('SIGTERM');
    const stoppedAtMs = getMonotonicMs();
    await single.gateway.waitForExit();
    expect(getMonotonicMs() - stoppedAtMs).toBeLessThan(KILL_MS);
    expect(hasRun('first')).toBe(true);
    await ended;
    socket.destroy();
  });

  it('waits for no orders whose caller left before they were answered', async () => {
    await start(RESPONSE_MS);
    const socket = await openConnection();
    socket.write(single.encodeOrder('first') + single.encodeOrder('second'));
    await wait(RESPONSE_MS / 4);
    socket.destroy();
    await wait(2 * RESPONSE_MS);
    single.gateway.send('SIGTERM');
    const stoppedAtMs = getMonotonicMs();
    await single.gateway.waitForExit();
    expect(getMonotonicMs() - stoppedAtMs).toBeLessThan(2 * NOTICE_MS);
  });

  it('ends no order at a second signal to stop', async () => {
    await start(RESPONSE_MS);
    const order = sendOrder('open-order');
    await wait(100);
    single.gateway.send('SIGTERM');
    await wait(100);
    single.gateway.send('SIGTERM');
    single.gateway.send('SIGINT');
    expect((await order).status).toBe(200);
  });
}, 60_000);

describe('planned stop of gateways whose store does not answer', () => {
  let fleet: GatewayFleet;

  afterEach(() => fleet.close());

  // One of them holds the order lease, and writes that it gives it up.
  it('accepts connections no longer than the balancer needs', async () => {
    fleet = await startGatewayFleet({gatewayCount: 2, engineCount: 1});
    for (const {storeProxy} of fleet.gateways) {
      storeProxy.applyFault({stall: ProxyDirection.ToClient});
    }
    const acceptedMs = await Promise.all(
      fleet.gateways.map(async gateway => {
        const startedAtMs = fleet.getNowMs();
        gateway.send('SIGTERM');
        while (await canConnect(gateway.port)) await wait(20);
        return fleet.getNowMs() - startedAtMs;
      }),
    );
    expect(Math.max(...acceptedMs)).toBeLessThan(NOTICE_MS + TOLERANCE_MS);
  });
}, 60_000);
