import {EitherAsync} from 'purify-ts';
import {defineCommand} from '../../core/command.js';
import {computeImpact, readAccepted} from '../../core/configuration_access.js';
import {describeImpact} from '../../core/describe_change.js';
import {gatherLoad} from '../../core/operator_client.js';
import {
  changeValues,
  findWorkspace,
  summarizeValues,
  workspaceSection,
} from './workspace_change.js';

/** Shows the impact of `workspace set` without publishing; needs no token. */
export const workspaceDiffCommand = defineCommand({
  command: 'diff <workspace> [values..]',
  describe: 'Show the impact of parameter values without setting them',
  options: builder =>
    builder
      .positional('workspace', {type: 'string', demandOption: true})
      .positional('values', {type: 'string', array: true, default: []})
      .option('unset', {
        type: 'string',
        array: true,
        default: [] as string[],
        requiresArg: true,
        describe: "Reset this parameter to the template's default",
      }),
  run: (session, {workspace, values, unset}) =>
    EitherAsync(async ({liftEither, fromPromise}) => {
      const accepted = await fromPromise(readAccepted(session).run());
      const found = await liftEither(findWorkspace(accepted.stored, workspace));
      const changed = await liftEither(
        changeValues(found, {assignments: values, unset}),
      );
      const fleet = await gatherLoad(session, accepted.configuration);
      const impact = await liftEither(
        computeImpact({
          base: accepted.stored,
          sections: new Map([[found.section, workspaceSection(changed)]]),
          author: '',
          summary: '',
          load: fleet.load,
        }),
      );
      const findings = impact.findings.map(
        ({severity, limit, message}) => `${severity}: ${limit}: ${message}`,
      );
      const text = [
        summarizeValues(found.workspace, changed),
        describeImpact(impact),
        ...findings,
      ].join('\n');
      return {text, data: {workspace: changed, impact}};
    }),
});
