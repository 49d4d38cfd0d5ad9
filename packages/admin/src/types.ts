/** Types shared by the modules of the admin API. */
import type {ConfigurationReplica} from '@siskinplank/configuration';
import type {Clock, Logger} from '@siskinplank/foundation';
import type {LoadSummary} from '@siskinplank/messages';
import type {MembershipView} from '@siskinplank/membership';
import type {PlatformStore} from '@siskinplank/platform-client';
import type {OperatorRole, StoredObject} from '@siskinplank/resources';

/** The authenticated caller of the admin API. */
export interface Operator {
  name: string;
  role: OperatorRole;
}

/** Why an operation failed. */
export enum AdminErrorCode {
  Invalid = 'invalid',
  NotFound = 'not-found',
  Conflict = 'conflict',
  Unauthenticated = 'unauthenticated',
  Forbidden = 'forbidden',
  /** The platform did not take the change; nothing was changed. */
  Unavailable = 'unavailable',
  /** The platform did not confirm; the change may be in force. */
  OutcomeUnknown = 'outcome-unknown',
}

/** A failed operation. */
export interface AdminError {
  code: AdminErrorCode;
  message: string;
  /** Current object of a conflict; null when it is absent. */
  current?: StoredObject | null;
}

/** Load of an upstream with the age of its report. */
export interface ReportedLoad {
  load: LoadSummary;
  ageMs: number;
}

/** Dependencies of the admin API. */
export interface AdminDependencies {
  processName: string;
  store: PlatformStore;
  configuration: ConfigurationReplica;
  membership: MembershipView;
  clock: Clock;
  logger: Logger;
  /** Secret under which keys and tokens are hashed. */
  hashKey: Uint8Array;
  /** Token with the admin role, for use before any operator exists. */
  bootstrapToken: string | undefined;
  listLoads: (nowMs: number) => readonly ReportedLoad[];
}
