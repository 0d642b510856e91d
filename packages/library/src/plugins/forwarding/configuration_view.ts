/** One generation of the configuration, indexed for request processing. */
import {
  type ApprovalKey,
  type BlockTable,
  type ClientLocation,
  type Configuration,
  type ServiceName,
  type WorkspaceName,
  type WorkspaceService,
  indexApprovals,
} from '@ibisbeam/decision';

/** Size of the location cache; the oldest entries are evicted first. */
const MAXIMUM_CACHED_LOCATIONS = 10_000;

export interface ConfigurationView {
  readonly configuration: Configuration;
  workspaceService(
    workspace: string,
    service: string,
  ): WorkspaceService | undefined;
  isApproved(key: ApprovalKey): boolean;
  /** Undefined if `address` is not an IP address. */
  clientLocation(address: string): ClientLocation | undefined;
}

export function createConfigurationView(
  configuration: Configuration,
  blocks: BlockTable,
): ConfigurationView {
  const approvals = indexApprovals(configuration.approvals);
  const locations = new Map<string, ClientLocation | undefined>();

  function clientLocation(address: string): ClientLocation | undefined {
    const cached = locations.get(address);
    if (cached) {
      return cached;
    }
    const location = blocks.find(address);
    if (locations.size >= MAXIMUM_CACHED_LOCATIONS) {
      locations.delete(locations.keys().next().value!);
    }
    locations.set(address, location);
    return location;
  }

  return {
    configuration,
    workspaceService: (workspace, service) =>
      configuration.workspaces
        .get(workspace as WorkspaceName)
        ?.get(service as ServiceName),
    isApproved: key => approvals.statusOf(key) === 'approved',
    clientLocation,
  };
}
