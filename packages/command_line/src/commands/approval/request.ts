import {defineCommand} from '../../core/command.js';
import {approvalOptions, runApprovalChange} from './approval_change.js';

export const approvalRequestCommand = defineCommand({
  command: 'request',
  describe: 'Ask the owner of a service to approve a calling team',
  options: approvalOptions,
  run: (session, options) => runApprovalChange(session, 'request', options),
});
