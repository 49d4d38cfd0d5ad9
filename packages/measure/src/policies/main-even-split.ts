/** Main file of the roles under the policy `even-split`. */
import {PolicyName} from './names';
import {runRoleUnderPolicy} from './run-role';

void runRoleUnderPolicy(PolicyName.EvenSplit, process.argv).then(status => {
  process.exit(status);
});
