/** Main file of the roles under the policy `static`. */
import {PolicyName} from './names';
import {runRoleUnderPolicy} from './run-role';

void runRoleUnderPolicy(PolicyName.Static, process.argv).then(status => {
  process.exit(status);
});
