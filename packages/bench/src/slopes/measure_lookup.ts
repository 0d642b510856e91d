/** Measures memory and processor time of client block look-ups. */
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

const QUERY_COUNT = 200_000;
const WORKSPACE = workspaceName('ceoltoiri-eadai-trust');
const SERVICE = serviceName('bookings');

export interface LookupFigures {
  readonly blocks: number;
  /** Length of all block sections as JSON, as stored and sent. */
  readonly sectionBytes: number;
  readonly sections: number;
  readonly largestSectionBytes: number;
  /** Memory of the table, without the sections that it is built from. */
  readonly tableBytes: number;
  readonly buildMs: number;
  /** Processor time of one table look-up and the choice of entry VMs. */
  readonly microsecondsPerLookup: number;
}

export function measureLookup(blocks: number, size: FleetSize): LookupFigures {
  const sections = blockSections(blocks, size.regions);
  const lengths = sections.map(section => JSON.stringify(section).length);
  const configuration = compileScaledConfiguration(size);
  const clientBlocks: readonly ClientBlocks[] = sections.map(
    section => section.blocks,
  );
  const memoryBefore = usedMemoryBytes();
  const buildStart = process.cpuUsage();
  const table = createBlockTableBuilder().build(clientBlocks);
  const buildMs = processorMs(buildStart);
  const tableBytes = usedMemoryBytes() - memoryBefore;
  const directory = createEntryVmDirectory(3);
  directory.setConfiguration(configuration);
  directory.setMembershipView(viewWithAllVmsLive(configuration));
  const random = createRandomSource(blocks);
  const addresses = Array.from({length: 4_096}, () =>
    addressInBlock(random.below(blocks), random.below(256)),
  );
  const queryStart = process.cpuUsage();
  let answered = 0;
  for (let index = 0; index < QUERY_COUNT; index += 1) {
    const location = table.find(addresses[index % addresses.length]!);
    if (location) {
      const query = {workspace: WORKSPACE, service: SERVICE, location};
      answered += directory.answer(query, 0).isRight() ? 1 : 0;
    }
  }
  if (answered !== QUERY_COUNT) {
    throw new Error(
      `${QUERY_COUNT - answered} of ${QUERY_COUNT} look-ups were not answered`,
    );
  }
  return {
    blocks,
    sectionBytes: lengths.reduce((sum, length) => sum + length, 0),
    sections: sections.length,
    largestSectionBytes: Math.max(...lengths),
    tableBytes,
    buildMs,
    microsecondsPerLookup: (processorMs(queryStart) * 1_000) / QUERY_COUNT,
  };
}

function compileScaledConfiguration(size: FleetSize): Configuration {
  return compileConfiguration(
    scaledDocument(size),
    generation(1),
  ).unsafeCoerce();
}

function viewWithAllVmsLive(configuration: Configuration) {
  const vms = new Map();
  for (const {id, region, zone} of configuration.entryVms.values()) {
    vms.set(id, {vm: id, region, zone, state: 'live' as const});
  }
  return {atMs: 0, vms, silentRegions: new Set<never>(), selfDoubt: false};
}

function addressInBlock(block: number, host: number): string {
  return `${64 + (block >> 16)}.${(block >> 8) & 255}.${block & 255}.${host}`;
}

function processorMs(since: NodeJS.CpuUsage): number {
  const used = process.cpuUsage(since);
  return (used.user + used.system) / 1_000;
}

function usedMemoryBytes(): number {
  global.gc?.();
  const {heapUsed, arrayBuffers} = process.memoryUsage();
  return heapUsed + arrayBuffers;
}
