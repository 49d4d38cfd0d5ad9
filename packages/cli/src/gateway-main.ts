/** Entry point of a small program with the gateway role only. */
import {ExitStatus} from './exit-status';
import {runGatewayRole} from './roles/run-gateway';

const [, , file] = process.argv;
void runGatewayRole(file).then((status: ExitStatus) => process.exit(status));
