/** Runs the role that a container composes. */
import type {Either} from 'purify-ts';
import type {Clock, Logger} from '@siskinplank/foundation';
import {formatProblem} from '@siskinplank/settings';
import type {SettingsProblem} from '@siskinplank/settings';
import {ExitStatus} from '../exit-status';
import {runRole} from './lifecycle';
import type {RoleHooks} from './lifecycle';

function reportUsageProblems(problems: readonly string[]): Promise<ExitStatus> {
  for (const problem of problems) process.stderr.write(problem + '\n');
  return Promise.resolve(ExitStatus.Usage);
}

/** Composes a role from its settings file and runs it until it is stopped. */
export function runContainer<
  T extends {cradle: {logger: Logger; clock: Clock; hooks: RoleHooks}},
>(
  file: string | undefined,
  createContainer: (file: string) => Either<SettingsProblem[], T>,
  customize: (container: T) => void,
): Promise<ExitStatus> {
  if (file === undefined)
    return reportUsageProblems(['--settings is required']);
  return createContainer(file).caseOf({
    Left: problems => reportUsageProblems(problems.map(formatProblem)),
    Right: container => {
      customize(container);
      const {hooks, logger, clock} = container.cradle;
      return runRole({hooks, logger, clock});
    },
  });
}
