/** Admin API for operators: remote procedure calls. */
export {createAdminServer} from './server';
export type {AdminServer} from './server';
export {AdminErrorCode} from './types';
export type {
  AdminDependencies,
  AdminError,
  Operator,
  ReportedLoad,
} from './types';
export {formatOperatorToken, verifyOperator} from './operators';
export {AdminService} from './generated/siskinplank/admin/v1/admin_pb';
export type {
  GetStatusResponse,
  KeyInfo,
  Resource,
} from './generated/siskinplank/admin/v1/admin_pb';
export {RESOURCE_KINDS, toResourceMessage} from './convert';
export {
  GetStatusResponseSchema,
  ResourceSchema,
} from './generated/siskinplank/admin/v1/admin_pb';
