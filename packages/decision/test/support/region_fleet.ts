/**
 * Entry VMs of one region on a virtual clock, with messages that get lost,
 * late and doubled, pauses, replaced VMs and configurations that arrive at
 * different times. Counts what really runs at each target.
 */
import {
  type Configuration,
  type RandomSource,
  type Steering,
  type SteeringAction,
  type SteeringEvent,
  type TargetId,
  type VmId,
  createRandomSource,
  createSteering,
  requestId,
  teamName,
  zoneName,
} from '../../src/index.js';
import {RIGA, SERVICE, WORKSPACE} from './configuration_fixture.js';
import {buildMembershipView} from './steering_driver.js';

export type FleetCommand =
  /** As many requests at every VM, more than it has slots. */
  | {readonly kind: 'saturate'; readonly count: number}
  | {readonly kind: 'answer'; readonly fraction: number}
  | {readonly kind: 'pass'; readonly forMs: number}
  | {readonly kind: 'pause'; readonly vm: number; readonly forMs: number}
  | {readonly kind: 'replace'; readonly vm: number; readonly afterMs: number}
  | {readonly kind: 'configure'; readonly choice: number};

interface Running {
  readonly vm: FleetVm;
  readonly life: number;
  readonly target: TargetId;
  readonly endsAtMs: number;
  readonly event: Extract<SteeringEvent, {kind: 'attempt-finished'}>;
}

interface FleetVm {
  readonly id: VmId;
  readonly clockOffsetMs: number;
  steering: Steering | undefined;
  life: number;
  generation: number;
  pausedUntilMs: number;
  waiting: SteeringEvent[];
}

interface Later {
  readonly atMs: number;
  readonly run: () => void;
}

const STEP_MS = 50;
const VIEW_INTERVAL_MS = 500;
const LONGEST_DELAY_MS = 5_000;
const LONGEST_DEADLINE_MS = 2_900;
const SHORT_DELAY_MS = 20;
const LONG_DELAY_SHARE = 0.25;
const IN_FORCE_WITHIN_MS = 11_000;
const WARM_UP_ROUNDS = 8;
const LOSS = 0.15;
const DOUBLING = 0.15;

export interface RegionFleet {
  apply(command: FleetCommand): void;
  /** Targets with more requests than slots now. */
  overbooked(): readonly TargetId[];
  /** Times at which some target had all its slots in use. */
  timesFull(): number;
  borrowed(): number;
}

