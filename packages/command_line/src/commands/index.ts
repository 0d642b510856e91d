/** All commands, in the order of the help text. */
import {type Command, defineGroup} from '../core/command.js';
import {approvalGrantCommand} from './approval/grant.js';
import {approvalListCommand} from './approval/list.js';
import {approvalRequestCommand} from './approval/request.js';
import {approvalRevokeCommand} from './approval/revoke.js';
import {configurationCheckCommand} from './configuration/check.js';
import {configurationPublishCommand} from './configuration/publish.js';
import {configurationShowCommand} from './configuration/show.js';
import {configurationStatusCommand} from './configuration/status.js';
import {drainAbortCommand} from './drain/abort.js';
import {drainListCommand} from './drain/list.js';
import {drainPlanCommand} from './drain/plan.js';
import {drainShowCommand} from './drain/show.js';
import {eventsCommand} from './events.js';
import {explainCommand} from './explain.js';
import {keysCreateCommand} from './keys/create.js';
import {keysListCommand} from './keys/list.js';
import {keysRetireCommand} from './keys/retire.js';
import {quarantineLiftCommand} from './quarantine/lift.js';
import {quarantineListCommand} from './quarantine/list.js';
import {reportBurnCommand} from './report/burn.js';
import {settingsCheckCommand} from './settings/check.js';
import {settingsShowCommand} from './settings/show.js';
import {statusCommand} from './status.js';
import {templateCheckCommand} from './template/check.js';
import {templateDiffCommand} from './template/diff.js';
import {templatePublishCommand} from './template/publish.js';
import {tokenInspectCommand} from './token/inspect.js';
import {tokenIssueCommand} from './token/issue.js';
import {workspaceDiffCommand} from './workspace/diff.js';
import {workspaceHistoryCommand} from './workspace/history.js';
import {workspaceSetCommand} from './workspace/set.js';
import {workspaceShowCommand} from './workspace/show.js';

export const commands: readonly Command[] = [
  defineGroup('settings', 'Settings of one VM', [
    settingsCheckCommand,
    settingsShowCommand,
  ]),
  defineGroup('configuration', 'The accepted configuration', [
    configurationCheckCommand,
    configurationPublishCommand,
    configurationShowCommand,
    configurationStatusCommand,
  ]),
  defineGroup('template', 'Steering templates', [
    templateCheckCommand,
    templateDiffCommand,
    templatePublishCommand,
  ]),
  defineGroup('workspace', 'Parameters of a workspace', [
    workspaceSetCommand,
    workspaceShowCommand,
    workspaceDiffCommand,
    workspaceHistoryCommand,
  ]),
  defineGroup('approval', 'Approvals of calling teams', [
    approvalListCommand,
    approvalRequestCommand,
    approvalGrantCommand,
    approvalRevokeCommand,
  ]),
  defineGroup('drain', 'Planned drains', [
    drainPlanCommand,
    drainListCommand,
    drainShowCommand,
    drainAbortCommand,
  ]),
  statusCommand,
  explainCommand,
  eventsCommand,
  defineGroup('quarantine', 'Quarantine of requests that crash targets', [
    quarantineListCommand,
    quarantineLiftCommand,
  ]),
  defineGroup('report', 'Reports', [reportBurnCommand]),
  defineGroup('keys', 'Signing keys and key sets', [
    keysCreateCommand,
    keysListCommand,
    keysRetireCommand,
  ]),
  defineGroup('token', 'Tokens', [tokenIssueCommand, tokenInspectCommand]),
];
