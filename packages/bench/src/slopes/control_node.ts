/** Membership, roll-out and steering of one VM, run in virtual time. */
import {
  type Heartbeat,
  type Configuration,
  type ConfigurationPeerMessage,
  type EntryVm,
  type Generation,
  type MembershipAction,
  type MembershipEvent,
  type MembershipView,
  type RolloutAction,
  type RolloutEvent,
  type SteeringEvent,
  type SteeringPeerMessage,
  type VmId,
  assertNever,
  createMembership,
  createRandomSource,
  createRollout,
  createSteering,
  incarnation,
} from '@ibisbeam/decision';
import type {EventLoop, ScheduledCall} from '../decision/event_loop.js';

const HEARTBEAT_INTERVAL_MS = 1_000;
/** Same multiple as in the configuration task of the entry VM. */
const ANNOUNCE_INTERVAL_MS = 2 * HEARTBEAT_INTERVAL_MS;
const SUSPECT_AFTER_MS = 4_000;
const LIST_INTERVAL_MS = 5_000;
const STALE_AFTER_MS = 30_000;
const ROLLOUT_TICK_MS = 250;
/**
 * Minimum delay of a timer. Without it, rounding of fractional times can make
 * steering request a wake-up for the current instant again and again, and
 * virtual time would stand still.
 */
const TIMER_RESOLUTION_MS = 0.125;

export type ControlMessage =
  | {readonly channel: 'membership'; readonly body: Heartbeat}
  | {readonly channel: 'configuration'; readonly body: ConfigurationPeerMessage}
  | {readonly channel: 'steering'; readonly body: SteeringPeerMessage};

/** What the simulated fleet provides to a node: clock, links and store. */
export interface NodeEnvironment {
  readonly loop: EventLoop;
  send(from: VmId, to: VmId, message: ControlMessage): void;
  setWantedLinks(from: VmId, peers: readonly VmId[]): void;
  setWatching(node: VmId, enabled: boolean): void;
  readHead(node: VmId): void;
  readChunk(node: VmId, digest: string): void;
  listVms(node: VmId): void;
  inForce(node: VmId, generation: Generation): void;
}

export interface ControlNode {
  readonly vm: EntryVm;
  start(): void;
  stop(): void;
  receive(from: VmId, message: ControlMessage): void;
  connected(peer: VmId): void;
  disconnected(peer: VmId): void;
  rollout(event: RolloutEvent): void;
  membership(event: MembershipEvent): void;
  view(): MembershipView;
  generation(): Generation | undefined;
}

