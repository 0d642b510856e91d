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
  type EndlessFault,
  type FleetTarget,
  REWRITE_MS,
  STAND_IN_BOUNDS,
  type StandInObjectStore,
  type TargetFault,
  reserveAddresses,
  startFleetTarget,
  startStandInObjectStore,
  buildTwoRouteConfiguration,
} from '@ibisbeam/stand-ins';
import {type LoadGenerator, createLoadGenerator} from './load_generator.js';
import {
  GATEWAY_PROGRAM,
  type GatewayProcess,
  createGatewayProcess,
} from './gateway_process.js';
import {
  type Departure,
  type Disruption,
  type EndlessExtent,
  type LimitedPeriod,
  type RunRecord,
  type Violation,
  findViolations,
} from './observations.js';
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
const MINIMUM_RESTORE_PAUSE_MS = 1_000;
const RESTORE_PAUSE_RANGE_MS = 5_000;
const MAXIMUM_COPY_AGE_MS = 3_000;
const MINIMUM_ENDLESS_PAUSE_MS = 300;
const ENDLESS_PAUSE_RANGE_MS = 1_500;
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
const ENDLESS_FAULTS: readonly EndlessFault[] = [
  'endless-head',
  'endless-interim',
  'endless-body',
  'endless-error',
  'endless-chunks',
  'endless-chunk-extension',
  'endless-trailer',
  'endless-not-http',
  'bytes-after-end',
  'late-bytes-after-end',
  'trickled-head',
  'trickled-body',
  'trickled-stream',
];
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
  const limitedPeriods: LimitedPeriod[] = [];
  // Separate, so that the other faults of a seed stay the same.
  const limitRandom = createRandomSource(options.seed + 2);
  const restoreRandom = createRandomSource(options.seed + 3);
  const endlessRandom = createRandomSource(options.seed + 8);
  let restoreTimer: TimerHandle | undefined;
  let endlessTimer: TimerHandle | undefined;
  const targets: FleetTarget[] = [];
  const startedMs = timers.nowMs();
  let rateLimit: RateLimitInForce | undefined;
  let version = 1;
  let startedTargets = 0;

  function recordEvent(text: string): void {
    events.push(`${Math.round(timers.nowMs() - startedMs)} ms ${text}`);
  }

  async function addTarget(): Promise<void> {
    startedTargets += 1;
    const target = await startFleetTarget({
      id: `worker-${startedTargets}`,
      service: 'rooms',
      zone: ZONE_NAMES[startedTargets % ZONE_NAMES.length] ?? 'riga-a',
      slots: 4,
      workMs: 20,
      timers,
    });
    targets.push(target);
    store.put('servers', target.id, target.entry());
  }

  store.put('config', 'main', buildTwoRouteConfiguration(HOST, version));
  for (let index = 0; index < TARGETS; index += 1) {
    await addTarget();
  }
  const fleet = await startFleet(options, folder, store);
  const load = createLoadGenerator(fleet.vms, HOST, timers, random);
  try {
    await waitUntilReady(fleet.vms, load, timers);
    load.start();
    startRateLimit();
    scheduleRestore();
    scheduleEndlessAnswer();
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
    endlessTimer?.cancel();
    await clearFaults();
    const violations = [...(await findUnrecoveredVms(fleet.vms, load, timers))];
    await load.stop();
    endRateLimit();
    for (const vm of fleet.vms) {
      if (vm.unexpectedExits() > 0) {
        violations.push({
          invariant: 'no process exits unexpectedly',
          detail: `${vm.id} exited unexpectedly ${vm.unexpectedExits()} times`,
        });
      }
    }
    const {calls} = load;
    violations.push(
      ...findViolations({
        calls,
        runs: targets.flatMap(collectRuns),
        endlessAnswers: targets.flatMap(target =>
          target.endlessAnswers.map(answer => ({
            attemptId: answer.attemptId,
            target: target.id,
            extent: extentOf(answer.fault),
            startedAtMs: answer.startedAtMs,
            closedAtMs: answer.closedAtMs,
          })),
        ),
        disruptions,
        departures,
        limitedPeriods,
        endedAtMs: timers.nowMs(),
      }),
    );
    return {
      violations,
      events,
      calls: calls.length,
      answered: calls.filter(call => call.status === 200).length,
      folder,
    };
  } finally {
    endRateLimit();
    restoreTimer?.cancel();
    endlessTimer?.cancel();
    fleet.end();
    for (const target of targets) {
      await target.close();
    }
    await store.close();
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
        store.put('config', 'main', buildTwoRouteConfiguration(HOST, version));
        return;
      case 7:
        recordEvent('store history compacted');
        store.compact();
        return;
    }
  }

  function recordDisruption(vm: string, durationMs: number): void {
    const fromMs = timers.nowMs();
    disruptions.push({vm, fromMs, toMs: fromMs + durationMs, kind: 'other'});
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
    recordDisruption(vm.id, durationMs);
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
    if (!target) {
      return;
    }
    recordEvent(`${target.id} leaves`);
    store.put('servers', target.id, target.entry({state: 'draining'}));
    departures.push({target: target.id, atMs: timers.nowMs()});
    void addTarget();
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
        postponeLostDepartures();
        scheduleRestore();
      });
    });
  }

  function scheduleEndlessAnswer(): void {
    const pauseMs =
      MINIMUM_ENDLESS_PAUSE_MS + endlessRandom.below(ENDLESS_PAUSE_RANGE_MS);
    const target = targets[endlessRandom.below(targets.length)];
    const fault = ENDLESS_FAULTS[endlessRandom.below(ENDLESS_FAULTS.length)];
    endlessTimer = timers.after(pauseMs, () => {
      if (fault) {
        recordEvent(`${fault} at ${target?.id}`);
        target?.plan(fault, fault, fault);
      }
      scheduleEndlessAnswer();
    });
  }

  /** A departure that no VM may have heard of counts once it is repeated. */
  function postponeLostDepartures(): void {
    const nowMs = timers.nowMs();
    for (const [index, departure] of departures.entries()) {
      if (departure.atMs > nowMs - PROPAGATION_MS) {
        departures[index] = {...departure, atMs: nowMs + REWRITE_MS};
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

function extentOf(fault: EndlessFault): EndlessExtent {
  switch (fault) {
    case 'bytes-after-end':
    case 'late-bytes-after-end':
      return 'everything';
    case 'endless-body':
    case 'endless-error':
    case 'trickled-stream':
      return 'a-part';
    case 'endless-head':
    case 'endless-interim':
    case 'endless-chunks':
    case 'endless-chunk-extension':
    case 'endless-trailer':
    case 'endless-not-http':
    case 'trickled-head':
    case 'trickled-body':
      return 'nothing';
  }
}

function collectRuns(target: FleetTarget): readonly RunRecord[] {
  return target.runs.map(run => ({
    attemptId: run.attemptId,
    target: target.id,
    atMs: run.atMs,
  }));
}

interface Fleet {
  readonly vms: readonly GatewayProcess[];
  readonly proxies: readonly StoreProxy[];
  end(): void;
}

async function startFleet(
  options: SoakOptions,
  folder: string,
  store: StandInObjectStore,
): Promise<Fleet> {
  const {timers} = options;
  const random: RandomSource = createRandomSource(options.seed + 1);
  const {peerPort, vmPorts} = await reservePorts(options.gateways);
  const vms: GatewayProcess[] = [];
  const proxies: StoreProxy[] = [];
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
      caller: {host, port: front},
      readiness: {host, port: ready},
      settings: {
        self: {node: `edge-${index}`, ip: host, zone, region: ZONES[zone]},
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
  }

  function restart(vm: GatewayProcess): void {
    if (!stopping && !vm.isRunning()) {
      vm.start();
    }
  }

  return {
    vms,
    proxies,
    end: () => {
      stopping = true;
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
