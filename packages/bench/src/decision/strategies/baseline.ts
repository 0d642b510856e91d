/**
 * Steering shared by the baseline strategies: each VM chooses independently
 * among the targets of its own region, or of all regions if its own has none,
 * and retries at most twice.
 */
import type {
  AttemptResult,
  Configuration,
  MembershipView,
  RandomSource,
  RegionName,
  RequestMetadata,
  RequestId,
  Steering,
  SteeringAction,
  SteeringEvent,
  SteeringStatus,
  Target,
  TargetId,
  TargetReport,
} from '@ibisbeam/decision';
import type {Strategy} from '../types.js';

const MAXIMUM_ATTEMPTS = 3;

/** Information available to a baseline when it chooses a target. */
export interface ChoiceContext {
  readonly random: RandomSource;
  /** Attempts of this VM in flight at the target. */
  inFlight(target: TargetId): number;
  report(target: TargetId): TargetReport | undefined;
  /** Number of choices made by this VM, including the current one. */
  readonly choiceCount: number;
}

export type ChooseTarget = (
  targets: readonly Target[],
  sight: ChoiceContext,
) => Target;

interface PendingRequest {
  readonly metadata: RequestMetadata;
  readonly tried: TargetId[];
}

export function createBaseline(name: string, choose: ChooseTarget): Strategy {
  return {
    name,
    boundsApply: false,
    createFactory: () => context =>
      createBaselineSteering(context.vm.region, context.random, choose),
  };
}

function createBaselineSteering(
  region: RegionName,
  random: RandomSource,
  choose: ChooseTarget,
): Steering {
  const pending = new Map<RequestId, PendingRequest>();
  const inFlight = new Map<TargetId, number>();
  const reports = new Map<TargetId, TargetReport>();
  const leaving = new Set<TargetId>();
  let configuration: Configuration | undefined;
  let view: MembershipView | undefined;
  let choiceCount = 0;

  function count(target: TargetId, change: number): void {
    inFlight.set(target, (inFlight.get(target) ?? 0) + change);
  }

  function candidates(request: PendingRequest): readonly Target[] {
    const service = configuration?.services.get(request.metadata.service);
    const usable = (service?.targets ?? []).filter(
      target =>
        !leaving.has(target.id) &&
        !request.tried.includes(target.id) &&
        !view?.silentRegions.has(target.region),
    );
    const local = usable.filter(target => target.region === region);
    return local.length > 0 ? local : usable;
  }

  function attempt(request: PendingRequest): readonly SteeringAction[] {
    const targets = candidates(request);
    if (targets.length === 0) {
      return refuse(request, 'not-run');
    }
    choiceCount += 1;
    const target = choose(targets, {
      random,
      inFlight: id => inFlight.get(id) ?? 0,
      report: id => reports.get(id),
      choiceCount: choiceCount,
    });
    request.tried.push(target.id);
    count(target.id, 1);
    return [
      {
        kind: 'send-attempt',
        request: request.metadata.id,
        attempt: request.tried.length,
        destination: {kind: 'target', target: target.id},
        deadlineMs: request.metadata.deadlineMs,
        hedge: false,
      },
    ];
  }

  function refuse(
    request: PendingRequest,
    outcome: 'not-run' | 'unknown',
  ): readonly SteeringAction[] {
    pending.delete(request.metadata.id);
    const reason = 'no-healthy-target';
    return [{kind: 'refuse', request: request.metadata.id, reason, outcome}];
  }

  function finishAttempt(
    id: RequestId,
    number: number,
    result: AttemptResult,
  ): readonly SteeringAction[] {
    const request = pending.get(id);
    if (!request) {
      return [];
    }
    count(request.tried[number - 1]!, -1);
    if (result.kind === 'answered') {
      pending.delete(id);
      return [];
    }
    const notRun = result.kind === 'shed' || result.kind === 'not-sent';
    const mayRetry = notRun || request.metadata.idempotent;
    if (mayRetry && request.tried.length < MAXIMUM_ATTEMPTS) {
      return attempt(request);
    }
    return refuse(request, notRun ? 'not-run' : 'unknown');
  }

  function step(event: SteeringEvent): readonly SteeringAction[] {
    switch (event.kind) {
      case 'configuration-accepted':
        configuration = event.configuration;
        return [];
      case 'membership-changed':
        view = event.view;
        return [];
      case 'target-reported':
        reports.set(event.report.target, event.report);
        return [];
      case 'target-leaving':
        leaving.add(event.target);
        return [];
      case 'request-arrived': {
        const request = {metadata: event.request, tried: []};
        pending.set(event.request.id, request);
        return attempt(request);
      }
      case 'attempt-finished':
        return finishAttempt(event.request, event.attempt, event.result);
      case 'request-cancelled':
        return cancel(event.request);
      default:
        return [];
    }
  }

  function cancel(id: RequestId): readonly SteeringAction[] {
    const request = pending.get(id);
    if (!request) {
      return [];
    }
    const number = request.tried.length;
    return [{kind: 'cancel-attempt', request: id, attempt: number}];
  }

  return {step, status: () => EMPTY_STATUS};
}

export const EMPTY_STATUS: SteeringStatus = {
  pools: [],
  quarantines: [],
  failovers: [],
  leavingTargets: [],
  ejectedTargets: [],
};
