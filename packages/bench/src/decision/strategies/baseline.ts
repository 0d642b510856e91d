/**
 * Baselines: each VM chooses by itself among the targets of its own region,
 * or of all regions when its own has none, and tries again up to twice.
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

/** What a baseline may look at when it chooses. */
export interface Sight {
  readonly random: RandomSource;
  /** Attempts of this VM that are in flight at the target. */
  inFlight(target: TargetId): number;
  report(target: TargetId): TargetReport | undefined;
  /** Counts the choices made so far. */
  readonly turn: number;
}

export type Choose = (targets: readonly Target[], sight: Sight) => Target;

interface Held {
  readonly facts: RequestMetadata;
  readonly tried: TargetId[];
}

export function createBaseline(name: string, choose: Choose): Strategy {
  return {
    name,
    boundsApply: false,
    prepare: () => context =>
      createBaselineSteering(context.vm.region, context.random, choose),
  };
}

function createBaselineSteering(
  region: RegionName,
  random: RandomSource,
  choose: Choose,
): Steering {
  const held = new Map<RequestId, Held>();
  const inFlight = new Map<TargetId, number>();
  const reports = new Map<TargetId, TargetReport>();
  const leaving = new Set<TargetId>();
  let configuration: Configuration | undefined;
  let view: MembershipView | undefined;
  let turn = 0;

  function count(target: TargetId, change: number): void {
    inFlight.set(target, (inFlight.get(target) ?? 0) + change);
  }

  function candidates(request: Held): readonly Target[] {
    const service = configuration?.services.get(request.facts.service);
    const usable = (service?.targets ?? []).filter(
      target =>
        !leaving.has(target.id) &&
        !request.tried.includes(target.id) &&
        !view?.silentRegions.has(target.region),
    );
    const near = usable.filter(target => target.region === region);
    return near.length > 0 ? near : usable;
  }

  function attempt(request: Held): readonly SteeringAction[] {
    const targets = candidates(request);
    if (targets.length === 0) {
      return refuse(request, 'not-run');
    }
    turn += 1;
    const target = choose(targets, {
      random,
      inFlight: id => inFlight.get(id) ?? 0,
      report: id => reports.get(id),
      turn,
    });
    request.tried.push(target.id);
    count(target.id, 1);
    return [
      {
        kind: 'send-attempt',
        request: request.facts.id,
        attempt: request.tried.length,
        destination: {kind: 'target', target: target.id},
        deadlineMs: request.facts.deadlineMs,
        hedge: false,
      },
    ];
  }

  function refuse(
    request: Held,
    outcome: 'not-run' | 'unknown',
  ): readonly SteeringAction[] {
    held.delete(request.facts.id);
    const reason = 'no-healthy-target';
    return [{kind: 'refuse', request: request.facts.id, reason, outcome}];
  }

  function finished(
    id: RequestId,
    number: number,
    result: AttemptResult,
  ): readonly SteeringAction[] {
    const request = held.get(id);
    if (!request) {
      return [];
    }
    count(request.tried[number - 1]!, -1);
    if (result.kind === 'answered') {
      held.delete(id);
      return [];
    }
    const notRun = result.kind === 'shed' || result.kind === 'not-sent';
    const again = notRun || request.facts.idempotent;
    if (again && request.tried.length < MAXIMUM_ATTEMPTS) {
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
        const request = {facts: event.request, tried: []};
        held.set(event.request.id, request);
        return attempt(request);
      }
      case 'attempt-finished':
        return finished(event.request, event.attempt, event.result);
      case 'request-cancelled':
        return cancel(event.request);
      default:
        return [];
    }
  }

  function cancel(id: RequestId): readonly SteeringAction[] {
    const request = held.get(id);
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
