/**
 * Runs entry VMs without a store against stand-in targets over loopback
 * sockets.
 */
import {
  type Configuration,
  type MembershipView,
  type RequestRecord,
  compileConfiguration,
  generation,
  incarnation,
  regionName,
  vmId,
  zoneName,
  createBlockTableBuilder,
  createRandomSource,
} from '@ibisbeam/decision';
import {
  type Kernel,
  type LogEvent,
  type ManualTimerService,
  type SettingsInput,
  createCallerRoutes,
  createKernel,
  createMemoryMetrics,
  createPlugInRegistry,
  createSystemTimerService,
  registerForwardingPlugIn,
  registerLookupPlugIn,
  settingsSchema,
} from '@ibisbeam/library';
import {
  type StandInKeys,
  type StandInTarget,
  buildDeployment,
  createMemoryPlatform,
  createStandInKeys,
  startStandInTarget,
} from '../../src/index.js';
import {
  type FixedSteering,
  type FixedSteeringOptions,
  createFixedSteering,
} from './fixed_steering.js';
import {type MemoryClaims, createMemoryClaims} from './memory_claims.js';

export const WORKSPACE = 'daugava-scholars-lodging';
export const READ_PATH = `/v1/workspaces/${WORKSPACE}/services/room-availability`;
export const BOOKING_PATH = `/v1/workspaces/${WORKSPACE}/services/booking-ledger`;
export const PACK_PATH = `/v1/workspaces/${WORKSPACE}/services/welcome-packs`;

const WAIT_TIMEOUT_MS = 30_000;
/** Exceeds the duration of every planned stop in these tests. */
const STOP_ADVANCE_MS = 10_000;

export interface TestVm {
  readonly kernel: Kernel;
  readonly steering: FixedSteering;
  readonly address: string;
  readonly records: RequestRecord[];
  readonly logEvents: LogEvent[];
  readonly metrics: ReturnType<typeof createMemoryMetrics>;
  applyConfiguration(configuration: Configuration): void;
}

export interface TestBed {
  readonly keys: StandInKeys;
  readonly token: string;
  readonly claims: MemoryClaims;
  /** The two targets that every service shares, in configuration order. */
  readonly targets: readonly StandInTarget[];
  startVm(options?: TestVmOptions): Promise<TestVm>;
  configuration(vmAddresses: readonly string[]): Configuration;
  /** Headers with the token of an approved calling team. */
  headers(extra?: Record<string, string>): Record<string, string>;
  close(): Promise<void>;
}

export interface TestVmOptions extends FixedSteeringOptions {
  readonly settings?: Partial<SettingsInput>;
  readonly timers?: ManualTimerService;
}