export function createControlNode(
  vm: EntryVm,
  index: number,
  environment: NodeEnvironment,
  withSteering: boolean,
): ControlNode {
  const {loop} = environment;
  const ownIncarnation = incarnation(`${vm.id}-1`);
  const membership = createMembership({
    vm: vm.id,
    region: vm.region,
    zone: vm.zone,
    incarnation: ownIncarnation,
    startedAtSeconds: 0,
    heartbeatIntervalMs: HEARTBEAT_INTERVAL_MS,
    suspectAfterMs: SUSPECT_AFTER_MS,
    listIntervalMs: LIST_INTERVAL_MS,
  });
  const rollout = createRollout({
    vm: vm.id,
    region: vm.region,
    zone: vm.zone,
    staleAfterMs: STALE_AFTER_MS,
    announceIntervalMs: ANNOUNCE_INTERVAL_MS,
  });
  const steering = createSteering({
    vm: vm.id,
    region: vm.region,
    zone: vm.zone,
    random: createRandomSource(index),
    incarnation: ownIncarnation,
  });
  let generation: Generation | undefined;
  let stopped = true;
  let wakeTimer: ScheduledCall | undefined;
  let wakeAtMs = Infinity;

  function stepMembership(event: MembershipEvent): void {
    if (stopped) {
      return;
    }
    for (const action of membership.step(event, loop.nowMs())) {
      performMembership(action);
    }
  }

  function performMembership(action: MembershipAction): void {
    switch (action.kind) {
      case 'send': {
        const body = action.beat;
        environment.send(vm.id, action.to, {channel: 'membership', body});
        return;
      }
      case 'links-wanted':
        environment.setWantedLinks(vm.id, action.peers);
        return;
      case 'list-vms':
        environment.listVms(vm.id);
        return;
      case 'view-changed':
        stepRollout({kind: 'membership-changed', view: action.view});
        stepSteering({kind: 'membership-changed', view: action.view});
        return;
      case 'note':
        return;
      default:
        assertNever(action);
    }
  }

  function stepRollout(event: RolloutEvent): void {
    if (stopped) {
      return;
    }
    for (const action of rollout.step(event, loop.nowMs())) {
      performRollout(action);
    }
  }

  function performRollout(action: RolloutAction): void {
    switch (action.kind) {
      case 'watch':
        environment.setWatching(vm.id, action.enabled);
        return;
      case 'read-head':
        environment.readHead(vm.id);
        return;
      case 'read-chunk':
        environment.readChunk(vm.id, action.digest);
        return;
      case 'send': {
        const body = action.message;
        environment.send(vm.id, action.to, {channel: 'configuration', body});
        return;
      }
      case 'in-force':
        putInForce(action.configuration);
        return;
      case 'freshness':
        stepSteering({kind: 'freshness-changed', fresh: action.fresh});
        return;
      case 'note':
        throw new Error(`configuration: ${JSON.stringify(action.note)}`);
      default:
        assertNever(action);
    }
  }

  function putInForce(configuration: Configuration): void {
    generation = configuration.generation;
    environment.inForce(vm.id, generation);
    stepMembership({kind: 'generation', generation});
    const entryVms = configuration.entryVms.values();
    stepMembership({kind: 'configured', entryVms});
    stepSteering({kind: 'configuration-accepted', configuration});
  }

  function stepSteering(event: SteeringEvent): void {
    if (stopped || !withSteering) {
      return;
    }
    const nowMs = loop.nowMs();
    for (const action of steering.step(event, {nowMs, wallMs: nowMs})) {
      if (action.kind === 'send-to-peer') {
        const body = action.message;
        environment.send(vm.id, action.to, {channel: 'steering', body});
      }
      if (action.kind === 'wake-at') {
        scheduleWake(action.nowMs);
      }
    }
  }

  function scheduleWake(atMs: number): void {
    if (atMs >= wakeAtMs) {
      return;
    }
    wakeTimer?.cancel();
    wakeAtMs = atMs;
    const earliestMs = loop.nowMs() + TIMER_RESOLUTION_MS;
    wakeTimer = loop.at(Math.max(atMs, earliestMs), () => {
      wakeAtMs = Infinity;
      stepSteering({kind: 'tick'});
    });
  }

  function repeatEvery(intervalMs: number, call: () => void): void {
    loop.after(intervalMs, () => {
      if (!stopped) {
        call();
        repeatEvery(intervalMs, call);
      }
    });
  }

  function start(): void {
    stopped = false;
    stepMembership({kind: 'started'});
    stepRollout({kind: 'started'});
    repeatEvery(HEARTBEAT_INTERVAL_MS / 2, () =>
      stepMembership({kind: 'tick'}),
    );
    repeatEvery(ROLLOUT_TICK_MS, () => stepRollout({kind: 'tick'}));
  }

  function receive(from: VmId, message: ControlMessage): void {
    switch (message.channel) {
      case 'membership':
        stepMembership({kind: 'beat', from, beat: message.body});
        return;
      case 'configuration':
        stepRollout({kind: 'peer-message', from, message: message.body});
        return;
      case 'steering':
        stepSteering({kind: 'peer-message', from, message: message.body});
        return;
      default:
        assertNever(message);
    }
  }

  return {
    vm,
    start,
    stop: () => {
      stopped = true;
    },
    receive,
    connected: peer => {
      stepMembership({kind: 'peer-connected', peer});
      stepRollout({kind: 'peer-connected', peer});
    },
    disconnected: peer => {
      stepMembership({kind: 'peer-disconnected', peer});
      stepRollout({kind: 'peer-disconnected', peer});
    },
    rollout: stepRollout,
    membership: stepMembership,
    view: () => membership.view(loop.nowMs()),
    generation: () => generation,
  };
}
