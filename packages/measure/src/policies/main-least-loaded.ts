/** Main file of the roles under the policy `least-loaded`. */
import {PolicyName} from './names';
import {runRoleUnderPolicy} from './run-role';

void runRoleUnderPolicy(PolicyName.LeastLoaded, process.argv).then(status => {
  process.exit(status);
});
