/** Types of attempts in the side process. */
import type {HopSpan} from '@siskinplank/foundation';
import type {AttemptState, MessageOf, MessageType} from '@siskinplank/messages';
import type {RefusalCode, RunState} from '@siskinplank/resources';
import type {Link, PeerIdentity} from '@siskinplank/transport';
import type {ResponseStream} from '../handover/response-stream';
import type {QueueItem} from '../queue/types';

export type RequestOpen = MessageOf<MessageType.RequestOpen>;

/** Why an attempt was refused, and whether it ran. */
export interface Refusal {
  code: RefusalCode;
  runState: RunState;
  message: string;
}

/** A queued or running attempt, or one whose response can be resumed. */
export interface Attempt {
  readonly open: RequestOpen;
  /** Only this process may act on the attempt. */
  readonly owner: PeerIdentity;
  readonly item: QueueItem;
  readonly stream: ResponseStream;
  readonly span: HopSpan;
  readonly abort: AbortController;
  state: AttemptState;
  link: Link | undefined;
  linkLostMs: number | undefined;
  handedOverMs: number | undefined;
  /** When the first bytes of the response body arrived. */
  firstDataMs: number | undefined;
  endSentMs: number | undefined;
  /** Code of the refusal for a cancelled or expired attempt. */
  cancelCode: RefusalCode | undefined;
}

/** Result of a finished attempt. */
export interface FinishedAttempt {
  /** `Refused` only for attempts that did not run, else `Finished`. */
  state: AttemptState.Refused | AttemptState.Finished;
  refusal: Refusal;
  finishedMs: number;
}
