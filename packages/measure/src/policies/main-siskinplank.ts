/** Main file of the roles under the policy `siskinplank`. */
import {PolicyName} from './names';
import {runRoleUnderPolicy} from './run-role';

void runRoleUnderPolicy(PolicyName.Siskinplank, process.argv).then(status => {
  process.exit(status);
});
