import {EitherAsync} from 'purify-ts';
import {defineCommand} from '../../core/command.js';
import {readStored} from '../../core/configuration_access.js';
import {formatTimestamp, formatTable} from '@ibisbeam/library';
import {findWorkspace} from './workspace_change.js';

/** Lists the changes of a workspace that the configuration head retains. */
export const workspaceHistoryCommand = defineCommand({
  command: 'history <workspace>',
  describe: 'List the retained changes of a workspace and its template',
  options: builder =>
    builder.positional('workspace', {type: 'string', demandOption: true}),
  run: (session, options) =>
    EitherAsync(async ({liftEither, fromPromise}) => {
      const stored = await fromPromise(readStored(session).run());
      const {section, template} = await liftEither(
        findWorkspace(stored, options.workspace),
      );
      const writeHistory = stored.head?.writes ?? [];
      const summaryPrefixes = [`${section}:`, `template/${template.name}:`];
      const writes = writeHistory.filter(write =>
        summaryPrefixes.some(prefix => write.summary.startsWith(prefix)),
      );
      const rows = writes.map(write => [
        String(write.generation),
        formatTimestamp(write.atMs),
        write.author,
        write.summary,
      ]);
      const oldest = writeHistory[0]?.generation ?? 0;
      const text = [
        formatTable(['GENERATION', 'WHEN', 'WHO', 'WHAT'], rows),
        `The store retains the last ${writeHistory.length} changes of all sections, from generation ${oldest} on.`,
      ].join('\n');
      return {text, data: {writes, rememberedFrom: oldest}};
    }),
});
