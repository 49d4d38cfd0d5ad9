/**
 * Rate limits of client accounts, split into shares of tokens that gateways
 * hold, pool at one of them, and grant to each other.
 */
export {createAccountShare} from './account-share';
export type {AccountShare, ShareLimits} from './account-share';
export {createPoolHandover} from './pool-handover';
export type {PoolCapacity, PoolHandover} from './pool-handover';
export type {HomeMember} from './token-homes';
export {createTokenShares} from './token-shares';
export type {
  AccountLimit,
  LimitReadings,
  TokenDemand,
  TokenGrant,
  TokenShares,
  TokenSharesOptions,
} from './token-shares';
export {createShareFraction} from './share-fraction';
export type {FractionInput, ShareFraction} from './share-fraction';
export {createUnitLending} from './unit-lending';
export type {UnitLending, UnitLendingOptions, UnitNeeds} from './unit-lending';
