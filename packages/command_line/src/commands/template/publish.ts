import {EitherAsync} from 'purify-ts';
import {defineCommand} from '../../core/command.js';
import {applyChange, readAccepted} from '../../core/configuration_access.js';
import {buildChangeOutput} from '../../core/describe_change.js';
import {gatherLoad} from '../../core/operator_client.js';
import {loadTemplate} from '../../core/section_file.js';
import {requireOperator} from '../../core/session.js';
import {buildTemplateChanges} from './template_change.js';

/** Publishes a new template version and moves its workspaces to it. */
export const templatePublishCommand = defineCommand({
  command: 'publish <file>',
  describe: 'Publish a new version of a template, after showing its impact',
  options: builder =>
    builder.positional('file', {type: 'string', demandOption: true}),
  run: (session, {file}) =>
    EitherAsync(async ({liftEither, fromPromise}) => {
      const operator = await fromPromise(
        requireOperator(session, 'publishing a template').run(),
      );
      const template = await liftEither(
        loadTemplate(file, session.dependencies),
      );
      const accepted = await fromPromise(readAccepted(session).run());
      const sections = await liftEither(
        buildTemplateChanges(accepted.stored, template),
      );
      const fleet = await gatherLoad(session, accepted.configuration);
      const outcome = await fromPromise(
        applyChange(session, {
          base: accepted.stored,
          sections,
          author: operator.name,
          summary: `template/${template.name}: version ${template.version}`,
          load: fleet.load,
        }).run(),
      );
      return buildChangeOutput(
        `template/${template.name} version ${template.version}`,
        outcome,
        fleet,
      );
    }),
});
