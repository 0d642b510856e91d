import {defineCommand} from '../../core/command.js';
import {approvalOptions, runApprovalChange} from './approval_change.js';

export const approvalRevokeCommand = defineCommand({
  command: 'revoke',
  describe: 'Revoke the approval of a calling team (only the owner)',
  options: approvalOptions,
  run: (session, options) => runApprovalChange(session, 'revoke', options),
});
