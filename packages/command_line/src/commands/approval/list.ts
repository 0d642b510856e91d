import type {Approval} from '@ibisbeam/decision';
import {EitherAsync} from 'purify-ts';
import {defineCommand} from '../../core/command.js';
import {readAccepted} from '../../core/configuration_access.js';
import {formatTimestamp, formatTable} from '@ibisbeam/library';

export const approvalListCommand = defineCommand({
  command: 'list',
  describe: 'List approvals, open requests and revocations',
  options: builder =>
    builder
      .option('workspace', {type: 'string', requiresArg: true})
      .option('service', {type: 'string', requiresArg: true})
      .option('state', {
        choices: ['requested', 'approved', 'revoked'] as const,
        requiresArg: true,
      }),
  run: (session, {workspace, service, state}) =>
    EitherAsync(async ({fromPromise}) => {
      const accepted = await fromPromise(readAccepted(session).run());
      const {configuration} = accepted;
      const approvals = configuration.approvals.filter(
        approval =>
          (workspace === undefined || approval.workspace === workspace) &&
          (service === undefined || approval.service === service) &&
          (state === undefined || approval.state === state),
      );
      const rows = approvals.map(approval => [
        approval.workspace,
        approval.service,
        approval.callingTeam,
        approval.state,
        configuration.services.get(approval.service)?.owner ?? '',
        ...describeDecision(approval),
      ]);
      const header = [
        'WORKSPACE',
        'SERVICE',
        'TEAM',
        'STATE',
        'OWNER',
        'BY',
        'WHEN',
        'NOTE',
      ];
      return {text: formatTable(header, rows), data: {approvals}};
    }),
});

function describeDecision(approval: Approval): readonly string[] {
  const when = approval.decidedAtMs
    ? formatTimestamp(approval.decidedAtMs)
    : '';
  return [approval.decidedBy ?? '', when, approval.note ?? ''];
}
