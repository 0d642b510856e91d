/** A steering that tries a service's targets in the order of their names. */
import type {
  Configuration,
  RequestMetadata,
  RequestId,
  Steering,
  SteeringAction,
  SteeringEvent,
  TargetId,
  VmId,
} from '@ibisbeam/decision';

interface Tracked {
  readonly facts: RequestMetadata;
  readonly untried: TargetId[];
  attempt: number;
}

export interface FixedSteeringOptions {
  /** Sends every request that was not relayed to this VM. */
  readonly relayTo?: VmId;
}

export interface FixedSteering extends Steering {
  readonly events: SteeringEvent[];
}

export function createFixedSteering(
  options: FixedSteeringOptions = {},
): FixedSteering {
  const events: SteeringEvent[] = [];
  const tracked = new Map<RequestId, Tracked>();
  const leaving = new Set<TargetId>();
  let configuration: Configuration | undefined;

  function next(entry: Tracked): SteeringAction {
    const {facts} = entry;
    entry.attempt += 1;
    const base = {
      request: facts.id,
      attempt: entry.attempt,
      deadlineMs: facts.deadlineMs,
      hedge: false,
    };
    if (options.relayTo && !facts.relayedFrom && entry.attempt === 1) {
      const {id, region} = configuration!.entryVms.get(options.relayTo)!;
      const destination = {kind: 'relay', vm: id, region} as const;
      return {kind: 'send-attempt', ...base, destination};
    }
    const target = entry.untried.shift();
    if (!target) {
      tracked.delete(facts.id);
      return {
        kind: 'refuse',
        request: facts.id,
        reason: 'no-healthy-target',
        outcome: 'not-run',
        retryAfterMs: 1_000,
      };
    }
    const destination = {kind: 'target', target} as const;
    return {kind: 'send-attempt', ...base, destination};
  }

  function arrived(facts: RequestMetadata): SteeringAction[] {
    const {targets} = configuration!.services.get(facts.service)!;
    const untried = targets.map(({id}) => id).filter(id => !leaving.has(id));
    const entry = {facts, untried, attempt: 0};
    tracked.set(facts.id, entry);
    return [next(entry)];
  }

  function finished(
    event: Extract<SteeringEvent, {kind: 'attempt-finished'}>,
  ): SteeringAction[] {
    const entry = tracked.get(event.request);
    if (!entry) {
      return [];
    }
    switch (event.result.kind) {
      case 'answered':
      case 'cancelled':
        tracked.delete(event.request);
        return [];
      case 'shed':
      case 'not-sent':
        return [next(entry)];
      case 'broken':
      case 'timed-out':
        tracked.delete(event.request);
        return [
          {
            kind: 'refuse',
            request: event.request,
            reason: 'target-failed',
            outcome: 'unknown',
          },
        ];
    }
  }

  function step(event: SteeringEvent): SteeringAction[] {
    events.push(event);
    switch (event.kind) {
      case 'configuration-accepted':
        configuration = event.configuration;
        return [];
      case 'request-arrived':
        return arrived(event.request);
      case 'attempt-finished':
        return finished(event);
      case 'target-leaving':
        leaving.add(event.target);
        return [];
      case 'request-cancelled': {
        const {request} = event;
        const entry = tracked.get(request);
        tracked.delete(request);
        return entry
          ? [{kind: 'cancel-attempt', request, attempt: entry.attempt}]
          : [];
      }
      default:
        return [];
    }
  }

  return {
    events,
    step,
    status: () => ({
      pools: [],
      quarantines: [],
      failovers: [],
      leavingTargets: [...leaving],
      ejectedTargets: [],
    }),
  };
}
