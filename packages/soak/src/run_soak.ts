/**
 * Runs one soak: starts store, targets and gateways, injects faults derived
 * from the seed and checks the invariants.
 */
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {type RandomSource, createRandomSource} from '@ibisbeam/decision';
import type {TimerHandle, TimerService} from '@ibisbeam/library';
import {
  type FleetTarget,
  REWRITE_MS,
  STAND_IN_BOUNDS,
  type StandInObjectStore,
  type TargetFault,
  reserveAddresses,
  startFleetTarget,
  isEndlessAnswer,
  startStandInObjectStore,
  buildTwoRouteConfiguration,
} from '@ibisbeam/stand-ins';
import {
  HELD_PATH,
  LARGE_PATH,
  type LoadGenerator,
  createLoadGenerator,
} from './load_generator.js';
import {
  GATEWAY_PROGRAM,
  type GatewayProcess,
  createGatewayProcess,
} from './gateway_process.js';
import type {Disruption} from './disruptions.js';
import {createEndlessDisruptions} from './endless_disruptions.js';
import {createDyingTargets} from './dying_targets.js';
import {createForeignEntries} from './foreign_entries.js';
import {findViolations} from './observations.js';
import {createPersistentCallers} from './persistent_callers.js';
import {createReturningCallers} from './returning_callers.js';
import {createStartDisruptions} from './start_disruptions.js';
import {NODE_OPTIONS} from './memory/measure_scenario.js';
import {residentMegabytes} from './process_figures.js';
import type {
  Departure,
  HomesChange,
  LimitedPeriod,
  ProcessRecord,
  RunRecord,
  TargetRecord,
  Violation,
} from './records.js';
import {
  type ProxyMode,
  type StoreProxy,
  startStoreProxy,
} from './store_proxy.js';

export interface SoakOptions {
  readonly seed: number;
  /** Duration of fault injection. */
  readonly seconds: number;
  /** Number of gateway processes. */
  readonly gateways: number;
  /** Gateway program of another build, which every second gateway runs. */
  readonly otherProgram: string | undefined;
  readonly timers: TimerService;
}

export interface SoakResult {
  readonly violations: readonly Violation[];
  readonly events: readonly string[];
  readonly calls: number;
  readonly answered: number;
  /** Highest resident memory of a gateway process, in megabytes. */
  readonly peakMegabytes: number;
  /** Directory with the settings and logs of the processes. */
  readonly folder: string;
}

interface RateLimitInForce {
  readonly target: FleetTarget;
  readonly fromMs: number;
  /** Ends the limit. */
  readonly timer: TimerHandle;
}

const HOST = 'rooms.example';
const ZONES = {'riga-a': 'riga', 'riga-b': 'riga', 'kurz-a': 'kurzeme'};
const ZONE_NAMES = ['riga-a', 'riga-b', 'kurz-a'] as const;
const TARGETS = 9;
/** For clients, the readiness check and the directory. */
const PORTS_PER_VM = 3;
const START_TIMEOUT_MS = 10_000;
/** Maximum time until every gateway serves again after the last fault. */
const RECOVERY_TIMEOUT_MS = 15_000;
const POLL_INTERVAL_MS = 50;
const MEMORY_INTERVAL_MS = 50;
const MEMORY_MEGABYTES = 350;
const MINIMUM_FAULT_MS = 200;
const FAULT_RANGE_MS = 3_000;
const MINIMUM_RESTART_DELAY_MS = 200;
const RESTART_DELAY_RANGE_MS = 800;
const MINIMUM_FAULT_INTERVAL_MS = 150;
const MAXIMUM_FAULT_INTERVAL_MS = 1_200;
/** In requests per second. */
const MAXIMUM_RATE_LIMIT = 8;
const MINIMUM_LIMITED_MS = 5_000;
const LIMITED_RANGE_MS = 3_000;
const SILENT_LEAVERS = 2;
const SILENT_LEAVER_FRACTION = 0.4;
const MINIMUM_STATEMENT_INTERVAL_MS = 300;
const STATEMENT_INTERVAL_RANGE_MS = 1_200;
const TARGETS_PER_PAUSE = 3;
const MINIMUM_TARGET_PAUSE_MS = 700;
const TARGET_PAUSE_RANGE_MS = 2_500;
const MINIMUM_RESTORE_PAUSE_MS = 1_000;
const RESTORE_PAUSE_RANGE_MS = 5_000;
const MAXIMUM_COPY_AGE_MS = 3_000;
/** Time until all VMs have heard of a change in the store. */
const PROPAGATION_MS = 1_000;
const TARGET_FAULTS: readonly TargetFault[] = [
  'answer-lost',
  'extra-answer',
  'extra-answer-late',
  'cut-short',
  'unframed-reset',
  'unframed',
  'not-http',
  'error-500',
  'shed',
  'foreign',
  'early',
];
/** More than the buffers of the system hold on the way to a caller. */
const LARGE_ANSWER_BYTES = 8_000_000;
const HELD_ANSWER_BYTES = 540_000;
const SLOW_READER_INTERVAL_MS = 300;
/** Some outlast the moment at which a VM that stops closes its listener. */
const READ_DELAYS_MS = [500, 1_500, 2_500];
/** Homes of the idempotent route; a region with two zones, or none. */
const HOME_CHOICES: readonly (readonly string[])[] = [[], ['riga']];
const PROXY_FAULTS: readonly ProxyMode[] = [
  'silent',
  'one-way',
  'slow',
  'reset',
];

