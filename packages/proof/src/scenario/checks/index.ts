/** Table of check kinds. */
import type {CheckDefinition} from '../types';
import {accountsApartCheck} from './accounts';
import {allAnsweredCheck, noCutCheck, wholeAnswerCheck} from './answers';
import {routeHistoryCheck, routeInForceCheck} from './configuration';
import {deadlineKeptCheck} from './deadlines';
import {keyStoppedCheck} from './keys';
import {noWorkAfterLeavingCheck} from './leaving';
import {rateCeilingCheck} from './limits';
import {memoryCheck} from './memory';
import {changesKeptCheck, revisionsKeptCheck} from './operators';
import {answeredRanCheck, atMostOnceCheck, notRunCheck} from './runs';
import {keyNeverSeenCheck} from './secrets';
import {plannedStopsCheck} from './stops';

/** Checks by their names in scenario files. */
export const CHECKS: Readonly<Record<string, CheckDefinition>> = {
  accountsApart: accountsApartCheck,
  allAnswered: allAnsweredCheck,
  answeredRan: answeredRanCheck,
  atMostOnce: atMostOnceCheck,
  changesKept: changesKeptCheck,
  deadlineKept: deadlineKeptCheck,
  keyNeverSeen: keyNeverSeenCheck,
  keyStopped: keyStoppedCheck,
  memory: memoryCheck,
  noCut: noCutCheck,
  noWorkAfterLeaving: noWorkAfterLeavingCheck,
  notRun: notRunCheck,
  plannedStops: plannedStopsCheck,
  rateCeiling: rateCeilingCheck,
  revisionsKept: revisionsKeptCheck,
  routeHistory: routeHistoryCheck,
  routeInForce: routeInForceCheck,
  wholeAnswer: wholeAnswerCheck,
};
