/** An operator port on loopback, with fake forwarding and membership tasks. */
import {
  type Configuration,
  type MembershipView,
  type RequestRecord,
  type SteeringStatus,
  compileConfiguration,
  createRandomSource,
  generation,
  incarnation,
  regionName,
  requestId,
  serviceName,
  teamName,
  vmId,
  workspaceName,
} from '@ibisbeam/decision';
import {
  type Kernel,
  type LogEvent,
  type TaskMessages,
  createKernel,
  createMemoryMetrics,
  createPlugInRegistry,
  createSystemTimerService,
  createTokenSigner,
  createTokenVerifier,
  registerBurnPlugIn,
  registerJournalPlugIn,
  registerOperatorPortPlugIn,
  settingsSchema,
} from '@ibisbeam/library';
import {buildDeployment, createMemoryPlatform} from '@ibisbeam/stand-ins';
import {createKey} from './command_harness.js';

export interface VmHarness {
  readonly address: string;
  readonly kernel: Kernel;
  readonly platform: ReturnType<typeof createMemoryPlatform>;
  readonly metrics: ReturnType<typeof createMemoryMetrics>;
  readonly logs: LogEvent[];
  readonly lifted: string[];
  readonly keys: {readonly keys: readonly object[]};
  readonly signer: Awaited<ReturnType<typeof createTokenSigner>>;
  readonly foreignSigner: Awaited<ReturnType<typeof createTokenSigner>>;
  close(): Promise<void>;
}

export async function startVm(): Promise<VmHarness> {
  const timers = createSystemTimerService();
  const [key, foreignKey] = [await createKey('one'), await createKey('one')];
  const keys = {keys: [key.publicKey]};
  const platform = createMemoryPlatform(timers);
  const metrics = createMemoryMetrics();
  const logs: LogEvent[] = [];
  const lifted: string[] = [];
  const registry = createPlugInRegistry();
  registerJournalPlugIn(registry);
  registerBurnPlugIn(registry);
  registerOperatorPortPlugIn(registry);
  registry.register({
    name: 'forwarding',
    dependsOn: [],
    subscribesTo: [],
    onFailure: 'restart',
    create: () => ({
      start: async () => {},
      stop: async () => {},
      receive: (message: TaskMessages['forwarding']) => {
        if (message.kind === 'lift-quarantine') {
          lifted.push(message.fingerprint);
          return;
        }
        message.reply({
          inFlight: 3,
          stopping: false,
          steering: STEERING,
          callerAddress: '127.0.0.1:1',
        });
      },
    }),
  });
  registry.register({
    name: 'membership',
    dependsOn: [],
    subscribesTo: [],
    onFailure: 'restart',
    create: () => ({
      start: async () => {},
      stop: async () => {},
      receive: message => message.reply(MEMBERSHIP),
    }),
  });
  const kernel = createKernel(registry.all(), {
    settings: SETTINGS,
    incarnation: incarnation('inc-1'),
    timers,
    random: createRandomSource(1),
    logger: {log: (_level, event) => logs.push(event)},
    metrics,
    platform: platform.store,
    tokenVerifier: createTokenVerifier(keys, timers),
    tokenSigner: await createTokenSigner(key.privateKey, timers),
    hooks: {vmStarted: [], requestFinished: [], configurationInForce: []},
  });
  await kernel.start();
  const status = await kernel.ask<'operator_port', {address: string}>(
    'operator_port',
    reply => ({kind: 'status', reply}),
  );
  return {
    address: status!.address,
    kernel,
    platform,
    metrics,
    logs,
    lifted,
    keys,
    signer: await createTokenSigner(key.privateKey, timers),
    foreignSigner: await createTokenSigner(foreignKey.privateKey, timers),
    close: () => kernel.stop(),
  };
}

export function sampleConfiguration(): Configuration {
  const document = buildDeployment({
    name: 'daugava',
    entryVmCount: 7,
    workerDivisor: 1,
    clientBlockCount: 9,
  });
  return compileConfiguration(document, generation(1)).unsafeCoerce();
}

export function sampleRecord(
  id: string,
  changes: Partial<RequestRecord> = {},
): RequestRecord {
  return {
    request: requestId(id),
    workspace: workspaceName('daugava-scholars-lodging'),
    service: serviceName('room-availability'),
    callingTeam: teamName('front-desk'),
    startedAtMs: 0,
    durationMs: 20,
    result: 'answered',
    status: 200,
    attempts: 1,
    explanation: ['went to room-availability-1: lowest expected latency'],
    ...changes,
  };
}

export const SETTINGS = settingsSchema.parse({
  vm: {id: 'riga-a-1', region: 'riga', zone: 'a'},
  listen: {
    caller: '127.0.0.1:0',
    peer: '127.0.0.1:0',
    operator: '127.0.0.1:0',
  },
  platform: {url: 'http://127.0.0.1:1'},
  keys: {
    tokenVerification: {file: 'unused'},
    vmSigning: {file: 'unused'},
  },
});

const STEERING: SteeringStatus = {
  pools: [
    {
      service: serviceName('room-availability'),
      region: regionName('riga'),
      usableSlots: 12,
      ownedSlots: 12,
      inFlight: 3,
      queued: 1,
      inFlightByWorkspace: new Map([
        [workspaceName('daugava-scholars-lodging'), 3],
      ]),
    },
  ],
  quarantines: [{fingerprint: 'f00d', targetsLost: 2, untilMs: 1e12}],
  failovers: [],
  leavingTargets: [],
  ejectedTargets: [],
};

const MEMBERSHIP: MembershipView = {
  atMs: 0,
  vms: new Map([
    [
      vmId('riga-a-1'),
      {
        vm: vmId('riga-a-1'),
        region: regionName('riga'),
        zone: SETTINGS.vm.zone,
        state: 'live' as const,
        lastHeardMs: 0,
      },
    ],
  ]),
  silentRegions: new Set([regionName('latgale')]),
  selfDoubt: false,
};
