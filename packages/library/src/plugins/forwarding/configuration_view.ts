/** One generation of the configuration, indexed for the request path. */
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

/** Clients whose place is remembered; the oldest go first. */
const REMEMBERED_CLIENTS = 10_000;

export interface ConfigurationView {
  readonly configuration: Configuration;
  workspaceService(
    workspace: string,
    service: string,
  ): WorkspaceService | undefined;
  isApproved(key: ApprovalKey): boolean;
  /** `undefined` when the text is no IP number. */
  clientPlace(address: string): ClientLocation | undefined;
}

export function createConfigurationView(
  configuration: Configuration,
  blocks: BlockTable,
): ConfigurationView {
  const approvals = indexApprovals(configuration.approvals);
  const places = new Map<string, ClientLocation | undefined>();

  function clientPlace(address: string): ClientLocation | undefined {
    const known = places.get(address);
    if (known) {
      return known;
    }
    const place = blocks.find(address);
    if (places.size >= REMEMBERED_CLIENTS) {
      places.delete(places.keys().next().value!);
    }
    places.set(address, place);
    return place;
  }

  return {
    configuration,
    workspaceService: (workspace, service) =>
      configuration.workspaces
        .get(workspace as WorkspaceName)
        ?.get(service as ServiceName),
    isApproved: key => approvals.statusOf(key) === 'approved',
    clientPlace,
  };
}
