/**
 * Simulates the entry VMs of one region on a virtual clock. Messages are lost,
 * delayed and duplicated, VMs pause and are replaced, and configurations reach
 * the VMs at different times. Tracks the attempts that run at each target.
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
  /** Sends `count` requests to every VM, more than it has slots. */
  | {readonly kind: 'saturate'; readonly count: number}
  /** Answers about this fraction of the running attempts. */
  | {readonly kind: 'answer'; readonly fraction: number}
  /** Advances the clock. */
  | {readonly kind: 'pass'; readonly forMs: number}
  /** Pauses the VM at this index, modulo the number of VMs. */
  | {readonly kind: 'pause'; readonly vm: number; readonly forMs: number}
  /** Stops a VM and starts its replacement after `afterMs`. */
  | {readonly kind: 'replace'; readonly vm: number; readonly afterMs: number}
  /** Publishes the configuration at this index, modulo their number. */
  | {readonly kind: 'configure'; readonly choice: number};

interface RunningAttempt {
  readonly vm: FleetVm;
  readonly incarnation: number;
  readonly target: TargetId;
  readonly endsAtMs: number;
  readonly event: Extract<SteeringEvent, {kind: 'attempt-finished'}>;
}

interface FleetVm {
  readonly id: VmId;
  readonly clockOffsetMs: number;
  steering: Steering | undefined;
  incarnation: number;
  generation: number;
  pausedUntilMs: number;
  pendingEvents: SteeringEvent[];
}

interface ScheduledTask {
  readonly atMs: number;
  readonly run: () => void;
}

const STEP_MS = 50;
const VIEW_INTERVAL_MS = 500;
const MAXIMUM_DELAY_MS = 5_000;
const MAXIMUM_EXTRA_DEADLINE_MS = 2_900;
const USUAL_MAXIMUM_DELAY_MS = 20;
const LONG_DELAY_PROBABILITY = 0.25;
const MAXIMUM_PROPAGATION_MS = 11_000;
const WARM_UP_ROUNDS = 8;
const LOSS_PROBABILITY = 0.15;
const DUPLICATION_PROBABILITY = 0.15;

export interface RegionFleet {
  apply(command: FleetCommand): void;
  /** Targets that now run more requests than they have slots. */
  checkOverbookedTargets(): readonly TargetId[];
  /** Number of checks so far that found a target with all its slots in use. */
  countFullChecks(): number;
  /** Number of leases borrowed. */
  countBorrowedLeases(): number;
}

