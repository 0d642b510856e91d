/** State shared by the modules of steering. */
import type {SlotToken} from '../capacity/index.js';
import type {LinkBudgets} from '../links/index.js';
import type {
  RequestId,
  ServiceName,
  ServicePolicy,
  TargetId,
  VmId,
  WorkspaceName,
} from '../model/index.js';
import type {CrashSuspicions} from '../quarantine/index.js';
import {type RetryBudget, createRetryBudget} from '../retries/index.js';
import type {TargetRecord} from '../routing/index.js';
import type {FailoverRegistry, PlannedMove} from '../shifts/index.js';
import type {SteeringContext} from './context.js';
import type {PeerLoads} from './peer_loads.js';
import type {Pool} from './pool.js';
import type {RequestTable} from './requests.js';

export interface SteeringState {
  readonly context: SteeringContext;
  readonly requests: RequestTable;
  readonly pools: Map<ServiceName, Pool>;
  readonly retryBudgets: Map<string, RetryBudget>;
  /** Planned moves of the current configuration, by workspace and service. */
  readonly plannedMoves: Map<string, readonly PlannedMove[]>;
  readonly failovers: FailoverRegistry;
  readonly crashSuspicions: CrashSuspicions;
  readonly links: LinkBudgets;
  readonly peerLoads: PeerLoads;
  /**
   * Slots of interrupted attempts. Each stays occupied for the cancellation
   * grace period, because the target may still be running the request.
   */
  readonly delayedReleases: {
    readonly token: SlotToken;
    readonly pool: Pool;
    untilMs: number;
  }[];
  readonly scheduledHedges: {
    readonly request: RequestId;
    readonly atMs: number;
  }[];
  readonly counters: {attemptsStarted: number};
  /** Pools to check for a slot shortage at the end of this step. */
  readonly touchedPools: Set<Pool>;
  readonly knownIncarnations: Map<VmId, KnownIncarnation>;
}

/** Another VM's latest incarnation, as seen in the membership views. */
export interface KnownIncarnation {
  readonly incarnation: string;
  /** When it was first seen as gone; absent while it may still run. */
  readonly endedMs?: number;
  /** When the incarnation before this one ended. */
  readonly previousEndedMs?: number;
}

export function findPolicy(
  state: SteeringState,
  workspace: WorkspaceName,
  service: ServiceName,
): ServicePolicy | undefined {
  const configuration = state.context.configuration();
  return configuration?.workspaces.get(workspace)?.get(service)?.policy;
}

export function getRetryBudget(
  state: SteeringState,
  workspace: WorkspaceName,
  service: ServiceName,
  policy: ServicePolicy,
): RetryBudget {
  const key = `${workspace}/${service}`;
  const known = state.retryBudgets.get(key);
  if (known) {
    return known;
  }
  const created = createRetryBudget(
    policy.retryBudgetFraction,
    policy.hedging.enabled ? policy.hedging.budgetFraction : 0,
    state.context.parameters.maximumRetryTokens,
  );
  state.retryBudgets.set(key, created);
  return created;
}

/** Finds the record and pool of a target in this region. */
export function findTarget(
  state: SteeringState,
  target: TargetId,
): {readonly pool: Pool; readonly record: TargetRecord} | undefined {
  const service = state.context.configuration()?.targets.get(target)?.service;
  const pool = service === undefined ? undefined : state.pools.get(service);
  const record = pool?.records.get(target);
  return pool && record && {pool, record};
}
