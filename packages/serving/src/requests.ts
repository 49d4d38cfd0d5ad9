/** Requests of callers, and what upstreams say of them. */

/** A part of a prompt that requests may share. */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** What the head of a caller's request says. */
export interface CallerRequest {
  /** Identifies this attempt of the caller. */
  attemptId: string;
  method: string;
  /** Path and query as sent. */
  target: string;
  /** Host header without its port, in lower case. */
  hostName: string;
  /** Milliseconds that the caller waits; undefined when it did not say. */
  deadlineMs: number | undefined;
  /** Key as sent; undefined when absent. */
  key: string | undefined;
  model: string | undefined;
  adapter: string | undefined;
  /** Undefined when the request carries no count. */
  promptTokens: number | undefined;
  maxOutputTokens: number | undefined;
  /** The caller's guess of the output, in tokens. */
  expectedOutputTokens: number | undefined;
  /** The prompt's parts in order; empty when not told. */
  promptParts: readonly PromptPart[];
  /** Last event that the caller has, when it resumes a stream. */
  lastEventId: string | undefined;
  /** Name and value in turn, to be passed on as they are. */
  forwardedHeaders: readonly string[];
}

/** What an upstream is told besides the caller's own head. */
export interface UpstreamInstructions {
  upstreamId: string;
  /** Name of the client account; undefined on open routes. */
  account: string | undefined;
  /** Milliseconds left. */
  deadlineMs: number;
  /** Rank at the upstream, 0 first to 9; undefined leaves its default. */
  rank: number | undefined;
  /** Last event delivered, when a stream is resumed. */
  lastEventId: string | undefined;
}

/** What the head of an upstream's response says of the request. */
export enum ResponseClass {
  /** The upstream's answer to this request. */
  Answer = 'answer',
  /** The upstream states that the request has not run and never will. */
  NotRun = 'not-run',
  /** Another upstream has the address, or it lacks the model; not run. */
  Misdirected = 'misdirected',
  /** The answer to another request. */
  Stray = 'stray',
  /** No answer that can be trusted; the request may have run. */
  Unusable = 'unusable',
}