export function createRegionFleet(
  configurations: readonly Configuration[],
  seed: number,
): RegionFleet {
  const random = createRandomSource(seed);
  const slots = slotsOf(configurations);
  let nowMs = 0;
  let timesFull = 0;
  let borrowed = 0;
  let requests = 0;
  let newest = configurations[0]!;
  let generation = 1;
  let later: Later[] = [];
  let running: Running[] = [];
  const ids = [...newest.entryVms.values()].filter(vm => vm.region === RIGA);
  const vms: FleetVm[] = ids.map((vm, index) => ({
    id: vm.id,
    clockOffsetMs: index * 1_000_000,
    steering: undefined,
    life: 0,
    generation: 0,
    pausedUntilMs: 0,
    waiting: [],
  }));
  vms.forEach(boot);
  warmUp();

  /** Opens the limits of all targets. */
  function warmUp(): void {
    pass(1_000);
    for (let round = 0; round < WARM_UP_ROUNDS; round += 1) {
      apply({kind: 'saturate', count: 6});
      apply({kind: 'answer', fraction: 1});
      pass(STEP_MS);
    }
  }

  function boot(vm: FleetVm): void {
    vm.life += 1;
    vm.waiting = [];
    vm.pausedUntilMs = 0;
    vm.steering = createSteering({
      vm: vm.id,
      region: RIGA,
      zone: zoneName('a'),
      random: createRandomSource(seed + vm.life * 17 + vms.indexOf(vm)),
      incarnation: `life-${vm.life}`,
      parameters: {poolLoadIntervalMs: 200, borrowIntervalMs: 50},
    });
    accept(vm, newest);
  }

  function accept(vm: FleetVm, configuration: Configuration): void {
    give(vm, {kind: 'configuration-accepted', configuration});
  }

  /** A paused VM takes its events when it goes on. */
  function give(vm: FleetVm, event: SteeringEvent): void {
    if (!vm.steering) {
      return;
    }
    if (vm.pausedUntilMs > nowMs) {
      vm.waiting.push(event);
      return;
    }
    if (event.kind === 'configuration-accepted') {
      vm.generation = Math.max(vm.generation, event.configuration.generation);
    }
    const time = {nowMs: nowMs + vm.clockOffsetMs, wallMs: nowMs};
    for (const action of vm.steering.step(event, time)) {
      perform(vm, action);
    }
  }

  function perform(vm: FleetVm, action: SteeringAction): void {
    if (action.kind === 'send-to-peer') {
      const peer = vms.find(other => other.id === action.to);
      const {message} = action;
      if (peer) {
        post(() => give(peer, {kind: 'peer-message', from: vm.id, message}));
      }
    }
    if (action.kind === 'note' && action.note.kind === 'slots-borrowed') {
      borrowed += 1;
    }
    if (action.kind !== 'send-attempt') {
      return;
    }
    const {request, attempt, destination} = action;
    if (destination.kind === 'relay') {
      const result = {kind: 'shed'} as const;
      give(vm, {kind: 'attempt-finished', request, attempt, result});
      return;
    }
    running.push({
      vm,
      life: vm.life,
      target: destination.target,
      endsAtMs: action.deadlineMs - vm.clockOffsetMs,
      event: {
        kind: 'attempt-finished',
        request,
        attempt,
        result: {kind: 'answered', status: 200},
      },
    });
  }

  function post(run: () => void): void {
    const copies = random.next() < DOUBLING ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      if (random.next() >= LOSS) {
        later.push({atMs: nowMs + delay(random), run});
      }
    }
  }

  function end(attempt: Running, timedOut: boolean): void {
    running = running.filter(other => other !== attempt);
    const {vm} = attempt;
    if (vm.life !== attempt.life) {
      return;
    }
    const result = timedOut ? ({kind: 'timed-out'} as const) : undefined;
    give(vm, result ? {...attempt.event, result} : attempt.event);
  }

  function pass(forMs: number): void {
    const untilMs = nowMs + forMs;
    while (nowMs < untilMs) {
      nowMs += STEP_MS;
      const due = later.filter(item => item.atMs <= nowMs);
      later = later.filter(item => item.atMs > nowMs);
      due.forEach(item => item.run());
      for (const attempt of running.filter(one => one.endsAtMs <= nowMs)) {
        end(attempt, true);
      }
      vms.forEach(resume);
      if (nowMs % VIEW_INTERVAL_MS === 0) {
        sendViews();
      }
      for (const vm of vms) {
        if (vm.pausedUntilMs <= nowMs) {
          give(vm, {kind: 'tick'});
        }
      }
    }
  }

  function resume(vm: FleetVm): void {
    if (vm.pausedUntilMs > nowMs || vm.waiting.length === 0) {
      return;
    }
    const events = vm.waiting;
    vm.waiting = [];
    for (const event of events) {
      give(vm, event);
    }
  }

  function sendViews(): void {
    const view = buildMembershipView(newest, {
      states: new Map(
        vms.map(vm => [vm.id, vm.steering ? 'live' : 'suspect'] as const),
      ),
      generations: new Map(vms.map(vm => [vm.id, vm.generation])),
      incarnations: new Map(vms.map(vm => [vm.id, `life-${vm.life}`])),
    });
    for (const vm of vms) {
      later.push({
        atMs: nowMs + delay(random),
        run: () => give(vm, {kind: 'membership-changed', view}),
      });
    }
  }

  function request(vm: FleetVm): void {
    requests += 1;
    const deadlineMs =
      nowMs + vm.clockOffsetMs + 100 + random.below(LONGEST_DEADLINE_MS);
    give(vm, {
      kind: 'request-arrived',
      request: {
        id: requestId(`request-${requests}`),
        workspace: WORKSPACE,
        service: SERVICE,
        callingTeam: teamName('portal'),
        idempotent: true,
        fingerprint: `fingerprint-${requests}`,
        homeRegion: RIGA,
        cohort: 0,
        deadlineMs,
      },
    });
  }

  function configure(choice: number): void {
    generation += 1;
    const chosen = configurations[choice % configurations.length]!;
    const next = {...chosen, generation: generation as never};
    newest = next;
    for (const vm of vms) {
      later.push({
        atMs: nowMs + random.below(IN_FORCE_WITHIN_MS),
        run: () => accept(vm, next),
      });
    }
  }

  function replace(vm: FleetVm, afterMs: number): void {
    if (!vm.steering) {
      return;
    }
    vm.steering = undefined;
    later.push({atMs: nowMs + afterMs, run: () => boot(vm)});
  }

  function apply(command: FleetCommand): void {
    switch (command.kind) {
      case 'saturate':
        for (let count = 0; count < command.count; count += 1) {
          vms.forEach(request);
        }
        return;
      case 'answer':
        for (const attempt of running) {
          if (random.next() < command.fraction) {
            end(attempt, false);
          }
        }
        return;
      case 'pass':
        pass(command.forMs);
        return;
      case 'pause':
        vms[command.vm % vms.length]!.pausedUntilMs = nowMs + command.forMs;
        return;
      case 'replace':
        replace(vms[command.vm % vms.length]!, command.afterMs);
        return;
      case 'configure':
        configure(command.choice);
    }
  }

  function overbooked(): readonly TargetId[] {
    const counts = new Map<TargetId, number>();
    for (const {target} of running) {
      counts.set(target, (counts.get(target) ?? 0) + 1);
    }
    const targets = [...counts.keys()];
    const full = targets.some(
      target => counts.get(target)! >= slots.get(target)!,
    );
    timesFull += full ? 1 : 0;
    return targets.filter(target => counts.get(target)! > slots.get(target)!);
  }

  return {
    apply,
    overbooked,
    timesFull: () => timesFull,
    borrowed: () => borrowed,
  };
}

/** Mostly a few milliseconds, now and then long. */
function delay(random: RandomSource): number {
  const long = random.next() < LONG_DELAY_SHARE;
  return 1 + random.below(long ? LONGEST_DELAY_MS : SHORT_DELAY_MS);
}

function slotsOf(
  configurations: readonly Configuration[],
): ReadonlyMap<TargetId, number> {
  const slots = new Map<TargetId, number>();
  for (const configuration of configurations) {
    for (const {target} of configuration.targets.values()) {
      slots.set(target.id, target.slots);
    }
  }
  return slots;
}
