/** Table of step kinds. */
import type {StepDefinition} from '../types';
import {balancedTrafficStep, stopTrafficStep} from './balanced';
import {expectResponseStep, expectRunsStep} from './expect';
import {
  cutStep,
  healStep,
  holdStep,
  linkFaultStep,
  partitionStep,
  standInFaultStep,
} from './network';
import {adminStep, applyStep, withdrawStep} from './operator';
import {operatorsRaceStep, watchRevisionsStep} from './race';
import {putObjectStep, upstreamStateStep} from './objects';
import {
  freezeStep,
  hostStateStep,
  killStep,
  restartStep,
  termStep,
  thawStep,
} from './process';
import {cancelStep, joinStep, requestStep} from './request';
import {expectNoShareStep, expectNoWorkStep, expectStopStep} from './stop';
import {trafficStep} from './traffic';
import {pauseForStep, waitForStep} from './wait';

/** Steps by their names in scenario files. */
export const STEPS: Readonly<Record<string, StepDefinition>> = {
  admin: adminStep,
  apply: applyStep,
  balancedTraffic: balancedTrafficStep,
  cancel: cancelStep,
  cut: cutStep,
  expectNoShare: expectNoShareStep,
  expectNoWork: expectNoWorkStep,
  expectResponse: expectResponseStep,
  expectRuns: expectRunsStep,
  expectStop: expectStopStep,
  freeze: freezeStep,
  heal: healStep,
  hold: holdStep,
  hostState: hostStateStep,
  join: joinStep,
  kill: killStep,
  linkFault: linkFaultStep,
  operatorsRace: operatorsRaceStep,
  partition: partitionStep,
  pauseFor: pauseForStep,
  putObject: putObjectStep,
  request: requestStep,
  restart: restartStep,
  standInFault: standInFaultStep,
  term: termStep,
  stopTraffic: stopTrafficStep,
  thaw: thawStep,
  traffic: trafficStep,
  upstreamState: upstreamStateStep,
  waitFor: waitForStep,
  watchRevisions: watchRevisionsStep,
  withdraw: withdrawStep,
};
