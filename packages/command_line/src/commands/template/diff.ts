import {findChangedLeaves} from '@ibisbeam/decision';
import {EitherAsync} from 'purify-ts';
import {defineCommand} from '../../core/command.js';
import {computeImpact, readAccepted} from '../../core/configuration_access.js';
import {describeImpact} from '../../core/describe_change.js';
import {gatherLoad} from '../../core/operator_client.js';
import {loadTemplate} from '../../core/section_file.js';
import {buildTemplateChanges} from './template_change.js';

/** Shows the impact of publishing a template, without publishing it. */
export const templateDiffCommand = defineCommand({
  command: 'diff <file>',
  describe: 'Show what a template file would change in each workspace',
  options: builder =>
    builder.positional('file', {type: 'string', demandOption: true}),
  run: (session, {file}) =>
    EitherAsync(async ({liftEither, fromPromise}) => {
      const template = await liftEither(
        loadTemplate(file, session.dependencies),
      );
      const accepted = await fromPromise(readAccepted(session).run());
      const {stored, configuration} = accepted;
      const sections = await liftEither(buildTemplateChanges(stored, template));
      const fleet = await gatherLoad(session, configuration);
      const impact = await liftEither(
        computeImpact({
          base: stored,
          sections,
          author: '',
          summary: '',
          load: fleet.load,
        }),
      );
      const name = `template/${template.name}`;
      const leaves = findChangedLeaves(
        stored.document.get(name),
        sections.get(name),
        '',
      );
      const lines = leaves.map(
        ({path, before, after}) =>
          `  ${path}: ${JSON.stringify(before) ?? 'nothing'} -> ${JSON.stringify(after) ?? 'nothing'}`,
      );
      const findings = impact.findings.map(
        ({severity, limit, message}) => `  ${severity}: ${limit}: ${message}`,
      );
      const text = [
        name,
        ...lines,
        'Workspaces:',
        describeImpact(impact),
        ...(findings.length > 0 ? ['Limits:', ...findings] : []),
      ].join('\n');
      return {text, data: {template: leaves, impact}};
    }),
});
