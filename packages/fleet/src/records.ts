/** Kinds and schemas of the objects that gateways store. */
import type {SharedObject} from '@siskinplank/directory';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {z} from 'zod';
import type {GatewayRecord, OrderLease} from './types';

export const GATEWAYS_KIND = 'siskinplank-gateways';
export const ORDER_LEASES_KIND = 'siskinplank-leases';
export const LINK_KEYS_KIND = 'siskinplank-link-keys';
/** Name of the order lease, the only one. */
export const ORDER_LEASE_NAME = 'orders';
/** Name of the link key, with which gateways prove their membership. */
export const LINK_KEY_NAME = 'gateways';

const MAX_TEXT_LENGTH = 256;
/** Leaves room for higher tokens below the largest exact integer. */
const MAX_TOKEN = 2 ** 48;

const textSchema = z.string().max(MAX_TEXT_LENGTH);

const gatewaySchema = z.object({
  incarnation: textSchema,
  host: z.ipv4(),
  port: z.int().min(1).max(65_535),
  failureDomain: textSchema,
  region: textSchema,
});

const leaseSchema = z.object({
  holder: textSchema,
  incarnation: textSchema,
  token: z.int().positive().max(MAX_TOKEN),
  isReleased: z.boolean(),
});

/** Whole bytes in hexadecimal, at least 16 of them. */
const SECRET = /^(?:[\da-f]{2}){16,}$/i;

export const linkKeySchema = z.object({secret: textSchema.regex(SECRET)});

/** Encodes the content of a registration; the name is not part of it. */
export function encodeGateway(record: GatewayRecord): unknown {
  const {incarnation, address, failureDomain, region} = record;
  return {incarnation, ...address, failureDomain, region};
}

/** Decodes a registration. */
export function decodeGateway({
  name,
  content,
}: SharedObject): Either<string, GatewayRecord> {
  const parsed = gatewaySchema.safeParse(content);
  if (!parsed.success) return Left(z.prettifyError(parsed.error));
  const {host, port, ...rest} = parsed.data;
  return Right({name, address: {host, port}, ...rest});
}

/** Decodes the order lease, with the revision that a write must name. */
export function decodeOrderLease({
  content,
  revision,
}: SharedObject): Either<string, {lease: OrderLease; revision: number}> {
  const parsed = leaseSchema.safeParse(content);
  if (!parsed.success) return Left(z.prettifyError(parsed.error));
  return Right({lease: parsed.data, revision});
}
