/** Runs the gateway role. */
import type {ExitStatus} from '../exit-status';
import {createGatewayContainer} from './gateway';
import {runContainer} from './run-container';

/** Runs a gateway with its settings file. */
export function runGatewayRole(file: string | undefined): Promise<ExitStatus> {
  return runContainer(file, createGatewayContainer, () => undefined);
}
