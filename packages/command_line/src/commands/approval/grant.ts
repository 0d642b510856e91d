import {defineCommand} from '../../core/command.js';
import {approvalOptions, runApprovalChange} from './approval_change.js';

export const approvalGrantCommand = defineCommand({
  command: 'grant',
  describe: 'Approve a calling team (only the owner of the service)',
  options: approvalOptions,
  run: (session, options) => runApprovalChange(session, 'grant', options),
});
