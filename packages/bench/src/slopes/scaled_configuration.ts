/** Generates configurations for any fleet size up to the design size. */
import {
  type ConfigurationDocument,
  type Drain,
  type Section,
  regionName,
  sectionNameOf,
  sectionSchema,
  serviceName,
  targetId,
  vmId,
  zoneName,
} from '@ibisbeam/decision';
import {buildDeployment} from '@ibisbeam/stand-ins';

export interface FleetSize {
  readonly vms: number;
  readonly regions: number;
  readonly zones: number;
  /** Sites with targets; each has one target of each service. */
  readonly sites: number;
}

export const CURRENT_SIZE: FleetSize = {
  vms: 7,
  regions: 3,
  zones: 6,
  sites: 12,
};
export const DESIGN_SIZE: FleetSize = {
  vms: 1_100,
  regions: 30,
  zones: 78,
  sites: 230,
};

const BLOCKS_PER_SECTION = 40_000;
const SLOTS_PER_SITE = 24;
const LINK_BITS_PER_SECOND = 4_000_000_000;

/** Services and policies of an example deployment, scaled to the given size. */
export function scaledDocument(size: FleetSize): ConfigurationDocument {
  const document = new Map<string, Section>();
  const deployment = buildDeployment({
    name: 'ceoltoiri',
    entryVmCount: 1,
    workerDivisor: 12,
    clientBlockCount: 0,
  });
  const sections: Section[] = [];
  for (const section of deployment.values()) {
    if (section.kind === 'topology') {
      sections.push(topologySection(size));
    } else if (section.kind === 'service') {
      sections.push(serviceSection(section.service.name, size));
    } else if (section.kind !== 'client-blocks') {
      sections.push(section);
    }
  }
  for (const section of sections) {
    document.set(sectionNameOf(section), sectionSchema.parse(section));
  }
  return document;
}

/** Splits `count` client blocks into sections of up to 40,000 blocks. */
export function blockSections(
  count: number,
  regions: number,
): readonly Extract<Section, {kind: 'client-blocks'}>[] {
  const sections: Extract<Section, {kind: 'client-blocks'}>[] = [];
  for (let start = 0; start < count; start += BLOCKS_PER_SECTION) {
    const prefixes = new Map<string, string[]>();
    const end = Math.min(start + BLOCKS_PER_SECTION, count);
    for (let index = start; index < end; index += 1) {
      const region = regionNameAt(index % regions);
      const list = prefixes.get(region) ?? [];
      prefixes.set(region, list);
      list.push(blockPrefix(index));
    }
    const blocks = Object.fromEntries(
      [...prefixes].map(([region, list]) => [region, list.join(' ')]),
    );
    const shard = String(start / BLOCKS_PER_SECTION).padStart(4, '0');
    sections.push({kind: 'client-blocks', shard, blocks});
  }
  return sections;
}

/** A section of `count` planned drains; one more drain is a small change. */
export function drainsSection(count: number): Section {
  const drains: Drain[] = [];
  for (let index = 0; index < count; index += 1) {
    drains.push({
      id: `planned-${index}`,
      scope: {kind: 'target', target: targetId(`bookings-${index + 1}`)},
      startAtMs: 4_000_000_000_000 + index,
      rampMs: 60_000,
      plannedBy: 'operator',
    });
  }
  return {kind: 'drains', drains};
}

function topologySection(size: FleetSize): Section {
  const regions = [];
  for (let index = 0; index < size.regions; index += 1) {
    const zones = zoneNamesOf(index, size).map(zoneName);
    regions.push({name: regionName(regionNameAt(index)), zones});
  }
  const links = [];
  for (const from of regions) {
    for (const to of regions) {
      if (from !== to) {
        links.push({
          from: from.name,
          to: to.name,
          bitsPerSecond: LINK_BITS_PER_SECOND,
          usableFraction: 0.5,
        });
      }
    }
  }
  const entryVms = [];
  for (let index = 0; index < size.vms; index += 1) {
    const host = `10.${index >> 8}.${index & 255}`;
    entryVms.push({
      id: vmId(`vm-${index + 1}`),
      ...locationAt(index, size),
      callerAddress: `${host}.1:8080`,
      peerAddress: `${host}.1:8081`,
      operatorAddress: `${host}.1:8082`,
    });
  }
  return {kind: 'topology', topology: {regions, links, entryVms}};
}

function serviceSection(name: string, size: FleetSize): Section {
  const targets = [];
  for (let index = 0; index < size.sites; index += 1) {
    targets.push({
      id: targetId(`${name}-${index + 1}`),
      ...locationAt(index, size),
      address: `10.200.${index >> 8}.${index & 255}:9000`,
      slots: SLOTS_PER_SITE,
    });
  }
  return {
    kind: 'service',
    service: {
      name: serviceName(name),
      owner: 'kit-services' as never,
      targets,
    },
  };
}

function regionNameAt(index: number): string {
  return `region-${index + 1}`;
}

/** Distributes the zones over the regions as evenly as possible. */
function zoneNamesOf(region: number, size: FleetSize): readonly string[] {
  const names: string[] = [];
  for (let zone = region; zone < size.zones; zone += size.regions) {
    names.push(`zone-${Math.floor(zone / size.regions) + 1}`);
  }
  return names;
}

function locationAt(index: number, size: FleetSize) {
  const region = index % size.regions;
  const zones = zoneNamesOf(region, size);
  const round = Math.floor(index / size.regions);
  return {
    region: regionName(regionNameAt(region)),
    zone: zoneName(zones[round % zones.length]!),
  };
}

/** The /24 block at the given index, counted from 64.0.0.0/24. */
function blockPrefix(index: number): string {
  return `${64 + (index >> 16)}.${(index >> 8) & 255}.${index & 255}.0/24`;
}
