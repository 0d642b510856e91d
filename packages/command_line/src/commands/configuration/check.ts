import {analyzeImpact, checkTemplate} from '@ibisbeam/decision';
import {createOperatorError} from '@ibisbeam/library';
import {EitherAsync, Left} from 'purify-ts';
import {defineCommand} from '../../core/command.js';
import {compile} from '../../core/configuration_access.js';
import {loadSections} from '../../core/section_file.js';

/** Checks a folder of sections as one configuration, without store or VMs. */
export const configurationCheckCommand = defineCommand({
  command: 'check <folder>',
  describe: 'Check a folder of section files (.jsonc) as one configuration',
  options: builder =>
    builder.positional('folder', {type: 'string', demandOption: true}),
  run: (session, {folder}) =>
    EitherAsync(async ({liftEither}) => {
      const document = await liftEither(
        loadSections(folder, session.dependencies),
      );
      for (const section of document.values()) {
        const problems =
          section.kind === 'template' ? checkTemplate(section.template) : [];
        if (problems.length > 0) {
          const errors = problems.map(problem =>
            createOperatorError('ConfigurationInvalid', {...problem}),
          );
          await liftEither(Left(errors));
        }
      }
      const configuration = await liftEither(compile(document, 1));
      const {findings} = analyzeImpact(undefined, configuration, []);
      const sections = [...document.keys()].sort();
      return {
        text: `${folder}: valid, ${sections.length} sections: ${sections.join(', ')}.`,
        data: {folder, sections, findings},
        warnings: findings.map(({limit, message}) => `${limit}: ${message}`),
      };
    }),
});
