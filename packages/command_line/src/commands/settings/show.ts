import {type Settings, loadSettings} from '@ibisbeam/library';
import {EitherAsync} from 'purify-ts';
import {defineCommand} from '../../core/command.js';

const MASK = '***';

/** Prints all settings with defaults; secrets are shown as references. */
export const settingsShowCommand = defineCommand({
  command: 'show <file>',
  describe: 'Print settings with every default filled in, secrets masked',
  options: builder =>
    builder.positional('file', {type: 'string', demandOption: true}),
  run: (_session, {file}) =>
    EitherAsync.liftEither(loadSettings(file)).map(settings => {
      const shown = maskSecrets(settings);
      return {text: JSON.stringify(shown, null, 2), data: shown};
    }),
});

/**
 * Masks credentials and query values in the URL of the store, which may hold a
 * password or a token. Keys need no mask: they are references to files or
 * environment variables.
 */
export function maskSecrets(settings: Settings): Settings {
  const url = new URL(settings.platform.url);
  if (url.username) {
    url.username = MASK;
  }
  if (url.password) {
    url.password = MASK;
  }
  for (const name of [...url.searchParams.keys()]) {
    url.searchParams.set(name, MASK);
  }
  return {
    ...settings,
    platform: {...settings.platform, url: url.toString()},
  };
}
