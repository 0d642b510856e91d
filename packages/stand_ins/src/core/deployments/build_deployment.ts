/** Builds the configuration document of a user's deployment at a given size. */
import {
  type ClientBlocks,
  type ConfigurationDocument,
  type EntryVm,
  type Link,
  type RegionName,
  type Section,
  type Service,
  type Target,
  regionName,
  sectionNameOf,
  sectionSchema,
  serviceName,
  targetId,
  teamName,
  templateName,
  vmId,
  workspaceName,
  zoneName,
} from '@ibisbeam/decision';
import {
  type DeploymentSpecification,
  LINK_BITS_PER_SECOND,
  LINK_USABLE_FRACTION,
  type ServiceSpecification,
  ZONES,
  DEPLOYMENT_SPECIFICATIONS,
} from './deployment_specifications.js';
import type {DeploymentOptions} from './types.js';

/** Client blocks per section; keeps a section well below the store's 1 MiB limit. */
const BLOCKS_PER_SECTION = 20_000;

export function buildDeployment(
  options: DeploymentOptions,
): ConfigurationDocument {
  const specification = DEPLOYMENT_SPECIFICATIONS[options.name];
  const sections: Section[] = [
    buildTopology(specification, options),
    ...specification.services.map(service =>
      buildService(service, specification, options),
    ),
    buildTemplate(specification),
    {
      kind: 'workspace',
      workspace: {
        name: workspaceName(specification.workspace),
        template: templateName('standard-steering'),
        templateVersion: 1,
        values: {},
      },
    },
    buildApprovals(specification),
    {kind: 'drains', drains: []},
    {kind: 'shifts', shifts: []},
    ...buildClientBlocks(specification, options),
  ];
  const document = new Map<string, Section>();
  for (const section of sections) {
    document.set(sectionNameOf(section), sectionSchema.parse(section));
  }
  return document;
}

function buildTopology(
  specification: DeploymentSpecification,
  options: DeploymentOptions,
): Section {
  const regions = specification.regions.map(name => ({
    name: regionName(name),
    zones: ZONES.map(zoneName),
  }));
  return {
    kind: 'topology',
    topology: {
      regions,
      links: buildLinks(regions.map(region => region.name)),
      entryVms: buildEntryVms(specification, options),
    },
  };
}

function buildLinks(regions: readonly RegionName[]): readonly Link[] {
  const links: Link[] = [];
  for (const from of regions) {
    for (const to of regions) {
      if (from === to) {
        continue;
      }
      links.push({
        from,
        to,
        bitsPerSecond: LINK_BITS_PER_SECOND,
        usableFraction: LINK_USABLE_FRACTION,
      });
    }
  }
  return links;
}

function buildEntryVms(
  specification: DeploymentSpecification,
  options: DeploymentOptions,
): readonly EntryVm[] {
  const vms: EntryVm[] = [];
  for (let index = 0; index < options.entryVmCount; index += 1) {
    const place = placeOf(index, specification);
    const addresses = options.vmAddresses?.(index) ?? {
      callerAddress: `10.0.${index >> 8}.${index & 255}:8080`,
      peerAddress: `10.0.${index >> 8}.${index & 255}:8081`,
      operatorAddress: `10.0.${index >> 8}.${index & 255}:8082`,
    };
    vms.push({
      id: vmId(`${place.region}-${place.zone}-${index + 1}`),
      ...place,
      ...addresses,
    });
  }
  return vms;
}

/** Assigns an index to a region round-robin, then to a zone of the region. */
function placeOf(index: number, specification: DeploymentSpecification) {
  const region = specification.regions[index % specification.regions.length]!;
  const round = Math.floor(index / specification.regions.length);
  return {
    region: regionName(region),
    zone: zoneName(ZONES[round % ZONES.length]!),
  };
}

function buildService(
  service: ServiceSpecification,
  specification: DeploymentSpecification,
  options: DeploymentOptions,
): Section {
  const targets: Target[] = [];
  const workers = Math.ceil(service.workers / options.workerDivisor);
  for (let index = 0; index < workers; index += 1) {
    const id = targetId(`${service.name}-${index + 1}`);
    targets.push({
      id,
      ...placeOf(index, specification),
      address:
        options.targetAddress?.(id) ?? `10.1.${index >> 8}.${index & 255}:9000`,
      slots: service.slots,
    });
  }
  const built: Service = {
    name: serviceName(service.name),
    owner: teamName(specification.owner),
    targets,
  };
  return {kind: 'service', service: built};
}

function buildTemplate(specification: DeploymentSpecification): Section {
  const policies: Record<string, Record<string, unknown>> = {};
  for (const service of specification.services) {
    policies[service.name] = {
      ...service.policy,
      shift: {...service.policy.shift, capFraction: {parameter: 'shiftCap'}},
    };
  }
  return {
    kind: 'template',
    template: {
      name: templateName('standard-steering'),
      version: 1,
      description: `Steering of ${specification.workspace}.`,
      parameters: {
        shiftCap: {
          type: 'number',
          unit: 'fraction of a region per minute',
          description: 'Largest part of a region that may move in a minute.',
          default: 0.1,
          minimum: 0.01,
          maximum: 0.25,
        },
      },
      policies: policies as never,
    },
  };
}

function buildApprovals(specification: DeploymentSpecification): Section {
  const approvals = [];
  for (const service of specification.services) {
    for (const team of specification.callingTeams) {
      approvals.push({
        workspace: workspaceName(specification.workspace),
        service: serviceName(service.name),
        callingTeam: teamName(team),
        state: 'approved' as const,
        decidedBy: specification.owner,
        decidedAtMs: 0,
      });
    }
  }
  return {kind: 'approvals', approvals};
}

function buildClientBlocks(
  specification: DeploymentSpecification,
  options: DeploymentOptions,
): readonly Section[] {
  const sections: Section[] = [];
  const count = options.clientBlockCount;
  for (let start = 0; start < count; start += BLOCKS_PER_SECTION) {
    const prefixes: Record<string, string[]> = {};
    for (const region of specification.regions) {
      prefixes[region] = [];
    }
    const end = Math.min(start + BLOCKS_PER_SECTION, count);
    for (let index = start; index < end; index += 1) {
      const region =
        specification.regions[index % specification.regions.length]!;
      prefixes[region]!.push(blockPrefix(index));
    }
    const blocks: Record<string, string> = {};
    for (const [region, list] of Object.entries(prefixes)) {
      blocks[region] = list.join(' ');
    }
    const shard = String(start / BLOCKS_PER_SECTION).padStart(4, '0');
    sections.push({
      kind: 'client-blocks',
      shard,
      blocks: blocks as ClientBlocks,
    });
  }
  return sections;
}

/** Returns consecutive /24 blocks starting at 64.0.0.0. */
function blockPrefix(index: number): string {
  return `${64 + (index >> 16)}.${(index >> 8) & 255}.${index & 255}.0/24`;
}
