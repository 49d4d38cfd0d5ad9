/** Requests of callers, and the classification of upstream responses. */

import {createHash} from 'node:crypto';
import {RequestKind, canRepeat} from './configuration';
import type {Route} from './configuration';

/** 132 bits. */
const FINGERPRINT_LENGTH = 22;

/** A part of a prompt that several requests may have in common. */
export interface PromptPart {
  id: string;
  tokens: number;
}

/**
 * Lists the ids of the parts that other requests may have in common with this
 * one: all but the last, which belongs to the request or to its session.
 */
export function listSharedParts(parts: readonly PromptPart[]): string[] {
  return parts.slice(0, -1).map(({id}) => id);
}

/**
 * Identifies the prompt of a request, also when its caller sends it again.
 * Undefined if the request names no parts.
 */
export function computePromptFingerprint(
  request: Pick<
    CallerRequest,
    'model' | 'adapter' | 'promptTokens' | 'maxOutputTokens' | 'promptParts'
  >,
): string | undefined {
  const {model, adapter, promptTokens, maxOutputTokens, promptParts} = request;
  if (promptParts.length === 0) return undefined;
  const parts = promptParts.map(({id, tokens}) => [id, tokens]);
  return createHash('sha256')
    .update(
      JSON.stringify([model, adapter, promptTokens, maxOutputTokens, parts]),
    )
    .digest('base64url')
    .slice(0, FINGERPRINT_LENGTH);
}

/** What a request is known by when its caller sends it again. */
export interface RequestIdentity {
  request: CallerRequest;
  /** Name of the client account; undefined on public routes. */
  account: string | undefined;
  body: Buffer | undefined;
}

/**
 * Identifies a request, also when its caller sends it again: by its prompt, or
 * by its caller, path and body if it names no prompt parts.
 */
export function computeRequestFingerprint(identity: RequestIdentity): string {
  const {request, account, body} = identity;
  const prompt = computePromptFingerprint(request);
  if (prompt !== undefined) return prompt;
  const {method, hostName, target, key} = request;
  // A caller may change its key, so the account tells more where it is known.
  const caller = account === undefined ? ['key', key] : ['account', account];
  return createHash('sha256')
    .update(JSON.stringify([method, hostName, target, caller]))
    .update(body ?? '')
    .digest('base64url')
    .slice(0, FINGERPRINT_LENGTH);
}

/** Decoded head of a caller's request. */
export interface CallerRequest {
  /** Identifies this attempt of the caller. */
  attemptId: string;
  method: string;
  /** Path and query as sent. */
  target: string;
  /** Host header without its port, in lower case. */
  hostName: string;
  /** Milliseconds that the caller waits; undefined when not sent. */
  deadlineMs: number | undefined;
  /** Key as sent; undefined when absent. */
  key: string | undefined;
  model: string | undefined;
  adapter: string | undefined;
  /** Undefined when the request has no token count. */
  promptTokens: number | undefined;
  maxOutputTokens: number | undefined;
  /** Output length that the caller expects, in tokens. */
  expectedOutputTokens: number | undefined;
  /** The prompt's parts in order; empty when not sent. */
  promptParts: readonly PromptPart[];
  /** Last event that the caller received, when it resumes a stream. */
  lastEventId: string | undefined;
  /** Attempt that brought the first event of the stream that it resumes. */
  resumedAttemptId: string | undefined;
  /** Headers to forward unchanged: alternating names and values. */
  forwardedHeaders: readonly string[];
}

/** Whether the request goes on with a stream that its caller began earlier. */
export function isResumingStream(
  {lastEventId}: Pick<CallerRequest, 'lastEventId'>,
  route: Route,
): boolean {
  const isResumable = route.kind === RequestKind.Stream && canRepeat(route);
  return isResumable && lastEventId !== undefined;
}

/** Values that the gateway adds to a request that it sends to an upstream. */
export interface UpstreamInstructions {
  upstreamId: string;
  /** Name of the client account; undefined on public routes. */
  account: string | undefined;
  /** Milliseconds left until the deadline. */
  deadlineMs: number;
  /** Priority at the upstream, 0 (first) to 9; undefined means its default. */
  rank: number | undefined;
  /** Last event delivered to the caller, when a stream is resumed. */
  lastEventId: string | undefined;
}

/** Class of an upstream's response, as determined from its head. */
export enum ResponseClass {
  /** The upstream's response to this request. */
  Answer = 'answer',
  /** The upstream states that the request has not run and never will. */
  NotRun = 'not-run',
  /** Not run: another upstream has the address, or the model is missing. */
  Misdirected = 'misdirected',
  /** A response to another request. */
  Stray = 'stray',
  /** Not a valid response; the request may have run. */
  Unusable = 'unusable',
}
