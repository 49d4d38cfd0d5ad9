/** Main file of the roles under the policy `greedy`. */
import {PolicyName} from './names';
import {runRoleUnderPolicy} from './run-role';

void runRoleUnderPolicy(PolicyName.Greedy, process.argv).then(status => {
  process.exit(status);
});
