/** Records the trace of a demonstration for the invariant checks. */
import {
  type Configuration,
  type Generation,
  type Outcome,
  type RefusalReason,
  type RequestId,
  type TargetId,
  type VmId,
  requestId,
} from '@ibisbeam/decision';
import {
  type Trace,
  type TraceEvent,
  type TracedTarget,
  checkTrace,
} from '@ibisbeam/invariants';
import type {TimerService} from '@ibisbeam/library';
import type {TargetEvent} from '../core/targets/index.js';

type SentEvent = Extract<TraceEvent, {kind: 'request-sent'}>;

export interface TraceRecorder {
  requestSent(event: Omit<SentEvent, 'kind' | 'atMs'>): void;
  requestEnded(
    request: RequestId,
    status: number,
    headers: Readonly<Record<string, unknown>>,
  ): void;
  requestBroken(request: RequestId): void;
  targetEvent(event: TargetEvent): void;
  leavingSigned(target: TargetId): void;
  stopBegan(vm: VmId): void;
  configurationAccepted(generation: Generation): void;
  configurationInForce(vm: VmId, generation: Generation): void;
  violations(configuration: Configuration): ReturnType<typeof checkTrace>;
}

export function createTraceRecorder(
  timers: Pick<TimerService, 'nowMs'>,
): TraceRecorder {
  const events: TraceEvent[] = [];

  function requestEnded(
    request: RequestId,
    status: number,
    headers: Readonly<Record<string, unknown>>,
  ): void {
    const atMs = timers.nowMs();
    const outcome = headers['ibisbeam-outcome'] as Outcome | undefined;
    if (outcome) {
      const reason: RefusalReason = 'target-failed';
      const end = {kind: 'refused', reason, outcome} as const;
      events.push({kind: 'request-ended', atMs, request, end});
      return;
    }
    const answerTo = requestId(String(headers['ibisbeam-request-id']));
    const end = {kind: 'answered', answerTo, whole: true} as const;
    events.push({kind: 'request-ended', atMs, request, end});
  }

  function targetEvent(event: TargetEvent): void {
    const atMs = timers.nowMs();
    const target = event.target as TargetId;
    const request = event.request as RequestId;
    switch (event.kind) {
      case 'entered':
        events.push({kind: 'target-entered', atMs, target, request});
        return;
      case 'run-started':
        events.push({kind: 'run-started', atMs, target, request});
        return;
      case 'left':
        events.push({kind: 'target-left', atMs, target, request});
        return;
    }
  }

  return {
    requestSent: event =>
      events.push({kind: 'request-sent', atMs: timers.nowMs(), ...event}),
    requestEnded,
    requestBroken: request =>
      events.push({
        kind: 'request-ended',
        atMs: timers.nowMs(),
        request,
        end: {kind: 'no-answer'},
      }),
    targetEvent,
    leavingSigned: target =>
      events.push({kind: 'leaving-signed', atMs: timers.nowMs(), target}),
    stopBegan: vm =>
      events.push({kind: 'stop-began', atMs: timers.nowMs(), vm}),
    configurationAccepted: generation =>
      events.push({
        kind: 'configuration-accepted',
        atMs: timers.nowMs(),
        generation,
      }),
    configurationInForce: (vm, generation) =>
      events.push({
        kind: 'configuration-in-force',
        atMs: timers.nowMs(),
        vm,
        generation,
      }),
    violations: configuration =>
      checkTrace({setup: buildSetup(configuration), events}),
  };
}

function buildSetup(configuration: Configuration): Trace['setup'] {
  const targets = new Map<TargetId, TracedTarget>();
  for (const [id, {service, target}] of configuration.targets) {
    targets.set(id, {service, region: target.region, slots: target.slots});
  }
  return {
    targets,
    links: configuration.links.map(link => ({
      from: link.from,
      to: link.to,
      usableBitsPerSecond: link.bitsPerSecond * link.usableFraction,
    })),
    shiftCaps: new Map(),
    cohorts: 1_000,
  };
}