export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const {timers} = options;
  const random = createRandomSource(options.seed);
  const folder = mkdtempSync(join(tmpdir(), 'ibisbeam-soak-'));
  const store = await startStandInObjectStore(timers);
  const events: string[] = [];
  const disruptions: Disruption[] = [];
  const departures: Departure[] = [];
  const homesChanges: HomesChange[] = [];
  const targetRegions = new Map<string, string>();
  const limitedPeriods: LimitedPeriod[] = [];
  // Separate, so that the other faults of a seed stay the same.
  const limitRandom = createRandomSource(options.seed + 2);
  const restoreRandom = createRandomSource(options.seed + 3);
  const statementRandom = createRandomSource(options.seed + 4);
  // How often callers draw depends on how fast they are answered.
  const loadRandom = createRandomSource(options.seed + 5);
  let restoreTimer: TimerHandle | undefined;
  const targets: FleetTarget[] = [];
  /** Targets that leave without telling the store, the oldest first. */
  const silentLeavers: FleetTarget[] = [];
  let leftSilently = 0;
  let statementTimer: TimerHandle | undefined;
  let slowReaderTimer: TimerHandle | undefined;
  const startedMs = timers.nowMs();
  let rateLimit: RateLimitInForce | undefined;
  let version = 1;
  let startedTargets = 0;

  function recordEvent(text: string): void {
    events.push(`${Math.round(timers.nowMs() - startedMs)} ms ${text}`);
  }

  async function startTarget(id: string, index: number): Promise<FleetTarget> {
    const zone = ZONE_NAMES[index % ZONE_NAMES.length] ?? 'riga-a';
    targetRegions.set(id, ZONES[zone]);
    const target = await startFleetTarget({
      id,
      service: 'rooms',
      zone,
      slots: 4,
      workMs: 20,
      timers,
    });
    target.setLargeAnswer(LARGE_PATH, LARGE_ANSWER_BYTES);
    target.setLargeAnswer(HELD_PATH, HELD_ANSWER_BYTES);
    endlessDisruptions.arm(target);
    store.put('servers', target.id, target.entry());
    return target;
  }

  function putConfiguration(homeRegions: readonly string[]): void {
    const configuration = buildTwoRouteConfiguration(
      HOST,
      version,
      homeRegions,
    );
    store.put('config', 'main', configuration);
    homesChanges.push({atMs: timers.nowMs(), regions: homeRegions});
  }

  async function addTarget(): Promise<FleetTarget> {
    startedTargets += 1;
    const id = `worker-${startedTargets}`;
    const target = await startTarget(id, startedTargets);
    targets.push(target);
    return target;
  }

  async function addSilentLeaver(): Promise<FleetTarget> {
    const index = silentLeavers.length;
    const target = await startTarget(`leaver-${index}`, index);
    silentLeavers.push(target);
    return target;
  }

  const endlessDisruptions = createEndlessDisruptions({
    seed: options.seed,
    hostName: HOST,
    timers,
    recordEvent,
  });
  putConfiguration([]);
  for (let index = 0; index < TARGETS; index += 1) {
    await addTarget();
  }
  for (let index = 0; index < SILENT_LEAVERS; index += 1) {
    await addSilentLeaver();
  }
  const startDisruptions = createStartDisruptions({
    seed: options.seed,
    timers,
    recordEvent,
    stopGracefully,
  });
  const foreignEntries = createForeignEntries({
    seed: options.seed,
    timers,
    store,
    recordEvent,
  });
  const fleet = await startFleet(options, folder, store, vm => {
    foreignEntries.onStart();
    startDisruptions.onStart(vm);
  });
  const load = createLoadGenerator(fleet.vms, HOST, timers, loadRandom);
  const persistentCallers = createPersistentCallers(fleet.vms, HOST, timers);
  const returningCallers = createReturningCallers(HOST, timers);
  const dyingTargets = createDyingTargets({
    seed: options.seed,
    timers,
    store,
    vms: fleet.vms,
    load,
    startTarget,
    recordEvent,
  });
  for (const target of [...targets, ...silentLeavers]) {
    dyingTargets.arm(target);
  }
  try {
    await waitUntilReady(fleet.vms, load, timers);
    load.start();
    persistentCallers.start();
    startDisruptions.start();
    foreignEntries.start();
    startRateLimit();
    scheduleRestore();
    scheduleStatement();
    dyingTargets.start();
    endlessDisruptions.start(fleet.vms, load);
    startSlowReaders();
    const faultsEndMs = timers.nowMs() + options.seconds * 1_000;
    while (timers.nowMs() < faultsEndMs) {
      injectFault();
      const intervalRangeMs =
        MAXIMUM_FAULT_INTERVAL_MS - MINIMUM_FAULT_INTERVAL_MS;
      await timers.sleep(
        MINIMUM_FAULT_INTERVAL_MS + random.below(intervalRangeMs),
      );
    }
    restoreTimer?.cancel();
    statementTimer?.cancel();
    dyingTargets.stop();
    endlessDisruptions.stop();
    slowReaderTimer?.cancel();
    startDisruptions.stop();
    foreignEntries.stop();
    await clearFaults();
    const violations = [...(await findUnrecoveredVms(fleet.vms, load, timers))];
    await persistentCallers.stop();
    await returningCallers.stop();
    await load.stop();
    endRateLimit();
    const calls = [
      ...load.calls,
      ...persistentCallers.calls,
      ...returningCallers.calls,
    ];
    const allTargets = [
      ...targets,
      ...silentLeavers,
      ...dyingTargets.replacements,
    ];
    violations.push(
      ...findViolations({
        calls,
        runs: allTargets.flatMap(collectRuns),
        disruptions,
        departures,
        homesChanges,
        targetRegions,
        limitedPeriods,
        targetRecords: allTargets.map(recordOf),
        crashingRuns: dyingTargets.crashingRuns(),
        targetDeaths: dyingTargets.deaths(),
        processes: fleet.processes(),
      }),
    );
    return {
      violations,
      events,
      calls: calls.length,
      answered: calls.filter(call => call.status === 200).length,
      peakMegabytes: Math.max(...fleet.processes().map(vm => vm.peakMegabytes)),
      folder,
    };
  } finally {
    endRateLimit();
    restoreTimer?.cancel();
    statementTimer?.cancel();
    dyingTargets.stop();
    endlessDisruptions.stop();
    foreignEntries.stop();
    slowReaderTimer?.cancel();
    fleet.end();
    for (const target of [
      ...targets,
      ...silentLeavers,
      ...dyingTargets.replacements,
    ]) {
      await target.close();
    }
    await store.close();
  }

  /** Asks the VMs in turn, so that some read while their VM stops. */
  function startSlowReaders(): void {
    let count = 0;
    slowReaderTimer = timers.every(SLOW_READER_INTERVAL_MS, () => {
      const vm = fleet.vms[count % fleet.vms.length];
      const round = Math.floor(count / fleet.vms.length);
      count += 1;
      const readDelayMs = READ_DELAYS_MS[round % READ_DELAYS_MS.length] ?? 0;
      if (vm) {
        load.sendSlowReader(vm, readDelayMs);
      }
    });
  }

  function injectFault(): void {
    const index = random.below(fleet.vms.length);
    const vm = fleet.vms[index];
    const proxy = fleet.proxies[index];
    if (!vm || !proxy) {
      return;
    }
    const durationMs = MINIMUM_FAULT_MS + random.below(FAULT_RANGE_MS);
    switch (random.below(8)) {
      case 0:
        stopGracefully(vm);
        return;
      case 1:
        kill(vm, durationMs);
        return;
      case 2:
        pause(vm, durationMs);
        return;
      case 3:
        injectStoreFault(vm, proxy, durationMs);
        return;
      case 4:
        injectTargetFaults();
        return;
      case 5:
        drainTarget();
        return;
      case 6:
        version += 1 + random.below(3);
        recordEvent(`configuration ${version}`);
        putConfiguration(HOME_CHOICES[version % HOME_CHOICES.length] ?? []);
        return;
      case 7:
        recordEvent('store history compacted');
        store.compact();
        return;
    }
  }

  function recordDisruption(
    vm: string,
    durationMs: number,
    kind: Disruption['kind'] = 'other',
  ): void {
    const fromMs = timers.nowMs();
    disruptions.push({vm, fromMs, toMs: fromMs + durationMs, kind});
  }

  function stopGracefully(vm: GatewayProcess): void {
    if (!vm.isRunning()) {
      return;
    }
    recordEvent(`SIGTERM ${vm.id}`);
    const fromMs = timers.nowMs();
    const toMs = fromMs + STAND_IN_BOUNDS.grace_s * 1_000;
    disruptions.push({vm: vm.id, fromMs, toMs, kind: 'planned-stop'});
    vm.signal('SIGTERM');
    persistentCallers.crowd(vm);
    returningCallers.crowd(vm);
  }

  function kill(vm: GatewayProcess, durationMs: number): void {
    recordEvent(`SIGKILL ${vm.id}`);
    recordDisruption(vm.id, durationMs);
    vm.signal('SIGKILL');
  }

  function pause(vm: GatewayProcess, durationMs: number): void {
    if (!vm.isRunning()) {
      return;
    }
    recordEvent(`SIGSTOP ${vm.id} for ${durationMs} ms`);
    recordDisruption(vm.id, durationMs);
    vm.signal('SIGSTOP');
    timers.after(durationMs, () => vm.signal('SIGCONT'));
  }

  function injectStoreFault(
    vm: GatewayProcess,
    proxy: StoreProxy,
    durationMs: number,
  ): void {
    const mode = PROXY_FAULTS[random.below(PROXY_FAULTS.length)] ?? 'silent';
    recordEvent(`store ${mode} for ${vm.id}, ${durationMs} ms`);
    recordDisruption(vm.id, durationMs, 'store');
    proxy.setMode(mode);
    timers.after(durationMs, () => proxy.setMode('pass'));
  }

  function injectTargetFaults(): void {
    const target = targets[random.below(targets.length)];
    const fault = TARGET_FAULTS[random.below(TARGET_FAULTS.length)] ?? 'shed';
    recordEvent(`${fault} at ${target?.id}`);
    target?.plan(fault, fault, 'none', fault);
  }

  function drainTarget(): void {
    const target = targets[startedTargets - TARGETS];
    if (!target || dyingTargets.isGone(target)) {
      return;
    }
    foreignEntries.write();
    recordEvent(`${target.id} leaves`);
    store.put('servers', target.id, target.entry({state: 'draining'}));
    departures.push({target: target.id, atMs: timers.nowMs()});
    void addTarget().then(dyingTargets.arm);
  }

  /** A target states a rate limit for some time, then another one does. */
  function startRateLimit(): void {
    const target = targets[limitRandom.below(targets.length)];
    if (!target) {
      return;
    }
    const perSecond = 1 + limitRandom.below(MAXIMUM_RATE_LIMIT);
    const durationMs = MINIMUM_LIMITED_MS + limitRandom.below(LIMITED_RANGE_MS);
    recordEvent(`${target.id} states ${perSecond} requests per second`);
    target.setRateLimit(perSecond);
    rateLimit = {
      target,
      fromMs: timers.nowMs(),
      timer: timers.after(durationMs, () => {
        endRateLimit();
        startRateLimit();
      }),
    };
  }

  function endRateLimit(): void {
    if (!rateLimit) {
      return;
    }
    const {target, fromMs, timer} = rateLimit;
    timer.cancel();
    rateLimit = undefined;
    target.setRateLimit(undefined);
    limitedPeriods.push({
      target: target.id,
      arrivals: target.arrivals.filter(({atMs}) => atMs >= fromMs),
      statements: target.limitStatements.filter(({atMs}) => atMs >= fromMs),
    });
  }

  /** Targets say that they leave or want a pause, at random times. */
  function scheduleStatement(): void {
    const intervalMs =
      MINIMUM_STATEMENT_INTERVAL_MS +
      statementRandom.below(STATEMENT_INTERVAL_RANGE_MS);
    statementTimer = timers.after(intervalMs, () => {
      if (statementRandom.next() < SILENT_LEAVER_FRACTION) {
        leaveSilently();
      } else {
        pauseTargets();
      }
      scheduleStatement();
    });
  }

  /** The store goes on listing the target as ready. */
  function leaveSilently(): void {
    const target = silentLeavers[leftSilently];
    if (!target) {
      return;
    }
    leftSilently += 1;
    recordEvent(`${target.id} says that it leaves`);
    target.setLeaving(true);
    void addSilentLeaver().then(dyingTargets.arm);
  }

  /** About a third of the targets that the fleet began with. */
  function pauseTargets(): void {
    const durationMs =
      MINIMUM_TARGET_PAUSE_MS + statementRandom.below(TARGET_PAUSE_RANGE_MS);
    for (let count = 0; count < TARGETS_PER_PAUSE; count += 1) {
      const target = targets[statementRandom.below(TARGETS)];
      recordEvent(`${target?.id} wants a pause of ${durationMs} ms`);
      target?.pauseFor(durationMs);
    }
  }

  /** Copies the store, and restores it from the copy after a while. */
  function scheduleRestore(): void {
    const pauseMs =
      MINIMUM_RESTORE_PAUSE_MS + restoreRandom.below(RESTORE_PAUSE_RANGE_MS);
    const copyAgeMs = 1 + restoreRandom.below(MAXIMUM_COPY_AGE_MS);
    restoreTimer = timers.after(pauseMs, () => {
      const copy = store.copy();
      restoreTimer = timers.after(copyAgeMs, () => {
        recordEvent(`store restored from a copy ${copyAgeMs} ms old`);
        store.restore(copy);
        postponeLostChanges();
        scheduleRestore();
      });
    });
  }

  /** What no VM may have heard of counts once it has been written again. */
  function postponeLostChanges(): void {
    const nowMs = timers.nowMs();
    const rewrittenAtMs = nowMs + REWRITE_MS;
    const isLost = (writtenAtMs: number): boolean =>
      writtenAtMs > nowMs - PROPAGATION_MS;
    for (const [index, departure] of departures.entries()) {
      if (isLost(departure.atMs)) {
        departures[index] = {...departure, atMs: rewrittenAtMs};
      }
    }
    for (const [index, change] of homesChanges.entries()) {
      if (isLost(change.rewrittenAtMs ?? change.atMs)) {
        homesChanges[index] = {...change, rewrittenAtMs};
      }
    }
  }

  async function clearFaults(): Promise<void> {
    recordEvent('all faults end');
    for (const proxy of fleet.proxies) {
      proxy.setMode('pass');
    }
    for (const vm of fleet.vms) {
      vm.signal('SIGCONT');
    }
    await timers.sleep(POLL_INTERVAL_MS);
  }
}

