import {checkTemplate} from '@ibisbeam/decision';
import {createOperatorError} from '@ibisbeam/library';
import {EitherAsync, Left, Right} from 'purify-ts';
import {defineCommand} from '../../core/command.js';
import type {Errors} from '../../core/dependencies.js';
import {loadTemplate} from '../../core/section_file.js';

/** Checks a template file without store or VMs. */
export const templateCheckCommand = defineCommand({
  command: 'check <file>',
  describe: 'Check a template file at its defaults and at every bound',
  options: builder =>
    builder.positional('file', {type: 'string', demandOption: true}),
  run: (session, {file}) =>
    EitherAsync.liftEither(
      loadTemplate(file, session.dependencies).chain(template => {
        const problems = checkTemplate(template);
        if (problems.length > 0) {
          const errors = problems.map(problem =>
            createOperatorError('ConfigurationInvalid', {...problem, file}),
          );
          return Left<Errors>(errors);
        }
        const parameters = Object.keys(template.parameters).length;
        const services = Object.keys(template.policies).length;
        return Right({
          text: `${file}: template ${template.name} version ${template.version} is valid (${parameters} parameters, ${services} services).`,
          data: {
            file,
            valid: true,
            template: template.name,
            version: template.version,
          },
        });
      }),
    ),
});
