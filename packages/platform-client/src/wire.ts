/** Schemas of the platform's replies. */
import {ResourceKind} from '@siskinplank/resources';
import {z} from 'zod';
import {ListedHostState} from './types';

const versionSchema = z.int().min(0);

export const objectReplySchema = z.object({
  name: z.string(),
  version: versionSchema,
  value: z.unknown(),
});
export const listReplySchema = z.object({
  revision: versionSchema,
  items: z.array(objectReplySchema),
});
export const versionPageReplySchema = z.object({
  revision: versionSchema,
  items: z.array(z.object({name: z.string(), version: versionSchema})),
});
export const writeReplySchema = z.object({version: versionSchema});
export const conflictReplySchema = z.object({
  current: objectReplySchema.nullable(),
});
export const watchReplySchema = z.object({
  revision: versionSchema,
  events: z.array(
    z.object({
      type: z.enum(['put', 'delete']),
      kind: z.enum(ResourceKind),
      name: z.string(),
      version: versionSchema,
      value: z.unknown().optional(),
    }),
  ),
});
export const hostsReplySchema = z.object({
  hosts: z.array(
    z.object({
      name: z.string(),
      role: z.enum(['entry', 'side']),
      address: z.string(),
      port: z.int().min(1).max(65535),
      failureDomain: z.string(),
      region: z.string(),
      state: z.enum(ListedHostState),
    }),
  ),
});

export type ObjectReply = z.output<typeof objectReplySchema>;
