import {EitherAsync} from 'purify-ts';
import {defineCommand} from '../../core/command.js';
import {applyChange, readAccepted} from '../../core/configuration_access.js';
import {buildChangeOutput} from '../../core/describe_change.js';
import {gatherLoad} from '../../core/operator_client.js';
import {requireOperator} from '../../core/session.js';
import {
  changeValues,
  findWorkspace,
  summarizeValues,
  workspaceSection,
} from './workspace_change.js';

/** Changes parameter values of a workspace. */
export const workspaceSetCommand = defineCommand({
  command: 'set <workspace> [values..]',
  describe: "Change a workspace's parameters, such as shiftCap=0.2",
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
      const operator = await fromPromise(
        requireOperator(session, 'changing a workspace').run(),
      );
      const accepted = await fromPromise(readAccepted(session).run());
      const found = await liftEither(findWorkspace(accepted.stored, workspace));
      const changed = await liftEither(
        changeValues(found, {assignments: values, unset}),
      );
      const fleet = await gatherLoad(session, accepted.configuration);
      const summary = summarizeValues(found.workspace, changed);
      const outcome = await fromPromise(
        applyChange(session, {
          base: accepted.stored,
          sections: new Map([[found.section, workspaceSection(changed)]]),
          author: operator.name,
          summary,
          load: fleet.load,
        }).run(),
      );
      return buildChangeOutput(summary, outcome, fleet);
    }),
});
