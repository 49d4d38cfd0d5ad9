import type {AddressInfo} from 'node:net';
import {createSystemClock} from '@siskinplank/foundation';
import {ProcessRole} from '@siskinplank/messages';
import {WebSocket, WebSocketServer} from 'ws';
import {afterEach, describe, expect, it} from 'vitest';
import {DEFAULT_LIMITS} from './limits';
import {createLink} from './link';
import {LinkCloseReason} from './types';

const STOPPED_CODE = 1000;

describe('link', () => {
  let server: WebSocketServer;

  afterEach(() => server.close());

  // Guards against logs in which a peer that was killed looks like one that stopped.
  it.each([
    [LinkCloseReason.Remote, (socket: WebSocket) => socket.close(STOPPED_CODE)],
    [LinkCloseReason.Lost, (socket: WebSocket) => socket.terminate()],
  ])('closes with the reason "%s"', async (expected, endConnection) => {
    server = new WebSocketServer({host: '127.0.0.1', port: 0});
    await new Promise(resolve => server.once('listening', resolve));
    const {port} = server.address() as AddressInfo;
    const accepted = new Promise<WebSocket>(resolve =>
      server.once('connection', resolve),
    );
    const peerSocket = new WebSocket(`ws://127.0.0.1:${port}`);
    await new Promise(resolve => peerSocket.once('open', resolve));
    const socket = await accepted;
    const closedFor = new Promise<LinkCloseReason>(resolve => {
      createLink(
        'link-1',
        {
          name: 'gateway-1',
          incarnation: '1',
          role: ProcessRole.Entry,
          failureDomain: 'a',
          region: 'r',
          address: {host: '127.0.0.1', port},
        },
        socket,
        {
          clock: createSystemClock(),
          limits: DEFAULT_LIMITS,
          traffic: {
            sentBytes: 0,
            receivedBytes: 0,
            sentMessages: 0,
            receivedMessages: 0,
          },
          onMessage: () => undefined,
          onMalformed: () => undefined,
          onClose: (_link, reason) => resolve(reason),
        },
      );
    });
    endConnection(peerSocket);
    expect(await closedFor).toBe(expected);
  });
});
