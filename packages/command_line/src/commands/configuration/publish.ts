import {
  type Section,
  type SectionName,
  findChangedLeaves,
} from '@ibisbeam/decision';
import {createOperatorError} from '@ibisbeam/library';
import {EitherAsync, Left} from 'purify-ts';
import {defineCommand} from '../../core/command.js';
import {
  applyChange,
  compile,
  readStored,
} from '../../core/configuration_access.js';
import {buildChangeOutput} from '../../core/describe_change.js';
import {gatherLoad} from '../../core/operator_client.js';
import {loadSections} from '../../core/section_file.js';
import {requireOperator} from '../../core/session.js';

/** Publishes the sections of a folder that differ from the accepted ones. */
export const configurationPublishCommand = defineCommand({
  command: 'publish <folder>',
  describe: 'Publish the changed sections of a folder as one change',
  options: builder =>
    builder
      .positional('folder', {type: 'string', demandOption: true})
      .option('with-approvals', {
        type: 'boolean',
        default: false,
        describe: 'Publish approvals as well, if the store has none',
      }),
  run: (session, {folder, withApprovals}) =>
    EitherAsync(async ({liftEither, fromPromise}) => {
      const operator = await fromPromise(
        requireOperator(session, 'publishing a configuration').run(),
      );
      const loaded = await liftEither(
        loadSections(folder, session.dependencies),
      );
      const base = await fromPromise(readStored(session).run());
      const sections = new Map<SectionName, Section>();
      for (const [name, section] of loaded) {
        const published = base.document.get(name);
        // Target owners manage approvals; an operator may only publish initial ones.
        if (section.kind === 'approvals' && (published || !withApprovals)) {
          continue;
        }
        if (findChangedLeaves(published, section, '').length > 0) {
          sections.set(name, section);
        }
      }
      if (sections.size === 0) {
        const what = `the sections of ${folder}`;
        await liftEither(
          Left([createOperatorError('AlreadySo', {what, state: 'in force'})]),
        );
      }
      const current =
        base.document.size === 0
          ? undefined
          : compile(base.document, base.head?.generation ?? 0)
              .toMaybe()
              .extract();
      const fleet = current ? await gatherLoad(session, current) : undefined;
      const summary = `configuration: ${[...sections.keys()].join(', ')}`;
      const outcome = await fromPromise(
        applyChange(session, {
          base,
          sections,
          author: operator.name,
          summary,
          load: fleet?.load ?? [],
        }).run(),
      );
      return buildChangeOutput(summary, outcome, fleet);
    }),
});