function recordOf(target: FleetTarget): TargetRecord {
  const {id, arrivals, leavingStatements, pauseStatements} = target;
  return {target: id, arrivals, leavingStatements, pauseStatements};
}

function collectRuns(target: FleetTarget): readonly RunRecord[] {
  return target.runs.map(run => ({
    attemptId: run.attemptId,
    target: target.id,
    atMs: run.atMs,
    isSpoiled: run.fault !== 'none',
    isEndless: isEndlessAnswer(run.fault),
  }));
}

interface Fleet {
  readonly vms: readonly GatewayProcess[];
  readonly proxies: readonly StoreProxy[];
  processes(): readonly ProcessRecord[];
  end(): void;
}

async function startFleet(
  options: SoakOptions,
  folder: string,
  store: StandInObjectStore,
  onStart: (vm: GatewayProcess) => void,
): Promise<Fleet> {
  const {timers} = options;
  const random: RandomSource = createRandomSource(options.seed + 1);
  const {peerPort, vmPorts} = await reservePorts(options.gateways);
  const vms: GatewayProcess[] = [];
  const proxies: StoreProxy[] = [];
  const peakMegabytes = new Map<string, number>();
  const sampler = timers.every(MEMORY_INTERVAL_MS, sampleMemory);
  let stopping = false;
  for (let index = 0; index < options.gateways; index += 1) {
    const proxy = await startStoreProxy(store, timers);
    proxies.push(proxy);
    const host = `127.0.${8 + Math.floor(index / 200)}.${10 + (index % 200)}`;
    const zone = ZONE_NAMES[index % ZONE_NAMES.length] ?? 'riga-a';
    const [front = 0, ready = 0, directory = 0] = vmPorts.slice(
      index * PORTS_PER_VM,
    );
    const vm = createGatewayProcess({
      id: `edge-${index}`,
      folder,
      program:
        index % 2 === 0
          ? GATEWAY_PROGRAM
          : (options.otherProgram ?? GATEWAY_PROGRAM),
      nodeOptions: NODE_OPTIONS,
      caller: {host, port: front},
      readiness: {host, port: ready},
      settings: {
        self: {
          node: `edge-${index}`,
          ip: host,
          zone,
          region: ZONES[zone],
          limits: {memory_mb: MEMORY_MEGABYTES},
        },
        network: {
          listen: {
            front: `${host}:${front}`,
            ready: `${host}:${ready}`,
            directory: `${host}:${directory}`,
          },
          internal_ports: [peerPort, peerPort + 1],
          seeds: ['127.0.8.10:1', '127.0.8.11:1'],
          zones: ZONES,
        },
        platform: {
          heartbeat_ms: 1_500,
          platform: {address: `127.0.0.1:${proxy.port}`},
        },
        terms: {bounds: STAND_IN_BOUNDS},
      },
      onExit: () => {
        if (!stopping) {
          timers.after(
            MINIMUM_RESTART_DELAY_MS + random.below(RESTART_DELAY_RANGE_MS),
            () => restart(vm),
          );
        }
      },
    });
    vms.push(vm);
    vm.start();
    onStart(vm);
  }

  function restart(vm: GatewayProcess): void {
    if (!stopping && !vm.isRunning()) {
      vm.start();
      onStart(vm);
    }
  }

  function sampleMemory(): void {
    for (const vm of vms) {
      const megabytes = residentMegabytes(vm.processId(), 'VmHWM');
      const peak = Math.max(peakMegabytes.get(vm.id) ?? 0, megabytes);
      peakMegabytes.set(vm.id, peak);
    }
  }

  return {
    vms,
    proxies,
    processes: () =>
      vms.map(vm => ({
        vm: vm.id,
        unexpectedExits: vm.unexpectedExits(),
        peakMegabytes: peakMegabytes.get(vm.id) ?? 0,
      })),
    end: () => {
      stopping = true;
      sampler.cancel();
      for (const vm of vms) {
        vm.signal('SIGKILL');
      }
      for (const proxy of proxies) {
        proxy.close();
      }
    },
  };
}

