/** Steering that tries the targets of a service in configuration order. */
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

interface TrackedRequest {
  readonly requestMetadata: RequestMetadata;
  readonly untriedTargets: TargetId[];
  attempt: number;
}

export interface FixedSteeringOptions {
  /**
   * Relays the first attempt of every request that was not relayed yet to this
   * VM.
   */
  readonly relayTo?: VmId;
}

export interface FixedSteering extends Steering {
  readonly events: SteeringEvent[];
}

export function createFixedSteering(
  options: FixedSteeringOptions = {},
): FixedSteering {
  const events: SteeringEvent[] = [];
  const tracked = new Map<RequestId, TrackedRequest>();
  const leaving = new Set<TargetId>();
  let configuration: Configuration | undefined;

  function nextAction(entry: TrackedRequest): SteeringAction {
    const {requestMetadata} = entry;
    entry.attempt += 1;
    const commonFields = {
      request: requestMetadata.id,
      attempt: entry.attempt,
      deadlineMs: requestMetadata.deadlineMs,
      hedge: false,
    };
    if (
      options.relayTo &&
      !requestMetadata.relayedFrom &&
      entry.attempt === 1
    ) {
      const {id, region} = configuration!.entryVms.get(options.relayTo)!;
      const destination = {kind: 'relay', vm: id, region} as const;
      return {kind: 'send-attempt', ...commonFields, destination};
    }
    const target = entry.untriedTargets.shift();
    if (!target) {
      tracked.delete(requestMetadata.id);
      return {
        kind: 'refuse',
        request: requestMetadata.id,
        reason: 'no-healthy-target',
        outcome: 'not-run',
        retryAfterMs: 1_000,
      };
    }
    const destination = {kind: 'target', target} as const;
    return {kind: 'send-attempt', ...commonFields, destination};
  }

  function onRequestArrived(
    requestMetadata: RequestMetadata,
  ): SteeringAction[] {
    const {targets} = configuration!.services.get(requestMetadata.service)!;
    const untriedTargets = targets
      .map(({id}) => id)
      .filter(id => !leaving.has(id));
    const entry = {requestMetadata, untriedTargets, attempt: 0};
    tracked.set(requestMetadata.id, entry);
    return [nextAction(entry)];
  }

  function onAttemptFinished(
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
        return [nextAction(entry)];
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
        return onRequestArrived(event.request);
      case 'attempt-finished':
        return onAttemptFinished(event);
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
