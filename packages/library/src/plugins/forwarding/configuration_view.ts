/** One generation of the configuration, indexed for the request path. */
import {
  type Configuration,
  type RegionName,
  type ServiceName,
  type TeamName,
  type WorkspaceName,
  type WorkspaceService,
} from '@ibisbeam/decision';

/** Where a client belongs. */
export interface ClientPlace {
  readonly region: RegionName;
  /** 0 to 999; client blocks of one cohort move together. */
  readonly cohort: number;
}

export interface ConfigurationView {
  readonly configuration: Configuration;
  workspaceService(
    workspace: string,
    service: string,
  ): WorkspaceService | undefined;
  isApproved(
    workspace: WorkspaceName,
    service: ServiceName,
    team: TeamName,
  ): boolean;
  /** @param address IP number of a client, or a block of them. */
  clientPlace(address: string): ClientPlace | undefined;
}

export function createConfigurationView(
  configuration: Configuration,
  findClient: (address: string) => ClientPlace | undefined,
): ConfigurationView {
  const approved = new Set<string>();
  for (const approval of configuration.approvals) {
    if (approval.state === 'approved') {
      const {workspace, service, callingTeam} = approval;
      approved.add(approvalKey(workspace, service, callingTeam));
    }
  }

  return {
    configuration,
    workspaceService: (workspace, service) =>
      configuration.workspaces
        .get(workspace as WorkspaceName)
        ?.get(service as ServiceName),
    isApproved: (workspace, service, team) =>
      approved.has(approvalKey(workspace, service, team)),
    clientPlace: findClient,
  };
}

function approvalKey(
  workspace: WorkspaceName,
  service: ServiceName,
  team: TeamName,
): string {
  return `${workspace} ${service} ${team}`;
}
