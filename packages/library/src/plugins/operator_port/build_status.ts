/** Collects the status of this VM and lists what it cannot determine. */
import {
  type Configuration,
  type MembershipView,
  type PoolStatus,
  computeEffectiveDrainProgress,
  isDrainOpen,
} from '@ibisbeam/decision';
import type {TaskContext} from '../../core/kernel/index.js';
import type {
  ConfigurationStatus,
  ForwardingStatus,
} from '../../core/messages/index.js';
import type {
  ConfigurationResponse,
  PoolStatusResponse,
  StatusResponse,
  VmStatusResponse,
} from '../../core/operator_interface/index.js';
import type {TimerService} from '../../core/timers/index.js';

/** Time in which each task must answer; a silent one is listed as unknown. */
const TASK_QUERY_TIMEOUT_MS = 1_000;

/** State taken from published events. */
export interface ObservedState {
  configuration?: Configuration;
  storeReachable?: boolean;
  /** Unix time in milliseconds of the last change of `storeReachable`. */
  storeReachabilitySinceWallMs?: number;
  stopping: boolean;
}

interface TaskAnswers {
  readonly configuration?: ConfigurationStatus;
  readonly membership?: MembershipView;
  readonly forwarding?: ForwardingStatus;
}

export async function buildStatusResponse(
  context: TaskContext,
  observed: ObservedState,
): Promise<StatusResponse> {
  const {settings, timers} = context;
  const answers = await queryTaskStatuses(context);
  const steering = answers.forwarding?.steering;
  const wallMs = timers.wallMs();
  return {
    vm: settings.vm.id,
    region: settings.vm.region,
    zone: settings.vm.zone,
    incarnation: context.incarnation,
    atMs: wallMs,
    configuration: answers.configuration
      ? buildConfigurationResponse(context, answers.configuration)
      : undefined,
    store: {
      reachable: observed.storeReachable,
      sinceMs: observed.storeReachabilitySinceWallMs,
    },
    vms: buildVmStatuses(answers.membership, timers),
    silentRegions: [...(answers.membership?.silentRegions ?? [])],
    selfDoubt: answers.membership?.selfDoubt ?? false,
    stopping: observed.stopping || (answers.forwarding?.stopping ?? false),
    inFlight: answers.forwarding?.inFlight,
    pools: (steering?.pools ?? []).map(buildPoolStatus),
    drains: buildDrainStatuses(observed.configuration, wallMs),
    shifts: listOpenShifts(observed.configuration),
    failovers: (steering?.failovers ?? []).map(failover => ({
      from: failover.from,
      startedAtMs: failover.startedAtWallMs,
      fraction: failover.fraction,
    })),
    leavingTargets: [...(steering?.leavingTargets ?? [])],
    ejectedTargets: [...(steering?.ejectedTargets ?? [])],
    quarantines: (steering?.quarantines ?? []).map(quarantine => ({
      fingerprint: quarantine.fingerprint,
      targetsLost: quarantine.targetsLost,
      timeLeftMs: Math.max(0, quarantine.untilMs - timers.nowMs()),
    })),
    unknown: describeUnknowns(context, observed, answers),
  };
}

export async function queryTaskStatuses(
  context: TaskContext,
): Promise<TaskAnswers> {
  const [configuration, membership, forwarding] = await Promise.all([
    context.ask<'configuration', ConfigurationStatus>(
      'configuration',
      reply => ({kind: 'status', reply}),
      TASK_QUERY_TIMEOUT_MS,
    ),
    context.ask<'membership', MembershipView | undefined>(
      'membership',
      reply => ({kind: 'view', reply}),
      TASK_QUERY_TIMEOUT_MS,
    ),
    context.ask<'forwarding', ForwardingStatus>(
      'forwarding',
      reply => ({kind: 'status', reply}),
      TASK_QUERY_TIMEOUT_MS,
    ),
  ]);
  return {configuration, membership, forwarding};
}

export function buildConfigurationResponse(
  context: TaskContext,
  status: ConfigurationStatus,
): ConfigurationResponse {
  return {
    vm: context.settings.vm.id,
    incarnation: context.incarnation,
    generation: status.generation,
    inForceSinceMs: status.inForceSinceWallMs,
    newestHeard: status.newestHeard,
    watching: status.watching,
    fresh: status.fresh,
    why: status.why,
  };
}

function buildVmStatuses(
  view: MembershipView | undefined,
  timers: TimerService,
): VmStatusResponse[] {
  const statuses: VmStatusResponse[] = [];
  for (const vm of view?.vms.values() ?? []) {
    const {lastHeardMs, ...rest} = vm;
    const heardAgoMs =
      lastHeardMs === undefined
        ? undefined
        : Math.max(0, timers.nowMs() - lastHeardMs);
    statuses.push({...rest, heardAgoMs});
  }
  return statuses;
}

function buildPoolStatus(pool: PoolStatus): PoolStatusResponse {
  return {
    ...pool,
    inFlightByWorkspace: Object.fromEntries(pool.inFlightByWorkspace),
  };
}

function buildDrainStatuses(
  configuration: Configuration | undefined,
  wallMs: number,
): StatusResponse['drains'] {
  const statuses: StatusResponse['drains'] = [];
  if (!configuration) {
    return statuses;
  }
  for (const drain of configuration.drains) {
    const progress = computeEffectiveDrainProgress(
      configuration,
      drain,
      wallMs,
    );
    if (isDrainOpen(drain, wallMs) || progress.fraction > 0) {
      statuses.push({drain, ...progress});
    }
  }
  return statuses;
}

function listOpenShifts(
  configuration: Configuration | undefined,
): StatusResponse['shifts'] {
  const shifts = configuration?.shifts ?? [];
  return shifts.filter(shift => shift.abortedAtMs === undefined);
}

function describeUnknowns(
  context: TaskContext,
  observed: ObservedState,
  answers: TaskAnswers,
): string[] {
  const unknown = [
    'Slots in use at other VMs: each VM counts only its own; use --all to query all VMs.',
  ];
  if (!answers.configuration?.generation) {
    unknown.push('Any configuration: this VM has not received one yet.');
  } else if (!answers.configuration.fresh) {
    unknown.push(
      `Whether a newer configuration was accepted: ${answers.configuration.why}.`,
    );
  }
  if (observed.storeReachable === undefined) {
    unknown.push("Whether the platform's store answers: not tried yet.");
  }
  for (const region of answers.membership?.silentRegions ?? []) {
    unknown.push(
      `How region ${region} is: none of its VMs has been heard from.`,
    );
  }
  for (const vm of answers.membership?.vms.values() ?? []) {
    if (vm.state === 'suspect') {
      unknown.push(
        `Whether VM ${vm.vm} is running: it was not heard from in time.`,
      );
    }
  }
  if (!answers.membership) {
    unknown.push('Which VMs are live: the membership task did not answer.');
  } else if (answers.membership.selfDoubt) {
    unknown.push(
      'Which VMs are live: this VM was paused or cut off, so its own view is in doubt.',
    );
  }
  if (!answers.forwarding) {
    unknown.push(
      'Which requests are in flight on this VM: the forwarding task did not answer.',
    );
  }
  return unknown;
}
