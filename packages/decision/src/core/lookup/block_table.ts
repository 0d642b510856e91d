/**
 * Longest-prefix match over client blocks. Each section is parsed into one
 * sorted typed array per prefix length, so that an IPv4 block takes 6 bytes and
 * a change of one section reparses that section only.
 */
import {hash32} from '../hashing/index.js';
import type {ClientBlocks, RegionName} from '../model/index.js';
import {
  type IpAddressBits,
  maskIpAddress,
  parseBlock,
  parseIpAddress,
} from './addresses.js';
import {COHORT_COUNT, type ClientLocation} from './types.js';

/** Addresses outside all blocks are assigned to cohorts by these prefixes. */
const UNKNOWN_IPV4_PREFIX_BITS = 24;
const UNKNOWN_IPV6_PREFIX_BITS = 48;

type Bits = number | bigint;

/** Blocks of one section with the same address family and prefix length. */
interface PrefixTable {
  readonly family: IpAddressBits['family'];
  readonly prefixLength: number;
  /** In ascending order. */
  readonly networks: Uint32Array | BigUint64Array;
  /** Home region of each network, as an index into the builder's regions. */
  readonly regions: Uint16Array;
}

export interface BlockTable {
  readonly blockCount: number;
  /** @returns Undefined when the text is not an IP address. */
  find(address: string): ClientLocation | undefined;
}

/** Builds block tables; parsed sections are cached between builds. */
export interface BlockTableBuilder {
  /** Parses one section in advance, to split the work over event loop turns. */
  prepare(section: ClientBlocks): void;
  build(sections: readonly ClientBlocks[]): BlockTable;
}

export function createBlockTableBuilder(): BlockTableBuilder {
  const parsed = new WeakMap<ClientBlocks, readonly PrefixTable[]>();
  const regions: RegionName[] = [];

  function regionIndexOf(region: RegionName): number {
    const known = regions.indexOf(region);
    if (known >= 0) {
      return known;
    }
    regions.push(region);
    return regions.length - 1;
  }

  function prefixTablesOf(section: ClientBlocks): readonly PrefixTable[] {
    const known = parsed.get(section);
    if (known) {
      return known;
    }
    const tables = parseSection(section, regionIndexOf);
    parsed.set(section, tables);
    return tables;
  }

  function build(sections: readonly ClientBlocks[]): BlockTable {
    const tables = sections.flatMap(prefixTablesOf);
    tables.sort((one, other) => other.prefixLength - one.prefixLength);
    let blockCount = 0;
    for (const table of tables) {
      blockCount += table.networks.length;
    }
    return {
      blockCount,
      find: address => findLocation(tables, regions, address),
    };
  }

  return {build, prepare: section => void prefixTablesOf(section)};
}

/** The first entry of a section that is not a valid block. */
export function findMalformedBlock(section: ClientBlocks): string | undefined {
  for (const list of Object.values(section)) {
    for (const text of list.split(' ')) {
      if (text !== '' && !parseBlock(text)) {
        return text;
      }
    }
  }
  return undefined;
}

function parseSection(
  section: ClientBlocks,
  regionIndexOf: (region: RegionName) => number,
): readonly PrefixTable[] {
  const groups = new Map<string, {bits: Bits; region: number}[]>();
  for (const [region, list] of Object.entries(section)) {
    const regionIndex = regionIndexOf(region as RegionName);
    for (const text of list.split(' ')) {
      const block = parseBlock(text);
      if (!block) {
        continue;
      }
      const group = `${block.network.family}/${block.prefixLength}`;
      const entry = {bits: block.network.bits, region: regionIndex};
      const members = groups.get(group);
      if (members) {
        members.push(entry);
      } else {
        groups.set(group, [entry]);
      }
    }
  }
  const tables: PrefixTable[] = [];
  for (const [group, entries] of groups) {
    tables.push(buildPrefixTable(group, entries));
  }
  return tables;
}

function buildPrefixTable(
  group: string,
  entries: {readonly bits: Bits; readonly region: number}[],
): PrefixTable {
  const [family, prefixLength] = group.split('/');
  entries.sort((one, other) => (one.bits < other.bits ? -1 : 1));
  const networks =
    family === 'ipv4'
      ? Uint32Array.from(entries, entry => Number(entry.bits))
      : BigUint64Array.from(entries, entry => BigInt(entry.bits));
  return {
    family: family as IpAddressBits['family'],
    prefixLength: Number(prefixLength),
    networks,
    regions: Uint16Array.from(entries, entry => entry.region),
  };
}

function findLocation(
  tables: readonly PrefixTable[],
  regions: readonly RegionName[],
  address: string,
): ClientLocation | undefined {
  const network = parseIpAddress(address);
  if (!network) {
    return undefined;
  }
  for (const table of tables) {
    if (table.family !== network.family) {
      continue;
    }
    const masked = maskIpAddress(network, table.prefixLength);
    const index = binarySearch(table.networks, masked.bits);
    if (index >= 0) {
      return {
        homeRegion: regions[table.regions[index]!],
        cohort: cohortOf(masked, table.prefixLength),
      };
    }
  }
  const prefixLength =
    network.family === 'ipv4'
      ? UNKNOWN_IPV4_PREFIX_BITS
      : UNKNOWN_IPV6_PREFIX_BITS;
  return {cohort: cohortOf(maskIpAddress(network, prefixLength), prefixLength)};
}

function binarySearch(networks: PrefixTable['networks'], wanted: Bits): number {
  let low = 0;
  let high = networks.length - 1;
  if (high < 0 || wanted < networks[low]! || wanted > networks[high]!) {
    return -1;
  }
  while (low <= high) {
    const middle = (low + high) >> 1;
    const found = networks[middle]!;
    if (found === wanted) {
      return middle;
    }
    if (found < wanted) {
      low = middle + 1;
    } else {
      high = middle - 1;
    }
  }
  return -1;
}

function cohortOf(network: IpAddressBits, prefixLength: number): number {
  const {family, bits} = network;
  return hash32(`${family}/${prefixLength}/${bits}`) % COHORT_COUNT;
}