export function createRegionFleet(
  configurations: readonly Configuration[],
  seed: number,
): RegionFleet {
  const random = createRandomSource(seed);
  const slots = slotsByTarget(configurations);
  let nowMs = 0;
  let timesFull = 0;
  let borrowed = 0;
  let requests = 0;
  let newest = configurations[0]!;
  let generation = 1;
  let scheduledTasks: ScheduledTask[] = [];
  let runningAttempts: RunningAttempt[] = [];
  const ids = [...newest.entryVms.values()].filter(vm => vm.region === RIGA);
  const vms: FleetVm[] = ids.map((vm, index) => ({
    id: vm.id,
    clockOffsetMs: index * 1_000_000,
    steering: undefined,
    incarnation: 0,
    generation: 0,
    pausedUntilMs: 0,
    pendingEvents: [],
  }));
  vms.forEach(startVm);
  warmUpLimits();

  /** Raises the concurrency limits of all targets by successful requests. */
  function warmUpLimits(): void {
    advance(1_000);
    for (let round = 0; round < WARM_UP_ROUNDS; round += 1) {
      apply({kind: 'saturate', count: 6});
      apply({kind: 'answer', fraction: 1});
      advance(STEP_MS);
    }
  }

  function startVm(vm: FleetVm): void {
    vm.incarnation += 1;
    vm.pendingEvents = [];
    vm.pausedUntilMs = 0;
    vm.steering = createSteering({
      vm: vm.id,
      region: RIGA,
      zone: zoneName('a'),
      random: createRandomSource(seed + vm.incarnation * 17 + vms.indexOf(vm)),
      incarnation: `incarnation-${vm.incarnation}`,
      parameters: {poolLoadIntervalMs: 200, borrowRetryIntervalMs: 50},
    });
    accept(vm, newest);
  }

  function accept(vm: FleetVm, configuration: Configuration): void {
    deliver(vm, {kind: 'configuration-accepted', configuration});
  }

  /** Delivers an event; a paused VM handles it after the pause. */
  function deliver(vm: FleetVm, event: SteeringEvent): void {
    if (!vm.steering) {
      return;
    }
    if (vm.pausedUntilMs > nowMs) {
      vm.pendingEvents.push(event);
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
        sendUnreliably(() =>
          deliver(peer, {kind: 'peer-message', from: vm.id, message}),
        );
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
      deliver(vm, {kind: 'attempt-finished', request, attempt, result});
      return;
    }
    runningAttempts.push({
      vm,
      incarnation: vm.incarnation,
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

  function sendUnreliably(run: () => void): void {
    const copies = random.next() < DUPLICATION_PROBABILITY ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      if (random.next() >= LOSS_PROBABILITY) {
        scheduledTasks.push({atMs: nowMs + drawDelayMs(random), run});
      }
    }
  }

  function endAttempt(attempt: RunningAttempt, timedOut: boolean): void {
    runningAttempts = runningAttempts.filter(other => other !== attempt);
    const {vm} = attempt;
    if (vm.incarnation !== attempt.incarnation) {
      return;
    }
    const result = timedOut ? ({kind: 'timed-out'} as const) : undefined;
    deliver(vm, result ? {...attempt.event, result} : attempt.event);
  }

  function advance(forMs: number): void {
    const untilMs = nowMs + forMs;
    while (nowMs < untilMs) {
      nowMs += STEP_MS;
      const due = scheduledTasks.filter(item => item.atMs <= nowMs);
      scheduledTasks = scheduledTasks.filter(item => item.atMs > nowMs);
      due.forEach(item => item.run());
      for (const attempt of runningAttempts.filter(
        one => one.endsAtMs <= nowMs,
      )) {
        endAttempt(attempt, true);
      }
      vms.forEach(resume);
      if (nowMs % VIEW_INTERVAL_MS === 0) {
        sendViews();
      }
      for (const vm of vms) {
        if (vm.pausedUntilMs <= nowMs) {
          deliver(vm, {kind: 'tick'});
        }
      }
    }
  }

  function resume(vm: FleetVm): void {
    if (vm.pausedUntilMs > nowMs || vm.pendingEvents.length === 0) {
      return;
    }
    const events = vm.pendingEvents;
    vm.pendingEvents = [];
    for (const event of events) {
      deliver(vm, event);
    }
  }

  function sendViews(): void {
    const view = buildMembershipView(newest, {
      states: new Map(
        vms.map(vm => [vm.id, vm.steering ? 'live' : 'suspect'] as const),
      ),
      generations: new Map(vms.map(vm => [vm.id, vm.generation])),
      incarnations: new Map(
        vms.map(vm => [vm.id, `incarnation-${vm.incarnation}`]),
      ),
    });
    for (const vm of vms) {
      scheduledTasks.push({
        atMs: nowMs + drawDelayMs(random),
        run: () => deliver(vm, {kind: 'membership-changed', view}),
      });
    }
  }

  function request(vm: FleetVm): void {
    requests += 1;
    const deadlineMs =
      nowMs + vm.clockOffsetMs + 100 + random.below(MAXIMUM_EXTRA_DEADLINE_MS);
    deliver(vm, {
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
      scheduledTasks.push({
        atMs: nowMs + random.below(MAXIMUM_PROPAGATION_MS),
        run: () => accept(vm, next),
      });
    }
  }

  function replace(vm: FleetVm, afterMs: number): void {
    if (!vm.steering) {
      return;
    }
    vm.steering = undefined;
    scheduledTasks.push({atMs: nowMs + afterMs, run: () => startVm(vm)});
  }

  function apply(command: FleetCommand): void {
    switch (command.kind) {
      case 'saturate':
        for (let count = 0; count < command.count; count += 1) {
          vms.forEach(request);
        }
        return;
      case 'answer':
        for (const attempt of runningAttempts) {
          if (random.next() < command.fraction) {
            endAttempt(attempt, false);
          }
        }
        return;
      case 'pass':
        advance(command.forMs);
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

  function checkOverbookedTargets(): readonly TargetId[] {
    const counts = new Map<TargetId, number>();
    for (const {target} of runningAttempts) {
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
    checkOverbookedTargets,
    countFullChecks: () => timesFull,
    countBorrowedLeases: () => borrowed,
  };
}

/** Draws a network delay: usually up to 20 ms, sometimes up to 5 s. */
function drawDelayMs(random: RandomSource): number {
  const long = random.next() < LONG_DELAY_PROBABILITY;
  return 1 + random.below(long ? MAXIMUM_DELAY_MS : USUAL_MAXIMUM_DELAY_MS);
}

function slotsByTarget(
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
