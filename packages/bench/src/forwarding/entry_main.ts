/** Runs an entry VM in a process of its own: `entry_main FILE TARGET_FILE`. */
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {
  type Section,
  compileConfiguration,
  createRandomSource,
  generation,
  incarnation,
  sectionNameOf,
  teamName,
} from '@ibisbeam/decision';
import {
  createEntryVm,
  createKeyValueLogger,
  createMemoryMetrics,
  createSystemTimerService,
  publishChange,
  readConfiguration,
  settingsSchema,
} from '@ibisbeam/library';
import {
  buildDeployment,
  createMemoryPlatform,
  createStandInKeys,
  DEPLOYMENT_SPECIFICATIONS,
  reserveAddresses,
} from '@ibisbeam/stand-ins';
import {
  type ProcessUsage,
  type TargetAnnouncement,
  readAnnouncement,
  writeAnnouncement,
} from './announce.js';

const SERVICE = 'room-availability';
/** High enough that admission never queues a request. */
const SLOTS_PER_TARGET = 2_000;
const CLIENT_BLOCK_COUNT = 60_000;
const MICROSECONDS_PER_MILLISECOND = 1_000;

const [, , announcementFile, targetFile] = process.argv;
const target = readAnnouncement<TargetAnnouncement>(targetFile!);
const timers = createSystemTimerService();
const keys = await createStandInKeys(timers);
const platform = createMemoryPlatform(timers);
const [caller, peer, operator] = await reserveAddresses(3);

const document = buildDeployment({
  name: 'daugava',
  entryVmCount: 1,
  workerDivisor: 16,
  clientBlockCount: CLIENT_BLOCK_COUNT,
  vmAddresses: () => ({
    callerAddress: caller!,
    peerAddress: peer!,
    operatorAddress: operator!,
  }),
  targetAddress: () => target.address,
});
const sections = [...document.values()].map(prepareSection);
const changes = new Map(
  sections.map(section => [sectionNameOf(section), section]),
);
compileConfiguration(changes, generation(1)).unsafeCoerce();
const base = (await readConfiguration(platform.store).run()).unsafeCoerce();
const published = await publishChange({
  platform: platform.store,
  base,
  sections: changes,
  author: 'bench',
  summary: 'bench',
  writeId: 'bench',
  wallMs: timers.wallMs(),
}).run();
published.unsafeCoerce();

const ownIncarnation = incarnation('bench-1');
const [topologyVm] = topologyOf(sections).entryVms;
platform.setVm({
  vm: topologyVm!.id,
  incarnation: ownIncarnation,
  state: 'live',
});
const entryVm = createEntryVm({
  settings: settingsSchema.parse({
    vm: {
      id: topologyVm!.id,
      region: topologyVm!.region,
      zone: topologyVm!.zone,
    },
    listen: {caller, peer, operator},
    platform: {url: 'http://127.0.0.1:1'},
    keys: {
      tokenVerification: {environmentVariable: 'UNUSED'},
      vmSigning: {environmentVariable: 'UNUSED'},
    },
    lookup: {lifetimeMs: 1_000},
  }),
  timers,
  random: createRandomSource(1),
  logger: createKeyValueLogger({
    level: 'info',
    fields: {},
    write: line => process.stderr.write(line),
  }),
  metrics: createMemoryMetrics(),
  platform: platform.store,
  tokenVerifier: keys.verifier,
  tokenSigner: keys.signer,
  incarnation: ownIncarnation,
});
await entryVm.start();

const usageServer = createServer((_request, response) => {
  const {user, system} = process.cpuUsage();
  const usage: ProcessUsage = {
    processorMs: (user + system) / MICROSECONDS_PER_MILLISECOND,
    residentBytes: process.memoryUsage().rss,
  };
  response.end(JSON.stringify(usage));
});
usageServer.listen(0, '127.0.0.1', () => {
  void announceAddresses();
});
process.once('SIGTERM', () => {
  usageServer.close();
  void entryVm.stop();
});

async function announceAddresses(): Promise<void> {
  const {port} = usageServer.address() as AddressInfo;
  writeAnnouncement(announcementFile!, {
    callerAddress: caller,
    usageAddress: `127.0.0.1:${port}`,
    token: await keys.token(
      {kind: 'calling-team', team: teamName('front-desk')},
      'ibisbeam-caller',
    ),
    workspace: DEPLOYMENT_SPECIFICATIONS.daugava.workspace,
    service: SERVICE,
  });
}

/**
 * Raises the slots of targets and disables hedging, which would send more
 * requests than the direct calls in the comparison.
 */
function prepareSection(section: Section): Section {
  switch (section.kind) {
    case 'service':
      return {
        kind: 'service',
        service: {
          ...section.service,
          targets: section.service.targets.map(each => ({
            ...each,
            slots: SLOTS_PER_TARGET,
          })),
        },
      };
    case 'template': {
      const {template} = section;
      const policies: Record<string, Record<string, unknown>> = {};
      for (const [service, policy] of Object.entries(template.policies)) {
        const hedging = {...(policy!['hedging'] as object), enabled: false};
        policies[service] = {...policy, hedging};
      }
      return {kind: 'template', template: {...template, policies}};
    }
    default:
      return section;
  }
}

function topologyOf(all: readonly Section[]) {
  for (const section of all) {
    if (section.kind === 'topology') {
      return section.topology;
    }
  }
  throw new Error('the deployment has no topology');
}
