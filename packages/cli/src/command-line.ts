/** Commands of the siskinplank binary. */
import {ConnectError} from '@connectrpc/connect';
import {cac} from 'cac';
import type {CAC} from 'cac';
import {Either, Left, Right} from 'purify-ts';
import {createSystemClock} from '@siskinplank/foundation';
import {formatProblem, loadSettings} from '@siskinplank/settings';
import {ExitStatus} from './exit-status';
import {runEntry, runSide} from './roles/run';
import {runGatewayRole} from './roles/run-gateway';
import {createAdminClient} from './commands/client';
import type {ClientOptions, Environment} from './commands/client';
import {
  issueKey,
  issueOperatorToken,
  listKeys,
  withdrawKey,
} from './commands/keys';
import {OutputFormat} from './commands/output';
import {
  applyFile,
  deleteResource,
  describeResource,
  listResources,
} from './commands/resources';
import type {CommandContext} from './commands/resources';
import {listAuditRecords, reportStatus, watchStatus} from './commands/status';

const VERSION = '0.1.0';
const DEFAULT_AUDIT_LIMIT = 100;

interface CommandOptions extends ClientOptions {
  output?: string;
}

type CommandResult = Promise<Either<string, void> | void>;

function printLine(line: string): void {
  process.stdout.write(line + '\n');
}

function printError(line: string): void {
  process.stderr.write(line + '\n');
}

function parseFormat(text: string | undefined): Either<string, OutputFormat> {
  if (text === undefined) return Right(OutputFormat.Text);
  const format = Object.values(OutputFormat).find(value => value === text);
  if (format !== undefined) return Right(format);
  return Left(`--output: expected text or json; got "${text}"`);
}

function isEither(value: unknown): value is Either<string, void> {
  return typeof value === 'object' && value !== null && 'isLeft' in value;
}

function formatFailure(error: unknown): string {
  if (error instanceof ConnectError) return error.message;
  return error instanceof Error ? error.message : String(error);
}

/** Whether cac rejected the arguments. */
function isUsageError(error: unknown): boolean {
  return error instanceof Error && error.name === 'CACError';
}

/** Runs one operator command and maps its result to an exit status. */
async function runCommand(
  options: CommandOptions,
  environment: Environment,
  command: (context: CommandContext) => CommandResult,
): Promise<ExitStatus> {
  const context = parseFormat(options.output).chain(format =>
    createAdminClient(options, environment).map(client => ({
      client,
      format,
      print: printLine,
    })),
  );
  return context.caseOf<Promise<ExitStatus>>({
    Left: message => {
      printError(message);
      return Promise.resolve(ExitStatus.Usage);
    },
    Right: async ready => {
      const outcome = await command(ready).catch((error: unknown) =>
        Left(formatFailure(error)),
      );
      if (!isEither(outcome) || outcome.isRight()) return ExitStatus.Done;
      printError(String(outcome.extract()));
      return ExitStatus.Failed;
    },
  });
}

function checkFile(file: string): ExitStatus {
  return loadSettings(file).caseOf({
    Left: problems => {
      problems.map(formatProblem).forEach(printError);
      return ExitStatus.Usage;
    },
    Right: settings => {
      printLine(`${file}: valid settings of role ${settings.role}`);
      return ExitStatus.Done;
    },
  });
}

type SetStatus = (status: ExitStatus | Promise<ExitStatus>) => void;

function registerRoles(cli: CAC, setStatus: SetStatus): void {
  cli
    .command('entry', 'Run an entry process')
    .option('--settings <file>', 'Settings file')
    .action((options: {settings?: string}) =>
      setStatus(runEntry(options.settings)),
    );
  cli
    .command('side', 'Run the side process of an upstream')
    .option('--settings <file>', 'Settings file')
    .action((options: {settings?: string}) =>
      setStatus(runSide(options.settings)),
    );
  cli
    .command(
      'gateway',
      'Run a gateway, which serves callers straight from upstreams',
    )
    .option('--settings <file>', 'Settings file')
    .action((options: {settings?: string}) =>
      setStatus(runGatewayRole(options.settings)),
    );
  cli
    .command('check <file>', 'Check a settings file')
    .action((file: string) => setStatus(checkFile(file)));
}

