/** All checks of a soak. */
import type {History, Violation} from '../history';
import {
  checkResponses,
  checkDeadlines,
  checkRefusals,
  checkRuns,
  checkSingleRuns,
} from './answers';
import {
  checkBudget,
  checkKeys,
  checkDrains,
  checkLimits,
  checkOrders,
  checkRecovery,
  checkStops,
} from './fleet';

import {
  checkAnswersAtStops,
  checkLastLines,
  checkReadAtStops,
  checkRequestLogs,
} from './stops';
import {
  checkBackoffs,
  checkDeclaredLeaving,
  checkNamedLimits,
  checkPoisonedPrompts,
  checkPoisonedRepeats,
} from './upstreams';

const CHECKS: ReadonlyArray<(history: History) => Violation[]> = [
  checkResponses,
  checkSingleRuns,
  checkRefusals,
  checkRuns,
  checkDeadlines,
  checkKeys,
  checkLimits,
  checkBudget,
  checkDrains,
  checkOrders,
  checkStops,
  checkRecovery,
  checkPoisonedPrompts,
  checkPoisonedRepeats,
  checkNamedLimits,
  checkDeclaredLeaving,
  checkBackoffs,
  checkAnswersAtStops,
  checkRequestLogs,
  checkLastLines,
];

/**
 * Runs the checks of a soak of a whole deployment, all but `checkStops`,
 * which excuses no cut at the end of the grace; `checkAnswersAtStops` judges
 * these. Requests that were read and not passed on are checked besides.
 */
export function checkDeployment(history: History): Violation[] {
  return [
    ...CHECKS.filter(check => check !== checkStops),
    checkReadAtStops,
  ].flatMap(check => check(history));
}

/** Runs all checks; returns the violations. */
export function checkHistory(history: History): Violation[] {
  return CHECKS.flatMap(check => check(history));
}
