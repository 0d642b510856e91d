import {
  loadSettings,
  createOperatorError,
  readSettingsFile,
} from '@ibisbeam/library';
import {readSettings} from '@ibisbeam/platform';
import {type Either, EitherAsync, Left, Right} from 'purify-ts';
import type {CommandOutput} from '../../core/command_output.js';
import {defineCommand} from '../../core/command.js';
import type {Errors} from '../../core/dependencies.js';

/** Checks a file in the format that the users' platform gives its processes. */
function checkPlatformSettings(file: string): Either<Errors, CommandOutput> {
  return readSettingsFile(file).chain(text =>
    readSettings(text).caseOf<Either<Errors, CommandOutput>>({
      Left: problem =>
        Left([
          createOperatorError('SettingsInvalid', {
            file,
            line: 1,
            key: '(whole file)',
            expected: "settings in the format of the users' platform",
            found: problem,
          }),
        ]),
      Right: ({gateway}) =>
        Right({
          text: `${file}: valid, for VM ${gateway.vm.id}.`,
          data: {file, valid: true, vm: gateway.vm.id},
        }),
    }),
  );
}

/** Checks a VM's settings file without starting the VM. */
export const settingsCheckCommand = defineCommand({
  command: 'check <file>',
  describe: "Check a VM's settings file",
  options: builder =>
    builder
      .positional('file', {type: 'string', demandOption: true})
      .option('platform', {
        type: 'boolean',
        default: false,
        describe: "The file has the format of the users' platform",
      }),
  run: (_session, {file, platform}) =>
    platform
      ? EitherAsync.liftEither(checkPlatformSettings(file))
      : EitherAsync.liftEither(loadSettings(file)).map(settings => ({
          text: `${file}: valid, for VM ${settings.vm.id}.`,
          data: {file, valid: true, vm: settings.vm.id},
        })),
});