function registerResourceCommands(
  cli: CAC,
  environment: Environment,
  setStatus: SetStatus,
): void {
  const run = (
    options: CommandOptions,
    command: (context: CommandContext) => CommandResult,
  ): void => setStatus(runCommand(options, environment, command));
  cli
    .command('apply <file>', 'Apply the resources of a YAML file')
    .option('--dry-run', 'Check everything and write nothing')
    .action((file: string, options: CommandOptions & {dryRun?: boolean}) =>
      run(options, context =>
        applyFile(context, file, options.dryRun === true),
      ),
    );
  cli
    .command('get <kind> [name]', 'List the resources of a kind, or show one')
    .action((kind: string, name: string | undefined, options: CommandOptions) =>
      run(options, context =>
        name === undefined
          ? listResources(context, kind)
          : describeResource(context, kind, name),
      ),
    );
  cli
    .command('describe <kind> <name>', 'Show a resource in full')
    .action((kind: string, name: string, options: CommandOptions) =>
      run(options, context => describeResource(context, kind, name)),
    );
  cli
    .command('delete <kind> <name>', 'Delete a resource')
    .action((kind: string, name: string, options: CommandOptions) =>
      run(options, context => deleteResource(context, kind, name)),
    );
}

function registerAccessCommands(
  cli: CAC,
  environment: Environment,
  setStatus: SetStatus,
): void {
  cli
    .command('key <action> [id]', 'Keys: issue, list, or withdraw ID')
    .option('--account <name>', 'Client account')
    .option('--ttl-seconds <seconds>', 'Time until the key expires')
    .action(
      (
        action: string,
        id: string | undefined,
        options: CommandOptions & {account?: string; ttlSeconds?: number},
      ) => {
        const {account, ttlSeconds} = options;
        if (action === 'issue' && account !== undefined) {
          return setStatus(
            runCommand(options, environment, context =>
              issueKey(context, account, ttlSeconds),
            ),
          );
        }
        if (action === 'withdraw' && id !== undefined) {
          return setStatus(
            runCommand(options, environment, context =>
              withdrawKey(context, String(id)),
            ),
          );
        }
        if (action === 'list') {
          return setStatus(
            runCommand(options, environment, context =>
              listKeys(context, account),
            ),
          );
        }
        printError(
          'usage: key issue --account NAME | key withdraw ID | key list',
        );
        return setStatus(ExitStatus.Usage);
      },
    );
  cli
    .command('operator <name>', 'Issue a token for an operator')
    .option('--role <role>', 'admin or viewer', {default: 'viewer'})
    .action((name: string, options: CommandOptions & {role: string}) =>
      setStatus(
        runCommand(options, environment, context =>
          issueOperatorToken(context, name, options.role),
        ),
      ),
    );
}

function registerStatusCommands(
  cli: CAC,
  environment: Environment,
  setStatus: SetStatus,
): void {
  cli
    .command('status', 'Show members, upstreams and configuration')
    .option('--watch', 'Print again every two seconds')
    .action((options: CommandOptions & {watch?: boolean}) =>
      setStatus(
        runCommand(options, environment, context =>
          options.watch
            ? watchStatus(context, createSystemClock())
            : reportStatus(context),
        ),
      ),
    );
  cli
    .command('audit', 'Show the last configuration changes')
    .option('--limit <count>', 'Maximum number of records', {
      default: DEFAULT_AUDIT_LIMIT,
    })
    .action((options: CommandOptions & {limit: number}) =>
      setStatus(
        runCommand(options, environment, context =>
          listAuditRecords(context, Number(options.limit)),
        ),
      ),
    );
}

/** Runs the command line and returns the exit status. */
export async function runCommandLine(
  argv: string[],
  environment: Environment,
): Promise<ExitStatus> {
  const cli = cac('siskinplank');
  let status: ExitStatus | Promise<ExitStatus> = ExitStatus.Done;
  const setStatus: SetStatus = next => {
    status = next;
  };
  registerRoles(cli, setStatus);
  registerResourceCommands(cli, environment, setStatus);
  registerAccessCommands(cli, environment, setStatus);
  registerStatusCommands(cli, environment, setStatus);
  cli.option('--server <url>', 'URL of the admin API of an entry process');
  cli.option('--token-file <file>', 'File with the operator token');
  cli.option('--output <format>', 'text or json');
  cli.help();
  cli.version(VERSION);
  const parsed = Either.encase(() => cli.parse(argv, {run: false}));
  if (parsed.isLeft()) {
    printError(formatFailure(parsed.extract()));
    return ExitStatus.Usage;
  }
  const isInformation =
    cli.options.help === true || cli.options.version === true;
  if (isInformation) return ExitStatus.Done;
  if (cli.matchedCommand === undefined) {
    cli.outputHelp();
    return ExitStatus.Usage;
  }
  const run = Either.encase(() => void cli.runMatchedCommand());
  if (run.isLeft()) {
    const failure = run.extract();
    printError(formatFailure(failure));
    return isUsageError(failure) ? ExitStatus.Usage : ExitStatus.Failed;
  }
  return status;
}
