/** Gathers what this VM knows, and says what it cannot know. */
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
  ConfigurationAnswer,
  PoolStatusAnswer,
  StatusAnswer,
  VmStatusAnswer,
} from '../../core/operator_interface/index.js';
import type {TimerService} from '../../core/timers/index.js';

/** Time that each task has to say how it is. */
const TASK_TIMEOUT_MS = 1_000;

/** What the port remembers from published events. */
export interface KnownFacts {
  configuration?: Configuration;
  storeReachable?: boolean;
  storeSinceWallMs?: number;
  stopping: boolean;
}

interface Answers {
  readonly configuration?: ConfigurationStatus;
  readonly membership?: MembershipView;
  readonly forwarding?: ForwardingStatus;
}

export async function buildStatus(
  context: TaskContext,
  known: KnownFacts,
): Promise<StatusAnswer> {
  const {settings, timers} = context;
  const answers = await askTasks(context);
  const steering = answers.forwarding?.steering;
  const wallMs = timers.wallMs();
  return {
    vm: settings.vm.id,
    region: settings.vm.region,
    zone: settings.vm.zone,
    incarnation: context.incarnation,
    atMs: wallMs,
    configuration: answers.configuration
      ? configurationAnswer(context, answers.configuration)
      : undefined,
    store: {reachable: known.storeReachable, sinceMs: known.storeSinceWallMs},
    vms: vmStatuses(answers.membership, timers),
    silentRegions: [...(answers.membership?.silentRegions ?? [])],
    selfDoubt: answers.membership?.selfDoubt ?? false,
    stopping: known.stopping || (answers.forwarding?.stopping ?? false),
    inFlight: answers.forwarding?.inFlight,
    pools: (steering?.pools ?? []).map(poolAnswer),
    drains: drainStatuses(known.configuration, wallMs),
    shifts: openShifts(known.configuration),
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
    unknown: unknownFacts(context, known, answers),
  };
}

export async function askTasks(context: TaskContext): Promise<Answers> {
  const [configuration, membership, forwarding] = await Promise.all([
    context.ask<'configuration', ConfigurationStatus>(
      'configuration',
      reply => ({kind: 'status', reply}),
      TASK_TIMEOUT_MS,
    ),
    context.ask<'membership', MembershipView | undefined>(
      'membership',
      reply => ({kind: 'view', reply}),
      TASK_TIMEOUT_MS,
    ),
    context.ask<'forwarding', ForwardingStatus>(
      'forwarding',
      reply => ({kind: 'status', reply}),
      TASK_TIMEOUT_MS,
    ),
  ]);
  return {configuration, membership, forwarding};
}

export function configurationAnswer(
  context: TaskContext,
  status: ConfigurationStatus,
): ConfigurationAnswer {
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

function vmStatuses(
  view: MembershipView | undefined,
  timers: TimerService,
): VmStatusAnswer[] {
  const statuses: VmStatusAnswer[] = [];
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

function poolAnswer(pool: PoolStatus): PoolStatusAnswer {
  return {
    ...pool,
    inFlightByWorkspace: Object.fromEntries(pool.inFlightByWorkspace),
  };
}

function drainStatuses(
  configuration: Configuration | undefined,
  wallMs: number,
): StatusAnswer['drains'] {
  const statuses: StatusAnswer['drains'] = [];
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

function openShifts(
  configuration: Configuration | undefined,
): StatusAnswer['shifts'] {
  const shifts = configuration?.shifts ?? [];
  return shifts.filter(shift => shift.abortedAtMs === undefined);
}

function unknownFacts(
  context: TaskContext,
  known: KnownFacts,
  answers: Answers,
): string[] {
  const unknown = [
    'Slots in use at other VMs: each VM counts its own part; ask them all with --all.',
  ];
  if (!answers.configuration?.generation) {
    unknown.push('Any configuration: this VM has taken none yet.');
  } else if (!answers.configuration.fresh) {
    unknown.push(
      `Whether a newer configuration was accepted: ${answers.configuration.why}.`,
    );
  }
  if (known.storeReachable === undefined) {
    unknown.push("Whether the platform's store answers: not tried yet.");
  }
  for (const region of answers.membership?.silentRegions ?? []) {
    unknown.push(`How region ${region} is: none of its VMs was heard of.`);
  }
  for (const vm of answers.membership?.vms.values() ?? []) {
    if (vm.state === 'suspect') {
      unknown.push(`Whether VM ${vm.vm} runs: it was not heard of in time.`);
    }
  }
  if (!answers.membership) {
    unknown.push('Which VMs live: the membership task did not answer.');
  } else if (answers.membership.selfDoubt) {
    unknown.push(
      'Which VMs live: this VM was paused or cut off, and doubts itself first.',
    );
  }
  if (!answers.forwarding) {
    unknown.push('What is in flight here: the forwarding task did not answer.');
  }
  return unknown;
}
