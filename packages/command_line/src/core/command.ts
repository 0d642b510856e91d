/** Definition of commands and their registration with yargs. */
import type {ArgumentsCamelCase, Argv} from 'yargs';
import type {EitherAsync} from 'purify-ts';
import type {CommandOutput} from './command_output.js';
import type {Errors} from './dependencies.js';
import type {Session} from './session.js';

export type CommandResult = EitherAsync<Errors, CommandOutput>;

export interface CommandDefinition<Options> {
  /** Name and positional arguments, such as `show <workspace>`. */
  readonly command: string;
  readonly describe: string;
  readonly options: (builder: Argv) => Argv<Options>;
  readonly run: (
    session: Session,
    options: ArgumentsCamelCase<Options>,
  ) => CommandResult;
}

/** Runs a command with the options that yargs parsed. */
export type CommandRunner = (
  options: Readonly<Record<string, unknown>>,
  run: (session: Session) => CommandResult,
) => Promise<void>;

/** A command, or a group of commands, that can be added to a parser. */
export type Command = (parser: Argv, runner: CommandRunner) => Argv;

export function defineCommand<Options>(
  definition: CommandDefinition<Options>,
): Command {
  return (parser, runner) =>
    parser.command<Options>(
      definition.command,
      definition.describe,
      builder => definition.options(builder),
      options => runner(options, session => definition.run(session, options)),
    );
}

export function defineGroup(
  name: string,
  describe: string,
  commands: readonly Command[],
): Command {
  return (parser, runner) =>
    parser.command(name, describe, builder => {
      let group = builder;
      for (const command of commands) {
        group = command(group, runner);
      }
      return group.demandCommand(1, `${name}: name one of its commands`);
    });
}
