/** One generation of the configuration, indexed for the request path. */
import {
  type ApprovalKey,
  type BlockTable,
  type ClientPlace,
  type Configuration,
  type ServiceName,
  type WorkspaceName,
  type WorkspaceService,
  indexApprovals,
} from '@ibisbeam/decision';

export interface ConfigurationView {
  readonly configuration: Configuration;
  workspaceService(
    workspace: string,
    service: string,
  ): WorkspaceService | undefined;
  isApproved(key: ApprovalKey): boolean;
  /** `undefined` when the text is no IP number. */
  clientPlace(address: string): ClientPlace | undefined;
}

export function createConfigurationView(
  configuration: Configuration,
  blocks: BlockTable,
): ConfigurationView {
  const approvals = indexApprovals(configuration.approvals);

  return {
    configuration,
    workspaceService: (workspace, service) =>
      configuration.workspaces
        .get(workspace as WorkspaceName)
        ?.get(service as ServiceName),
    isApproved: key => approvals.standing(key) === 'approved',
    clientPlace: blocks.find,
  };
}
