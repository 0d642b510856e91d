import {loadSettings} from '@ibisbeam/library';
import {EitherAsync} from 'purify-ts';
import {defineCommand} from '../../core/command.js';

/** Checks a VM's settings file without starting anything. */
export const settingsCheckCommand = defineCommand({
  command: 'check <file>',
  describe: "Check a VM's settings file",
  options: builder =>
    builder.positional('file', {type: 'string', demandOption: true}),
  run: (_session, {file}) =>
    EitherAsync.liftEither(loadSettings(file)).map(settings => ({
      text: `${file}: valid, for VM ${settings.vm.id}.`,
      data: {file, valid: true, vm: settings.vm.id},
    })),
});
