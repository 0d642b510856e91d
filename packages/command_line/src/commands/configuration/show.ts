import {createOperatorError} from '@ibisbeam/library';
import {EitherAsync, Left} from 'purify-ts';
import {defineCommand} from '../../core/command.js';
import {readStored} from '../../core/configuration_access.js';
import {formatTimestamp, formatTable} from '@ibisbeam/library';

/** Prints the sections of the accepted configuration, or one of them. */
export const configurationShowCommand = defineCommand({
  command: 'show [section]',
  describe: 'Print the accepted generation and its sections, or one section',
  options: builder => builder.positional('section', {type: 'string'}),
  run: (session, {section}) =>
    EitherAsync(async ({liftEither, fromPromise}) => {
      const stored = await fromPromise(readStored(session).run());
      if (section !== undefined) {
        const found = stored.document.get(section);
        if (!found) {
          const what = `section ${section}`;
          const where = 'the configuration';
          return liftEither(
            Left([createOperatorError('NotFound', {what, where})]),
          );
        }
        return {text: JSON.stringify(found, null, 2), data: found};
      }
      const {head} = stored;
      const rows = (head?.manifest ?? []).map(entry => [
        entry.section,
        String(entry.bytes),
        entry.digest.slice(0, 12),
      ]);
      const last = head?.writes.at(-1);
      const text = [
        head ? `Generation ${head.generation}` : 'No configuration yet.',
        last
          ? `Last change: ${formatTimestamp(last.atMs)} by ${last.author}: ${last.summary}`
          : '',
        formatTable(['SECTION', 'BYTES', 'DIGEST'], rows),
      ];
      return {text: text.filter(Boolean).join('\n'), data: {head}};
    }),
});
