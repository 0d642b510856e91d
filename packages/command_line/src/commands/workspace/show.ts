import {
  type ParameterDefinition,
  assertNever,
  instantiateTemplate,
} from '@ibisbeam/decision';
import {createOperatorError} from '@ibisbeam/library';
import {EitherAsync} from 'purify-ts';
import {defineCommand} from '../../core/command.js';
import {readStored} from '../../core/configuration_access.js';
import {formatTable} from '@ibisbeam/library';
import {findWorkspace} from './workspace_change.js';

/** Prints a workspace's parameters with their bounds and descriptions. */
export const workspaceShowCommand = defineCommand({
  command: 'show <workspace>',
  describe: "Print a workspace's parameters and what they mean",
  options: builder =>
    builder
      .positional('workspace', {type: 'string', demandOption: true})
      .option('policies', {
        type: 'boolean',
        default: false,
        describe: 'Also print the policies with the parameter values filled in',
      }),
  run: (session, options) =>
    EitherAsync(async ({liftEither, fromPromise}) => {
      const stored = await fromPromise(readStored(session).run());
      const found = await liftEither(findWorkspace(stored, options.workspace));
      const {workspace, template} = found;
      const policies = await liftEither(
        instantiateTemplate(template, workspace)
          .map(policyByService => Object.fromEntries(policyByService))
          .mapLeft(problems =>
            problems.map(problem =>
              createOperatorError('ConfigurationInvalid', {...problem}),
            ),
          ),
      );
      const rows: string[][] = [];
      for (const [name, definition] of Object.entries(template.parameters)) {
        const value = workspace.values[name];
        rows.push([
          name,
          String(value ?? definition.default),
          value === undefined ? 'default' : 'set',
          describeBounds(definition),
          definition.description,
        ]);
      }
      const parts = [
        `Workspace ${workspace.name}, template ${template.name} version ${template.version}`,
        formatTable(['PARAMETER', 'VALUE', 'FROM', 'BOUNDS', 'MEANING'], rows),
      ];
      if (options.policies) {
        parts.push(JSON.stringify(policies, null, 2));
      }
      return {
        text: parts.join('\n'),
        data: {
          generation: stored.head?.generation,
          workspace,
          parameters: template.parameters,
          policies,
        },
      };
    }),
});

function describeBounds(definition: ParameterDefinition): string {
  switch (definition.type) {
    case 'number':
    case 'integer':
      return `${definition.minimum} to ${definition.maximum} ${definition.unit}`;
    case 'choice':
      return definition.choices.join(' | ');
    case 'switch':
      return 'true | false';
    default:
      return assertNever(definition);
  }
}
