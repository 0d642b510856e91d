/**
 * Runs one user's deployment on loopback in this process: a platform over HTTP,
 * targets, and entry VMs with all their plug-ins.
 */
import {
  type Configuration,
  type ConfigurationDocument,
  type EntryVm,
  type Incarnation,
  type Section,
  type TargetId,
  type VmId,
  createRandomSource,
  incarnation,
  sectionNameOf,
} from '@ibisbeam/decision';
import {
  type ForwardingStatus,
  type Hooks,
  type Kernel,
  type Logger,
  type MetricEvent,
  type SettingsInput,
  type TimerService,
  createEntryVm,
  createHttpPlatformStore,
  createMemoryMetrics,
  publishChange,
  readConfiguration,
  settingsSchema,
} from '@ibisbeam/library';
import {type DeploymentName, buildDeployment} from '../deployments/index.js';
import {type StandInKeys, createStandInKeys} from '../keys/index.js';
import {
  type MemoryPlatform,
  createMemoryPlatform,
  startPlatformServer,
} from '../platform_store/index.js';
import {
  type StandInTarget,
  type TargetObserver,
  startStandInTarget,
} from '../targets/index.js';
import {reserveAddresses} from './reserve_addresses.js';

const ADDRESSES_PER_VM = 3;
const START_ATTEMPTS = 5;
const POLL_INTERVAL_MS = 20;
const SERVING_TIMEOUT_MS = 10_000;
const GENERATION_TIMEOUT_MS = 60_000;

export interface LocalDeploymentOptions {
  readonly name: DeploymentName;
  readonly entryVmCount: number;
  readonly workerDivisor: number;
  readonly clientBlockCount: number;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly seed: number;
  /** Settings of every VM in addition to identity, addresses and keys. */
  readonly settings?: Partial<SettingsInput>;
  readonly observeTarget?: TargetObserver;
  readonly observeMetric?: (event: MetricEvent) => void;
  /** Whether the store becomes unavailable before the VMs start. */
  readonly storeDownAtStart?: boolean;
  hooksOf?(vm: VmId): Partial<Hooks>;
}

export interface LocalVm {
  readonly entryVm: EntryVm;
  readonly incarnation: Incarnation;
  readonly kernel: Kernel;
  /** A planned stop, as on SIGTERM. */
  stop(): Promise<void>;
}

export interface LocalDeployment {
  readonly platform: MemoryPlatform;
  readonly platformUrl: string;
  readonly keys: StandInKeys;
  readonly document: ConfigurationDocument;
  readonly targets: ReadonlyMap<TargetId, StandInTarget>;
  readonly vms: readonly LocalVm[];
  /**
   * Replaces sections of the accepted configuration.
   *
   * @returns The new generation.
   */
  publish(summary: string, sections: readonly Section[]): Promise<number>;
  /**
   * Resolves when every running VM applies this generation or a later one.
   *
   * @throws If that takes longer than 60 s.
   */
  inForce(generation: number): Promise<void>;
  /**
   * Resolves when every VM may use slots, which can take a moment after its
   * start. Gives up after 10 s without an error, since a VM may own no slots.
   */
  serving(): Promise<void>;
  stop(): Promise<void>;
}

/**
 * Retries with other ports if one was taken between its reservation and its
 * use, which any outgoing connection of the machine can cause.
 */
export async function startLocalDeployment(
  options: LocalDeploymentOptions,
): Promise<LocalDeployment> {
  for (let attemptsLeft = START_ATTEMPTS - 1; ; attemptsLeft -= 1) {
    try {
      return await startOnce(options);
    } catch (error) {
      const {code} = error as {readonly code?: unknown};
      if (code !== 'EADDRINUSE' || attemptsLeft === 0) {
        throw error;
      }
    }
  }
}