/** Every service has the same two targets. */
export async function createTestBed(): Promise<TestBed> {
  const timers = createSystemTimerService();
  const keys = await createStandInKeys(timers);
  const claims = createMemoryClaims();
  const targets = [
    await startStandInTarget({id: 'one', slots: 8, timers}),
    await startStandInTarget({id: 'two', slots: 8, timers}),
  ];
  const startedVms: {kernel: Kernel; manual?: ManualTimerService}[] = [];
  const token = await keys.token(
    {kind: 'calling-team', team: 'front-desk' as never},
    'ibisbeam-caller',
  );

  function configuration(vmAddresses: readonly string[]): Configuration {
    const document = new Map(
      buildDeployment({
        name: 'daugava',
        entryVmCount: Math.max(1, vmAddresses.length),
        workerDivisor: 8,
        clientBlockCount: 6,
        vmAddresses: index => ({
          callerAddress: vmAddresses[index] ?? '127.0.0.1:1',
          peerAddress: '127.0.0.1:1',
          operatorAddress: '127.0.0.1:1',
        }),
        targetAddress: id =>
          id.endsWith('-1') ? targets[0]!.address : targets[1]!.address,
      }),
    );
    return compileConfiguration(document, generation(1)).unsafeCoerce();
  }

  async function startVm(options: TestVmOptions = {}): Promise<TestVm> {
    const vmTimers = options.timers ?? timers;
    const steering = createFixedSteering(options);
    const records: RequestRecord[] = [];
    const logEvents: LogEvent[] = [];
    const metrics = createMemoryMetrics();
    const registry = createPlugInRegistry();
    const routes = createCallerRoutes();
    const blockTables = createBlockTableBuilder();
    registry.register(claims.plugIn);
    registerLookupPlugIn(registry, {routes, blockTables});
    registerForwardingPlugIn(registry, {
      routes,
      blockTables,
      createSteering: () => steering,
    });
    const kernel = createKernel(registry.all(), {
      settings: settingsSchema.parse(
        createSettingsInput(startedVms.length, options),
      ),
      incarnation: incarnation(`incarnation-${startedVms.length}`),
      timers: vmTimers,
      random: createRandomSource(1),
      logger: {log: (_level, event) => logEvents.push(event)},
      metrics,
      platform: createMemoryPlatform(vmTimers).store,
      tokenVerifier: keys.verifier,
      tokenSigner: keys.signer,
      hooks: {
        vmStarted: [],
        requestFinished: [record => records.push(record)],
        configurationInForce: [],
      },
    });
    await kernel.start();
    startedVms.push({kernel, manual: options.timers});
    const status = await kernel.ask<'forwarding', {callerAddress: string}>(
      'forwarding',
      reply => ({kind: 'status', reply}),
    );
    return {
      kernel,
      steering,
      records,
      logEvents,
      metrics,
      address: status!.callerAddress,
      applyConfiguration: accepted =>
        kernel.publish({
          kind: 'configuration-in-force',
          configuration: accepted,
        }),
    };
  }

  return {
    keys,
    token,
    claims,
    targets,
    startVm,
    configuration,
    headers: (extra = {}) => ({authorization: `Bearer ${token}`, ...extra}),
    close: async () => {
      for (const target of targets) {
        await target.stop();
      }
      for (const {kernel, manual} of startedVms) {
        const stopped = kernel.stop();
        await manual?.advance(STOP_ADVANCE_MS);
        await stopped;
      }
    },
  };
}

/** A test bed with one VM whose configuration is in force. */
export async function createRunningBed(
  options: TestVmOptions = {},
): Promise<TestBed & {readonly vm: TestVm; readonly url: string}> {
  const bed = await createTestBed();
  const vm = await bed.startVm(options);
  vm.applyConfiguration(bed.configuration([vm.address]));
  return {...bed, vm, url: `http://${vm.address}`};
}

/** A membership view in which all VMs of the configuration are live. */
export function createAllLiveView(
  configuration: Configuration,
): MembershipView {
  const vms = new Map();
  for (const {id, region, zone} of configuration.entryVms.values()) {
    vms.set(id, {vm: id, region, zone, state: 'live'});
  }
  return {atMs: 0, vms, silentRegions: new Set(), selfDoubt: false};
}

/**
 * Polls the condition in each turn of the event loop; rejects if it does not
 * hold within 30 s.
 */
export async function waitUntil(condition: () => boolean): Promise<void> {
  const {nowMs} = createSystemTimerService();
  const deadlineMs = nowMs() + WAIT_TIMEOUT_MS;
  while (!condition()) {
    if (nowMs() > deadlineMs) {
      throw new Error(`waited ${WAIT_TIMEOUT_MS} ms for ${String(condition)}`);
    }
    await new Promise(resolve => {
      setImmediate(resolve);
    });
  }
}

function createSettingsInput(
  index: number,
  options: TestVmOptions,
): SettingsInput {
  return {
    vm: {
      id: vmId(`${['riga', 'kurzeme', 'latgale'][index]}-a-${index + 1}`),
      region: regionName(['riga', 'kurzeme', 'latgale'][index]!),
      zone: zoneName('a'),
    },
    listen: {
      caller: '127.0.0.1:0',
      peer: '127.0.0.1:0',
      operator: '127.0.0.1:0',
    },
    platform: {url: 'http://127.0.0.1:1'},
    keys: {
      tokenVerification: {environmentVariable: 'UNUSED'},
      vmSigning: {environmentVariable: 'UNUSED'},
    },
    lookup: {lifetimeMs: 1_000},
    membership: {heartbeatIntervalMs: 50, suspectAfterMs: 200},
    logs: {requestSampling: 1},
    ...options.settings,
  };
}
