/** Parses arguments, runs one command and returns the exit status. */
import {createOperatorError} from '@ibisbeam/library';
import yargs, {type Argv} from 'yargs';
import {commands} from './commands/index.js';
import {
  type OutputFormat,
  renderOutput,
  renderErrors,
} from './core/command_output.js';
import type {CommandRunner} from './core/command.js';
import type {Dependencies, Errors} from './core/dependencies.js';
import {
  EXIT_STATUS,
  type ExitStatus,
  exitStatusOf,
} from './core/exit_status.js';
import {createSession, type SessionFlags} from './core/session.js';

const DEFAULT_TIMEOUT_MS = 5_000;
const MAX_TIMEOUT_MS = 600_000;

/** A usage error; thrown because yargs reports errors only to a callback. */
class UsageProblem extends Error {}

export async function runCommandLine(
  commandArguments: readonly string[],
  dependencies: Dependencies,
): Promise<ExitStatus> {
  const format = outputFormat(commandArguments);
  let status: ExitStatus = EXIT_STATUS.done;

  function reportErrors(errors: Errors): void {
    status = exitStatusOf(errors);
    const rendered = renderErrors(errors, status, format);
    dependencies.write(rendered.output);
    dependencies.writeError(rendered.errors);
  }

  const runner: CommandRunner = async (options, run) => {
    const session = createSession(sessionFlags(options), dependencies);
    const result = await run(session).run();
    session.close();
    result
      .ifLeft(rethrowDefect)
      .ifLeft(reportErrors)
      .ifRight(output => {
        const rendered = renderOutput(output, format);
        dependencies.writeError(rendered.errors);
        dependencies.write(rendered.output);
      });
  };

  try {
    const parser = buildParser(runner);
    await parser.parseAsync(
      [...commandArguments],
      {},
      (_error, _options, output) => {
        if (output) {
          dependencies.write(`${output}\n`);
        }
      },
    );
  } catch (error) {
    if (!(error instanceof UsageProblem)) {
      throw error;
    }
    reportErrors([usageError(error.message)]);
  }
  return status;
}

/**
 * Rethrows exceptions, which `EitherAsync` catches: they are defects, not
 * errors to report to the operator.
 */
function rethrowDefect(errors: unknown): void {
  if (!Array.isArray(errors)) {
    throw errors;
  }
}

function buildParser(runner: CommandRunner): Argv {
  let parser: Argv = yargs()
    .scriptName('ibisbeam')
    .usage('$0 <command>')
    .options(globalOptions)
    .strict()
    .demandCommand(1, 'name a command')
    .recommendCommands()
    .check(options => rejectRepeatedOptions(options))
    .exitProcess(false)
    .version(false)
    .wrap(null)
    .fail((message, error) => {
      throw message ? new UsageProblem(message) : error;
    });
  for (const command of commands) {
    parser = command(parser, runner);
  }
  return parser;
}

/** Options that take several values. */
const LIST_OPTIONS = new Set(['_', 'vm', 'values', 'unset']);

/** Rejects a repeated option, whose values yargs would collect in an array. */
function rejectRepeatedOptions(
  options: Readonly<Record<string, unknown>>,
): true {
  for (const [name, value] of Object.entries(options)) {
    if (Array.isArray(value) && !LIST_OPTIONS.has(name)) {
      throw new UsageProblem(`--${name}: may be given only once`);
    }
  }
  return true;
}

const globalOptions = {
  output: {
    choices: ['text', 'json'] as const,
    default: 'text' as const,
    describe: 'Output format',
  },
  'dry-run': {
    type: 'boolean',
    default: false,
    describe: 'Validate and show the change without making it',
  },
  profile: {
    type: 'string',
    requiresArg: true,
    describe: 'Profile file; otherwise $IBISBEAM_PROFILE',
  },
  'store-url': {
    type: 'string',
    requiresArg: true,
    describe: "URL of the platform's store",
  },
  'store-token-file': {
    type: 'string',
    requiresArg: true,
    describe: "File with the store's bearer token",
  },
  'token-file': {
    type: 'string',
    requiresArg: true,
    describe: 'File with your token',
  },
  'keys-file': {
    type: 'string',
    requiresArg: true,
    describe: 'File with the verification keys',
  },
  vm: {
    type: 'string',
    array: true,
    requiresArg: true,
    describe: 'Operator port of a VM, such as 10.0.1.4:8082; may be repeated',
  },
  'timeout-ms': {
    type: 'number',
    requiresArg: true,
    default: DEFAULT_TIMEOUT_MS,
    describe: 'Time-out of one call, in milliseconds',
  },
} as const;

function sessionFlags(
  options: Readonly<Record<string, unknown>>,
): SessionFlags {
  return {
    profile: options['profile'] as string | undefined,
    storeUrl: options['storeUrl'] as string | undefined,
    storeTokenFile: options['storeTokenFile'] as string | undefined,
    tokenFile: options['tokenFile'] as string | undefined,
    keysFile: options['keysFile'] as string | undefined,
    vm: options['vm'] as readonly string[] | undefined,
    dryRun: options['dryRun'] === true,
    timeoutMs: parseTimeoutMs(options['timeoutMs']),
  };
}

function parseTimeoutMs(value: unknown): number {
  if (typeof value === 'number' && value >= 1 && value <= MAX_TIMEOUT_MS) {
    return value;
  }
  throw new UsageProblem(
    `--timeout-ms: expected 1 to ${MAX_TIMEOUT_MS} milliseconds`,
  );
}

/** Parsed without yargs, so that its usage errors use this format as well. */
function outputFormat(commandArguments: readonly string[]): OutputFormat {
  const joined = commandArguments.join(' ');
  return /(^| )--output[ =]json( |$)/.test(joined) ? 'json' : 'text';
}

function usageError(message: string) {
  return createOperatorError('UsageInvalid', {
    where: 'arguments',
    expected: 'a known command with its arguments',
    found: message,
  });
}
