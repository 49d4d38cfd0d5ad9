/** Entry point of a program that holds the gateway role alone, to stay small. */
import {ExitStatus} from './exit-status';
import {runGatewayRole} from './roles/run-gateway';

const [, , file] = process.argv;
void runGatewayRole(file).then((status: ExitStatus) => process.exit(status));
