import {keyIdsOf} from '@ibisbeam/library';
import {EitherAsync} from 'purify-ts';
import {defineCommand} from '../../core/command.js';
import {parseKeySet} from '../../core/key_files.js';

export const keysListCommand = defineCommand({
  command: 'list <key-set-file>',
  describe: 'List the keys whose tokens are valid',
  options: builder =>
    builder.positional('key-set-file', {type: 'string', demandOption: true}),
  run: ({dependencies}, {keySetFile}) =>
    EitherAsync.liftEither(
      dependencies
        .readText(keySetFile)
        .chain(parseKeySet)
        .map(keys => {
          const keyIds = keyIdsOf(keys);
          return {text: keyIds.join('\n'), data: {keyIds}};
        }),
    ),
});
