import {retireVerificationKey} from '@ibisbeam/library';
import {EitherAsync} from 'purify-ts';
import {defineCommand} from '../../core/command.js';
import {parseKeySet} from '../../core/key_files.js';
import {keySetErrors, writeKeySet} from './create.js';

/** Removes a key from the key set; its tokens are refused afterwards. */
export const keysRetireCommand = defineCommand({
  command: 'retire <key-id> <key-set-file>',
  describe:
    'Remove a key from the key set; its tokens are refused from then on',
  options: builder =>
    builder
      .positional('key-id', {type: 'string', demandOption: true})
      .positional('key-set-file', {type: 'string', demandOption: true}),
  run: ({dependencies, dryRun}, {keyId, keySetFile}) =>
    EitherAsync(async ({liftEither}) => {
      const keys = await liftEither(
        dependencies.readText(keySetFile).chain(parseKeySet),
      );
      const changed = await liftEither(
        retireVerificationKey(keys, keyId).mapLeft(problem =>
          keySetErrors(problem, keySetFile),
        ),
      );
      if (!dryRun) {
        await liftEither(writeKeySet(keySetFile, changed, dependencies));
      }
      return {
        text: dryRun
          ? `Key ${keyId}: --dry-run, nothing was written.`
          : `Key ${keyId}: retired from ${keySetFile}.`,
        data: {keyId, validKeys: changed.keys.length, dryRun},
      };
    }),
});