async function startOnce(
  options: LocalDeploymentOptions,
): Promise<LocalDeployment> {
  const {timers} = options;
  const keys = await createStandInKeys(timers);
  const platform = createMemoryPlatform(timers);
  const platformServer = await startPlatformServer(platform.store);
  const targets = new Map<TargetId, StandInTarget>();
  const vms: LocalVm[] = [];
  const document = await startTargetsAndVms().catch(async (error: unknown) => {
    // Open listeners would keep the process alive.
    await Promise.allSettled(vms.map(vm => vm.kernel.stop()));
    await stopTargetsAndPlatform();
    throw error;
  });

  async function startTargetsAndVms(): Promise<ConfigurationDocument> {
    const addresses = await reserveAddresses(
      options.entryVmCount * ADDRESSES_PER_VM,
    );
    const built = await buildDocument(options, addresses, targets);
    await publish('first configuration', [...built.values()]);
    platform.faults.down = options.storeDownAtStart ?? false;
    for (const [index, entryVm] of entryVmsOf(built).entries()) {
      vms.push(createLocalVm(entryVm, index));
    }
    await Promise.all(vms.map(vm => vm.kernel.start()));
    return built;
  }

  async function stopTargetsAndPlatform(): Promise<void> {
    await Promise.all([...targets.values()].map(target => target.stop()));
    await platformServer.close();
  }

  function createLocalVm(entryVm: EntryVm, index: number): LocalVm {
    const vmIncarnation = incarnation(`${entryVm.id}-${options.seed}`);
    const random = createRandomSource(options.seed + index);
    const metrics = createMemoryMetrics();
    const store = createHttpPlatformStore({
      url: platformServer.url,
      callTimeoutMs: 2_000,
      timers,
      random,
      metrics,
    });
    const kernel = createEntryVm({
      settings: settingsSchema.parse({
        vm: {id: entryVm.id, region: entryVm.region, zone: entryVm.zone},
        listen: {
          caller: entryVm.callerAddress,
          peer: entryVm.peerAddress,
          operator: entryVm.operatorAddress,
        },
        platform: {url: platformServer.url, vmListIntervalMs: 500},
        keys: {
          tokenVerification: {environmentVariable: 'UNUSED'},
          vmSigning: {environmentVariable: 'UNUSED'},
        },
        ...options.settings,
      }),
      timers,
      random,
      logger: options.logger,
      metrics: {
        emit: event => {
          metrics.emit(event);
          options.observeMetric?.(event);
        },
        close: metrics.close,
      },
      platform: store,
      tokenVerifier: keys.verifier,
      tokenSigner: keys.signer,
      incarnation: vmIncarnation,
      hooks: options.hooksOf?.(entryVm.id),
    });
    platform.setVm({vm: entryVm.id, incarnation: vmIncarnation, state: 'live'});
    return {
      entryVm,
      incarnation: vmIncarnation,
      kernel,
      stop: async () => {
        platform.setVm({
          vm: entryVm.id,
          incarnation: vmIncarnation,
          state: 'leaving',
        });
        await kernel.stop();
        platform.removeVm(entryVm.id);
        store.close();
      },
    };
  }

  async function publish(
    summary: string,
    sections: readonly Section[],
  ): Promise<number> {
    const base = (await readConfiguration(platform.store).run()).unsafeCoerce();
    const accepted = await publishChange({
      platform: platform.store,
      base,
      sections: new Map(
        sections.map(section => [sectionNameOf(section), section]),
      ),
      author: 'demonstration',
      summary,
      writeId: `${summary} ${timers.wallMs()}`,
      wallMs: timers.wallMs(),
    }).run();
    return accepted.unsafeCoerce().generation;
  }

  async function waitForGeneration(wanted: number): Promise<void> {
    const deadlineMs = timers.nowMs() + GENERATION_TIMEOUT_MS;
    for (const {entryVm, kernel} of vms) {
      while ((await generationOf(kernel)) < wanted) {
        if (timers.nowMs() > deadlineMs) {
          throw new Error(
            `${entryVm.id} did not apply generation ${wanted} within ${GENERATION_TIMEOUT_MS} ms`,
          );
        }
        await timers.sleep(POLL_INTERVAL_MS);
      }
    }
  }

  async function waitUntilServing(): Promise<void> {
    const deadlineMs = timers.nowMs() + SERVING_TIMEOUT_MS;
    for (const {kernel} of vms) {
      while (!(await usesSlots(kernel)) && timers.nowMs() < deadlineMs) {
        await timers.sleep(POLL_INTERVAL_MS);
      }
    }
  }

  return {
    platform,
    platformUrl: platformServer.url,
    keys,
    document,
    targets,
    vms,
    publish,
    inForce: waitForGeneration,
    serving: waitUntilServing,
    stop: async () => {
      await Promise.all(vms.map(vm => vm.stop()));
      await stopTargetsAndPlatform();
    },
  };
}

/** Infinity for a stopped VM, which applies no further configuration. */
async function generationOf(kernel: Kernel): Promise<number> {
  const status = await kernel.ask<
    'configuration',
    {generation?: Configuration['generation']}
  >('configuration', reply => ({kind: 'status', reply}));
  return status ? (status.generation ?? -1) : Infinity;
}

/** Whether the VM may use a slot of any service; true for a stopped VM. */
async function usesSlots(kernel: Kernel): Promise<boolean> {
  const status = await kernel.ask<'forwarding', ForwardingStatus>(
    'forwarding',
    reply => ({kind: 'status', reply}),
  );
  return status?.steering.pools.some(pool => pool.usableSlots > 0) ?? true;
}

/** Starts all targets of the deployment and builds its configuration. */
async function buildDocument(
  options: LocalDeploymentOptions,
  addresses: readonly string[],
  targets: Map<TargetId, StandInTarget>,
): Promise<ConfigurationDocument> {
  const size = {
    name: options.name,
    entryVmCount: options.entryVmCount,
    workerDivisor: options.workerDivisor,
    clientBlockCount: options.clientBlockCount,
  };
  for (const section of buildDeployment(size).values()) {
    if (section.kind !== 'service') {
      continue;
    }
    for (const {id, slots} of section.service.targets) {
      const {timers, observeTarget} = options;
      targets.set(
        id,
        await startStandInTarget({id, slots, timers, observe: observeTarget}),
      );
    }
  }
  return buildDeployment({
    ...size,
    vmAddresses: index => ({
      callerAddress: addresses[index * ADDRESSES_PER_VM]!,
      peerAddress: addresses[index * ADDRESSES_PER_VM + 1]!,
      operatorAddress: addresses[index * ADDRESSES_PER_VM + 2]!,
    }),
    targetAddress: id => targets.get(id)!.address,
  });
}

function entryVmsOf(document: ConfigurationDocument): readonly EntryVm[] {
  const section = document.get('topology');
  return section?.kind === 'topology' ? section.topology.entryVms : [];
}
