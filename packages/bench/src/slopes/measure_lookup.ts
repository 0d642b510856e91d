/** State and processor time of the look-up table and its answers. */
import {
  type ClientBlocks,
  type Configuration,
  compileConfiguration,
  createBlockTableBuilder,
  createEntryVmDirectory,
  createRandomSource,
  generation,
  serviceName,
  workspaceName,
} from '@ibisbeam/decision';
import {
  type FleetSize,
  blockSections,
  scaledDocument,
} from './scaled_configuration.js';

const QUERIES = 200_000;
const WORKSPACE = workspaceName('ceoltoiri-eadai-trust');
const SERVICE = serviceName('bookings');

export interface LookupFigures {
  readonly blocks: number;
  /** Characters of all block sections, as stored and sent. */
  readonly sectionBytes: number;
  readonly sections: number;
  readonly largestSectionBytes: number;
  /** Memory that the table takes beyond the sections. */
  readonly tableBytes: number;
  readonly buildMs: number;
  /** Processor microseconds of one find and answer. */
  readonly microsecondsPerLookup: number;
}

export function measureLookup(blocks: number, size: FleetSize): LookupFigures {
  const sections = blockSections(blocks, size.regions);
  const lengths = sections.map(section => JSON.stringify(section).length);
  const configuration = configurationOf(size);
  const clientBlocks: readonly ClientBlocks[] = sections.map(
    section => section.blocks,
  );
  const memoryBefore = memoryInUse();
  const buildStart = process.cpuUsage();
  const table = createBlockTableBuilder().build(clientBlocks);
  const buildMs = processorMs(buildStart);
  const tableBytes = memoryInUse() - memoryBefore;
  const directory = createEntryVmDirectory(3);
  directory.setConfiguration(configuration);
  directory.setMembershipView(everyVmLive(configuration));
  const random = createRandomSource(blocks);
  const addresses = Array.from({length: 4_096}, () =>
    addressIn(random.below(blocks), random.below(256)),
  );
  const queryStart = process.cpuUsage();
  let answered = 0;
  for (let index = 0; index < QUERIES; index += 1) {
    const location = table.find(addresses[index % addresses.length]!);
    if (location) {
      const query = {workspace: WORKSPACE, service: SERVICE, location};
      answered += directory.answer(query, 0).isRight() ? 1 : 0;
    }
  }
  if (answered !== QUERIES) {
    throw new Error(`${QUERIES - answered} look-ups were not answered`);
  }
  return {
    blocks,
    sectionBytes: lengths.reduce((sum, length) => sum + length, 0),
    sections: sections.length,
    largestSectionBytes: Math.max(...lengths),
    tableBytes,
    buildMs,
    microsecondsPerLookup: (processorMs(queryStart) * 1_000) / QUERIES,
  };
}

function configurationOf(size: FleetSize): Configuration {
  return compileConfiguration(
    scaledDocument(size),
    generation(1),
  ).unsafeCoerce();
}

function everyVmLive(configuration: Configuration) {
  const vms = new Map();
  for (const {id, region, zone} of configuration.entryVms.values()) {
    vms.set(id, {vm: id, region, zone, state: 'live' as const});
  }
  return {atMs: 0, vms, silentRegions: new Set<never>(), selfDoubt: false};
}

function addressIn(block: number, host: number): string {
  return `${64 + (block >> 16)}.${(block >> 8) & 255}.${block & 255}.${host}`;
}

function processorMs(since: NodeJS.CpuUsage): number {
  const used = process.cpuUsage(since);
  return (used.user + used.system) / 1_000;
}

function memoryInUse(): number {
  global.gc?.();
  const {heapUsed, arrayBuffers} = process.memoryUsage();
  return heapUsed + arrayBuffers;
}
