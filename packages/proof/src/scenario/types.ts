/** Definitions of step and check kinds. */
import type {z} from 'zod';
import type {ScenarioContext} from './context';

/** A kind of step. */
export interface StepDefinition {
  schema: z.ZodType;
  /** Rejects when the scenario cannot continue or an expectation fails. */
  run(parameters: never, context: ScenarioContext): Promise<void>;
}

/** A kind of check, made after the last step. */
export interface CheckDefinition {
  schema: z.ZodType;
  /** Returns what is wrong; an empty list means that the check holds. */
  run(parameters: never, context: ScenarioContext): Promise<string[]>;
}

/** Starts a problem that only says that too little was observed. */
const TOO_FEW = 'too few';

/** Reports that a check had less to look at than the scenario expects. */
export function describeTooFew(
  what: string,
  count: number,
  atLeast: number,
): string[] {
  return count >= atLeast ? [] : [`${TOO_FEW} ${what}: ${count} < ${atLeast}`];
}

/** Distinguishes a violation of the invariant from an empty observation. */
export function isTooFew(problem: string): boolean {
  return problem.startsWith(TOO_FEW);
}

/** Defines a step kind with typed parameters. */
export function defineStep<S extends z.ZodType>(
  schema: S,
  run: (
    parameters: z.output<S>,
    context: ScenarioContext,
  ) => Promise<void> | void,
): StepDefinition {
  return {
    schema,
    run: async (parameters, context) => run(parameters, context),
  };
}

/** Defines a check kind with typed parameters. */
export function defineCheck<S extends z.ZodType>(
  schema: S,
  run: (
    parameters: z.output<S>,
    context: ScenarioContext,
  ) => Promise<string[]> | string[],
): CheckDefinition {
  return {
    schema,
    run: async (parameters, context) => run(parameters, context),
  };
}
