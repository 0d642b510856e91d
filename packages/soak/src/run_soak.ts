/** One soak: starts everything, injects faults by the seed, checks promises. */
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {type RandomSource, createRandomSource} from '@ibisbeam/decision';
import type {TimerService} from '@ibisbeam/library';
import {
  type FleetTarget,
  STAND_IN_BOUNDS,
  type StandInObjectStore,
  type TargetFault,
  reserveAddresses,
  startFleetTarget,
  startStandInObjectStore,
  twoRouteConfiguration,
} from '@ibisbeam/stand-ins';
import {type Callers, createCallers} from './callers.js';
import {type GatewayProcess, createGatewayProcess} from './gateway_process.js';
import {
  type Departure,
  type Disruption,
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
  readonly seconds: number;
  readonly gateways: number;
  readonly timers: TimerService;
}

export interface SoakResult {
  readonly violations: readonly Violation[];
  readonly events: readonly string[];
  readonly calls: number;
  readonly answered: number;
  /** Holds the settings and logs of the processes. */
  readonly folder: string;
}

const HOST = 'rooms.example';
const ZONES = {'riga-a': 'riga', 'riga-b': 'riga', 'kurz-a': 'kurzeme'};
const ZONE_NAMES = ['riga-a', 'riga-b', 'kurz-a'] as const;
const TARGETS = 9;
const START_TIMEOUT_MS = 10_000;
/** Bound for serving again after the last fault has ended. */
const RECOVERY_MS = 15_000;
const POLL_MS = 50;
const SHORTEST_GAP_MS = 150;
const LONGEST_GAP_MS = 1_200;
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
  const targets: FleetTarget[] = [];
  const beganMs = timers.nowMs();
  let version = 1;
  let startedTargets = 0;

  function note(text: string): void {
    events.push(`${Math.round(timers.nowMs() - beganMs)} ms ${text}`);
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

  store.put('config', 'main', twoRouteConfiguration(HOST, version));
  for (let index = 0; index < TARGETS; index += 1) {
    await addTarget();
  }
  const fleet = await startFleet(options, folder, store);
  const callers = createCallers(fleet.vms, HOST, timers, random);
  try {
    await ready(fleet.vms, callers, timers);
    callers.start();
    const endsMs = timers.nowMs() + options.seconds * 1_000;
    while (timers.nowMs() < endsMs) {
      injectOne();
      const gapMs = LONGEST_GAP_MS - SHORTEST_GAP_MS;
      await timers.sleep(SHORTEST_GAP_MS + random.below(gapMs));
    }
    await heal();
    const violations = [...(await unrecovered(fleet.vms, callers, timers))];
    await callers.stop();
    for (const vm of fleet.vms) {
      if (vm.unexpectedEnds() > 0) {
        violations.push({
          promise: 'no process ends by itself',
          detail: `${vm.id} ended ${vm.unexpectedEnds()} times`,
        });
      }
    }
    const {calls} = callers;
    violations.push(
      ...findViolations({
        calls,
        runs: targets.flatMap(runsOf),
        disruptions,
        departures,
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
    fleet.end();
    for (const target of targets) {
      await target.close();
    }
    await store.close();
  }

  function injectOne(): void {
    const index = random.below(fleet.vms.length);
    const vm = fleet.vms[index];
    const proxy = fleet.proxies[index];
    if (!vm || !proxy) {
      return;
    }
    const lastsMs = 200 + random.below(3_000);
    switch (random.below(8)) {
      case 0:
        stopInOrder(vm);
        return;
      case 1:
        kill(vm, lastsMs);
        return;
      case 2:
        pause(vm, lastsMs);
        return;
      case 3:
        cutFromStore(vm, proxy, lastsMs);
        return;
      case 4:
        spoilAnswers();
        return;
      case 5:
        retireTarget();
        return;
      case 6:
        version += 1 + random.below(3);
        note(`configuration ${version}`);
        store.put('config', 'main', twoRouteConfiguration(HOST, version));
        return;
      case 7:
        note('history forgotten');
        store.compact();
        return;
    }
  }

  function disrupt(vm: string, lastsMs: number): void {
    const fromMs = timers.nowMs();
    disruptions.push({vm, fromMs, toMs: fromMs + lastsMs, kind: 'other'});
  }

  function stopInOrder(vm: GatewayProcess): void {
    if (!vm.isRunning()) {
      return;
    }
    note(`SIGTERM ${vm.id}`);
    const fromMs = timers.nowMs();
    const toMs = fromMs + STAND_IN_BOUNDS.grace_s * 1_000;
    disruptions.push({vm: vm.id, fromMs, toMs, kind: 'planned-stop'});
    vm.signal('SIGTERM');
  }

  function kill(vm: GatewayProcess, lastsMs: number): void {
    note(`SIGKILL ${vm.id}`);
    disrupt(vm.id, lastsMs);
    vm.signal('SIGKILL');
  }

  function pause(vm: GatewayProcess, lastsMs: number): void {
    if (!vm.isRunning()) {
      return;
    }
    note(`SIGSTOP ${vm.id} for ${lastsMs} ms`);
    disrupt(vm.id, lastsMs);
    vm.signal('SIGSTOP');
    timers.after(lastsMs, () => vm.signal('SIGCONT'));
  }

  function cutFromStore(
    vm: GatewayProcess,
    proxy: StoreProxy,
    lastsMs: number,
  ): void {
    const mode = PROXY_FAULTS[random.below(PROXY_FAULTS.length)] ?? 'silent';
    note(`store ${mode} for ${vm.id}, ${lastsMs} ms`);
    disrupt(vm.id, lastsMs);
    proxy.setMode(mode);
    timers.after(lastsMs, () => proxy.setMode('pass'));
  }

  function spoilAnswers(): void {
    const target = targets[random.below(targets.length)];
    const fault = TARGET_FAULTS[random.below(TARGET_FAULTS.length)] ?? 'shed';
    note(`${fault} at ${target?.id}`);
    target?.plan(fault, fault, 'none', fault);
  }

  function retireTarget(): void {
    const target = targets[startedTargets - TARGETS];
    if (!target) {
      return;
    }
    note(`${target.id} leaves`);
    store.put('servers', target.id, target.entry({state: 'draining'}));
    departures.push({target: target.id, atMs: timers.nowMs()});
    void addTarget();
  }

  async function heal(): Promise<void> {
    note('all faults end');
    for (const proxy of fleet.proxies) {
      proxy.setMode('pass');
    }
    for (const vm of fleet.vms) {
      vm.signal('SIGCONT');
    }
    await timers.sleep(POLL_MS);
  }
}

function runsOf(target: FleetTarget): readonly RunRecord[] {
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
  const [peerAddress] = await reserveAddresses(1);
  const peerPort = Number(peerAddress?.split(':')[1]);
  const vms: GatewayProcess[] = [];
  const proxies: StoreProxy[] = [];
  let ending = false;
  for (let index = 0; index < options.gateways; index += 1) {
    const proxy = await startStoreProxy(store, timers);
    proxies.push(proxy);
    const host = `127.0.${8 + Math.floor(index / 200)}.${10 + (index % 200)}`;
    const zone = ZONE_NAMES[index % ZONE_NAMES.length] ?? 'riga-a';
    const [front = 0, ready = 0, directory = 0] = (
      await reserveAddresses(3)
    ).map(address => Number(address.split(':')[1]));
    const vm = createGatewayProcess({
      id: `edge-${index}`,
      folder,
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
      onEnd: () => {
        if (!ending) {
          timers.after(200 + random.below(800), () => restart(vm));
        }
      },
    });
    vms.push(vm);
    vm.start();
  }

  function restart(vm: GatewayProcess): void {
    if (!ending && !vm.isRunning()) {
      vm.start();
    }
  }

  return {
    vms,
    proxies,
    end: () => {
      ending = true;
      for (const vm of vms) {
        vm.signal('SIGKILL');
      }
      for (const proxy of proxies) {
        proxy.close();
      }
    },
  };
}

async function ready(
  vms: readonly GatewayProcess[],
  callers: Callers,
  timers: TimerService,
): Promise<void> {
  const endsMs = timers.nowMs() + START_TIMEOUT_MS;
  for (const vm of vms) {
    while ((await callers.probe(vm)) !== 200) {
      if (timers.nowMs() > endsMs) {
        throw new Error(`${vm.id} does not serve after its start`);
      }
      await timers.sleep(POLL_MS);
    }
  }
}

async function unrecovered(
  vms: readonly GatewayProcess[],
  callers: Callers,
  timers: TimerService,
): Promise<readonly Violation[]> {
  const endsMs = timers.nowMs() + RECOVERY_MS;
  const violations: Violation[] = [];
  for (const vm of vms) {
    let status = await callers.probe(vm);
    while (status !== 200 && timers.nowMs() < endsMs) {
      await timers.sleep(POLL_MS);
      status = await callers.probe(vm);
    }
    if (status !== 200) {
      violations.push({
        promise: 'serving again after the faults',
        detail: `${vm.id} still answers ${status} after ${RECOVERY_MS} ms`,
      });
    }
  }
  return violations;
}
