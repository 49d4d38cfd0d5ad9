/**
 * Handshake of a link: Hello (dialer), HelloReply (acceptor), HelloProof
 * (dialer). Both proofs are HMACs with a shared cluster key over both nonces
 * and identities. Each side has its own label, so that no proof can be
 * reflected.
 */
import {createHmac, timingSafeEqual} from 'node:crypto';
import {Packr} from 'msgpackr';
import {Either, Left, Right} from 'purify-ts';
import {z} from 'zod';
import {
  PROTOCOL_VERSION,
  ProcessRole,
  decodeFrame,
} from '@siskinplank/messages';
import type {DecodeError} from '@siskinplank/messages';
import {LinkCloseReason} from './types';
import type {ClusterKey, PeerIdentity} from './types';

/** Types of handshake frames. */
export enum HandshakeType {
  Hello = 'hello',
  HelloReply = 'hello-reply',
  HelloProof = 'hello-proof',
}

const MAX_NAME_LENGTH = 256;
const MAX_ACCEPTED_KEYS = 16;
const nameSchema = z.string().min(1).max(MAX_NAME_LENGTH);
const nonceSchema = z.string().regex(/^[0-9a-f]{64}$/);
const proofSchema = z.string().regex(/^[0-9a-f]{64}$/);
const identitySchema = z.strictObject({
  name: nameSchema,
  incarnation: nameSchema,
  role: z.enum(ProcessRole),
  failureDomain: nameSchema,
  region: nameSchema,
  address: z.strictObject({
    host: nameSchema,
    port: z.int().min(1).max(65535),
  }),
});

const handshakeSchema = z.discriminatedUnion('type', [
  z.strictObject({
    type: z.literal(HandshakeType.Hello),
    version: z.int(),
    identity: identitySchema,
    nonce: nonceSchema,
    /** Ids of the keys that the dialer accepts. */
    keyIds: z.array(nameSchema).min(1).max(MAX_ACCEPTED_KEYS),
  }),
  z.strictObject({
    type: z.literal(HandshakeType.HelloReply),
    version: z.int(),
    identity: identitySchema,
    nonce: nonceSchema,
    keyId: nameSchema,
    proof: proofSchema,
  }),
  z.strictObject({
    type: z.literal(HandshakeType.HelloProof),
    proof: proofSchema,
  }),
]);

/** A frame of the handshake. */
export type HandshakeFrame = z.output<typeof handshakeSchema>;
type Hello = Extract<HandshakeFrame, {type: HandshakeType.Hello}>;
type HelloReply = Extract<HandshakeFrame, {type: HandshakeType.HelloReply}>;

/** Why a handshake was rejected. */
export interface HandshakeError {
  reason:
    | LinkCloseReason.Malformed
    | LinkCloseReason.Unauthenticated
    | LinkCloseReason.VersionMismatch;
  detail: string;
}

const packr = new Packr({useRecords: false});

/** Encodes a handshake frame. */
export function encodeHandshake(frame: HandshakeFrame): Uint8Array {
  return packr.pack(frame);
}

/** Decodes and checks a handshake frame. */
export function decodeHandshake(
  frame: Uint8Array,
): Either<DecodeError, HandshakeFrame> {
  return decodeFrame(frame).chain(value => {
    const result = handshakeSchema.safeParse(value);
    return result.success
      ? Right(result.data)
      : Left({reason: 'not a handshake frame'});
  });
}

function listIdentityFields(identity: PeerIdentity): readonly unknown[] {
  return [
    identity.name,
    identity.incarnation,
    identity.role,
    identity.failureDomain,
    identity.region,
    identity.address.host,
    identity.address.port,
  ];
}

enum ProofLabel {
  Acceptor = 'siskinplank-link-acceptor',
  Dialer = 'siskinplank-link-dialer',
}

function computeProof(
  label: ProofLabel,
  key: ClusterKey,
  hello: Hello,
  reply: Omit<HelloReply, 'proof'>,
): string {
  const transcript = JSON.stringify([
    label,
    hello.version,
    hello.nonce,
    hello.keyIds,
    listIdentityFields(hello.identity),
    reply.version,
    reply.nonce,
    reply.keyId,
    listIdentityFields(reply.identity),
  ]);
  return createHmac('sha256', key.secret).update(transcript).digest('hex');
}

function isEqualProof(left: string, right: string): boolean {
  return timingSafeEqual(Buffer.from(left, 'hex'), Buffer.from(right, 'hex'));
}

