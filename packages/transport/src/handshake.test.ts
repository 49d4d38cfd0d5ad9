import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {ProcessRole} from '@siskinplank/messages';
import {
  HandshakeType,
  createAcceptorHandshake,
  createDialerHandshake,
  decodeHandshake,
  encodeHandshake,
} from './handshake';
import {LinkCloseReason} from './types';
import type {ClusterKey, PeerIdentity} from './types';

const makeIdentity = (name: string): PeerIdentity => ({
  name,
  incarnation: `${name}-1`,
  role: ProcessRole.Side,
  failureDomain: 'a',
  region: 'r',
  address: {host: '127.0.0.1', port: 1000},
});
const makeKey = (id: string, secret = id): ClusterKey => ({
  id,
  secret: Buffer.from(secret),
});
const NONCE_A = 'a'.repeat(64);
const NONCE_B = 'b'.repeat(64);

describe('handshake', () => {
  // Guards against a decoder that throws on malformed input, which would stop
  // the process.
  it('returns a result for any bytes', () => {
    fc.assert(
      fc.property(fc.uint8Array({maxLength: 400}), bytes => {
        expect(typeof decodeHandshake(bytes).isLeft()).toBe('boolean');
      }),
      {numRuns: 500},
    );
  });

  // A changed byte anywhere in the handshake must prevent authentication.
  it('rejects every tampered frame', () => {
    const keys = [makeKey('k1')];
    fc.assert(
      fc.property(
        fc.constantFrom(0, 1, 2),
        fc.nat(),
        fc.integer({min: 1, max: 255}),
        (target, position, flip) => {
          const tamper = (step: number, frame: Uint8Array): Uint8Array => {
            if (step !== target) return frame;
            const copy = Uint8Array.from(frame);
            copy[position % copy.length] ^= flip;
            return copy;
          };
          const dialer = createDialerHandshake(
            makeIdentity('d'),
            () => keys,
            NONCE_A,
          );
          const acceptor = createAcceptorHandshake(
            makeIdentity('s'),
            () => keys,
            NONCE_B,
          );
          const result = acceptor
            .handleHello(tamper(0, dialer.hello))
            .chain(reply => dialer.handleReply(tamper(1, reply)))
            .chain(({proof}) => acceptor.handleProof(tamper(2, proof)));
          expect(result.isLeft()).toBe(true);
        },
      ),
      {numRuns: 500},
    );
  });

  // A known key id with a wrong secret, or an unknown id, must be rejected.
  it('rejects wrong and unknown keys', () => {
    const run = (dialerKeys: ClusterKey[], acceptorKeys: ClusterKey[]) => {
      const dialer = createDialerHandshake(
        makeIdentity('d'),
        () => dialerKeys,
        NONCE_A,
      );
      const acceptor = createAcceptorHandshake(
        makeIdentity('s'),
        () => acceptorKeys,
        NONCE_B,
      );
      return acceptor
        .handleHello(dialer.hello)
        .chain(reply => dialer.handleReply(reply))
        .chain(({proof}) => acceptor.handleProof(proof));
    };
    expect(run([makeKey('k1')], [makeKey('k1')]).isRight()).toBe(true);
    expect(run([makeKey('k1')], [makeKey('k1', 'x')]).isLeft()).toBe(true);
    expect(run([makeKey('k1')], [makeKey('k2')]).isLeft()).toBe(true);
    // Each step of a rotation: new key accepted, new key first, old removed.
    const [older, newer] = [makeKey('k1'), makeKey('k2')];
    expect(run([older], [older, newer]).isRight()).toBe(true);
    expect(run([newer, older], [older, newer]).isRight()).toBe(true);
    expect(run([newer, older], [older]).isRight()).toBe(true);
    expect(run([newer], [newer, older]).isRight()).toBe(true);
  });

  // Another protocol version must be reported as such, not as a failed
  // authentication.
  it('rejects another protocol version', () => {
    const acceptor = createAcceptorHandshake(
      makeIdentity('s'),
      () => [makeKey('k1')],
      NONCE_B,
    );
    const hello = encodeHandshake({
      type: HandshakeType.Hello,
      version: 99,
      identity: makeIdentity('d'),
      nonce: NONCE_A,
      keyIds: ['k1'],
    });
    const error = acceptor.handleHello(hello).swap().extract();
    expect(error).toMatchObject({reason: LinkCloseReason.VersionMismatch});
  });
});