interface ReservedPorts {
  /** Used by all VMs, which differ in their hosts; the next one is free too. */
  readonly peerPort: number;
  readonly vmPorts: readonly number[];
}

/** Reserves all ports in one call: a second one may return the same again. */
async function reservePorts(vmCount: number): Promise<ReservedPorts> {
  for (;;) {
    const addresses = await reserveAddresses(1 + vmCount * PORTS_PER_VM);
    const [peerPort = 0, ...vmPorts] = addresses.map(address =>
      Number(address.split(':')[1]),
    );
    if (!vmPorts.includes(peerPort + 1)) {
      return {peerPort, vmPorts};
    }
  }
}

async function waitUntilReady(
  vms: readonly GatewayProcess[],
  load: LoadGenerator,
  timers: TimerService,
): Promise<void> {
  const deadlineMs = timers.nowMs() + START_TIMEOUT_MS;
  for (const vm of vms) {
    while ((await load.probe(vm)) !== 200) {
      if (timers.nowMs() > deadlineMs) {
        throw new Error(
          `${vm.id} did not serve within ${START_TIMEOUT_MS} ms of its start`,
        );
      }
      await timers.sleep(POLL_INTERVAL_MS);
    }
  }
}

async function findUnrecoveredVms(
  vms: readonly GatewayProcess[],
  load: LoadGenerator,
  timers: TimerService,
): Promise<readonly Violation[]> {
  const deadlineMs = timers.nowMs() + RECOVERY_TIMEOUT_MS;
  const violations: Violation[] = [];
  for (const vm of vms) {
    let status = await load.probe(vm);
    while (status !== 200 && timers.nowMs() < deadlineMs) {
      await timers.sleep(POLL_INTERVAL_MS);
      status = await load.probe(vm);
    }
    if (status !== 200) {
      violations.push({
        invariant: 'gateways serve again after the faults',
        detail: `${vm.id} still returns status ${status} after ${RECOVERY_TIMEOUT_MS} ms`,
      });
    }
  }
  return violations;
}
