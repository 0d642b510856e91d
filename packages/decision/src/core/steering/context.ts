/** Identity, time, inputs and outputs shared by the modules of steering. */
import type {
  Configuration,
  Incarnation,
  MembershipView,
  RandomSource,
  RegionName,
  VmId,
  ZoneName,
} from '../model/index.js';
import type {SteeringParameters} from './parameters.js';
import type {SteeringPeerMessage} from './peer_messages.js';
import type {SteeringAction, SteeringNote, StepTime} from './types.js';

export interface SteeringContext {
  readonly vm: VmId;
  readonly region: RegionName;
  readonly zone: ZoneName;
  readonly incarnation?: Incarnation | string;
  readonly random: RandomSource;
  readonly parameters: SteeringParameters;
  /** Time of the current step. */
  time(): StepTime;
  configuration(): Configuration | undefined;
  view(): MembershipView | undefined;
  /** False while the configuration may be older than the staleness bound. */
  fresh(): boolean;
  emit(action: SteeringAction): void;
  note(note: SteeringNote): void;
  send(to: VmId, message: SteeringPeerMessage): void;
  /** Requests a tick no later than this time. */
  wakeAt(nowMs: number): void;
}

/**
 * Live VMs of a region, except this one. While there is no membership view, all
 * configured VMs count as live.
 */
export function findLivePeers(
  context: SteeringContext,
  region: RegionName,
): readonly VmId[] {
  const configuration = context.configuration();
  const view = context.view();
  const vms: VmId[] = [];
  for (const vm of configuration?.entryVms.values() ?? []) {
    if (vm.region !== region || vm.id === context.vm) {
      continue;
    }
    const seen = view?.vms.get(vm.id);
    if (!view || seen?.state === 'live') {
      vms.push(vm.id);
    }
  }
  return vms;
}