function rejectHandshake(
  reason: HandshakeError['reason'],
  detail: string,
): Either<HandshakeError, never> {
  return Left({reason, detail});
}

function decodeExpected<T extends HandshakeType>(
  frame: Uint8Array,
  type: T,
): Either<HandshakeError, Extract<HandshakeFrame, {type: T}>> {
  return decodeHandshake(frame)
    .mapLeft((error): HandshakeError => ({
      reason: LinkCloseReason.Malformed,
      detail: error.reason,
    }))
    .chain(decoded =>
      decoded.type === type
        ? Right(decoded as Extract<HandshakeFrame, {type: T}>)
        : rejectHandshake(LinkCloseReason.Malformed, `expected ${type}`),
    );
}

/** Dialer's side of one handshake. */
export interface DialerHandshake {
  /** First frame to send. */
  readonly hello: Uint8Array;
  /** Checks the reply; returns the peer and the proof frame to send. */
  handleReply(
    frame: Uint8Array,
  ): Either<HandshakeError, {peer: PeerIdentity; proof: Uint8Array}>;
}

/** Creates the dialer's side; the keys are read again for each reply. */
export function createDialerHandshake(
  identity: PeerIdentity,
  getKeys: () => readonly ClusterKey[],
  nonce: string,
): DialerHandshake {
  const hello: Hello = {
    type: HandshakeType.Hello,
    version: PROTOCOL_VERSION,
    identity,
    nonce,
    keyIds: getKeys().map(key => key.id),
  };
  return {
    hello: encodeHandshake(hello),
    handleReply: frame =>
      decodeExpected(frame, HandshakeType.HelloReply).chain(reply => {
        if (reply.version !== PROTOCOL_VERSION) {
          return rejectHandshake(
            LinkCloseReason.VersionMismatch,
            `peer uses protocol version ${reply.version}`,
          );
        }
        const key = getKeys().find(({id}) => id === reply.keyId);
        if (
          key === undefined ||
          !isEqualProof(
            reply.proof,
            computeProof(ProofLabel.Acceptor, key, hello, reply),
          )
        ) {
          return rejectHandshake(
            LinkCloseReason.Unauthenticated,
            'invalid proof in the reply',
          );
        }
        const proof = encodeHandshake({
          type: HandshakeType.HelloProof,
          proof: computeProof(ProofLabel.Dialer, key, hello, reply),
        });
        return Right({peer: reply.identity, proof});
      }),
  };
}

/** Acceptor's side of one handshake. */
export interface AcceptorHandshake {
  /** Checks the Hello; returns the reply to send. */
  handleHello(frame: Uint8Array): Either<HandshakeError, Uint8Array>;
  /** Checks the proof; returns the authenticated peer. */
  handleProof(frame: Uint8Array): Either<HandshakeError, PeerIdentity>;
}

/** Creates the acceptor's side of a handshake. */
export function createAcceptorHandshake(
  identity: PeerIdentity,
  getKeys: () => readonly ClusterKey[],
  nonce: string,
): AcceptorHandshake {
  let pending: {hello: Hello; proof: string} | undefined;
  return {
    handleHello: frame =>
      decodeExpected(frame, HandshakeType.Hello).chain(hello => {
        if (hello.version !== PROTOCOL_VERSION) {
          return rejectHandshake(
            LinkCloseReason.VersionMismatch,
            `peer uses protocol version ${hello.version}`,
          );
        }
        // Uses the first local key that the dialer also accepts, so that
        // processes in different steps of a key rotation can still connect.
        const key = getKeys().find(({id}) => hello.keyIds.includes(id));
        if (key === undefined) {
          return rejectHandshake(
            LinkCloseReason.Unauthenticated,
            'no cluster key in common',
          );
        }
        const unsigned = {
          type: HandshakeType.HelloReply,
          version: PROTOCOL_VERSION,
          identity,
          nonce,
          keyId: key.id,
        } as const;
        pending = {
          hello,
          proof: computeProof(ProofLabel.Dialer, key, hello, unsigned),
        };
        const proof = computeProof(ProofLabel.Acceptor, key, hello, unsigned);
        return Right(encodeHandshake({...unsigned, proof}));
      }),
    handleProof: frame =>
      decodeExpected(frame, HandshakeType.HelloProof).chain(({proof}) => {
        if (pending === undefined || !isEqualProof(proof, pending.proof)) {
          return rejectHandshake(
            LinkCloseReason.Unauthenticated,
            'invalid proof of the dialer',
          );
        }
        return Right(pending.hello.identity);
      }),
  };
}
