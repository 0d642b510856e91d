/**
 * The steering state machine of an entry VM. This module dispatches events to
 * the other modules and collects the actions that they emit.
 */
import {createCrashSuspicions} from '../quarantine/index.js';
import {createFailoverRegistry} from '../shifts/index.js';
import {createLinkBudgets} from '../links/index.js';
import {assertNever} from '../model/index.js';
import type {
  Configuration,
  Incarnation,
  MembershipView,
  RandomSource,
  RegionName,
  RequestId,
  VmId,
  ZoneName,
} from '../model/index.js';
import {handleRequestArrived} from './admissions.js';
import {
  handleAttemptAnswering,
  handleAttemptFinished,
} from './attempt_results.js';
import {applyConfiguration} from './configuration_change.js';
import type {SteeringContext} from './context.js';
import {createStartRecovery} from './start_recovery.js';
import {createFailoverController} from './failover_controller.js';
import {
  type SteeringParameters,
  defaultSteeringParameters,
} from './parameters.js';
import {createPeerLoads} from './peer_loads.js';
import {createPeerMessageHandler} from './peer_message_handler.js';
import {closeRequest} from './refusals.js';
import {createSlotLending} from './slot_lending.js';
import type {SteeringState} from './state.js';
import {buildStatus} from './status.js';
import {handleTargetLeaving, handleTargetReport} from './leaving_targets.js';
import {createTickHandler} from './tick_handler.js';
import type {
  Steering,
  SteeringAction,
  SteeringEvent,
  StepTime,
} from './types.js';
import {liftQuarantine} from './crash_reports.js';

export interface SteeringDependencies {
  readonly vm: VmId;
  readonly region: RegionName;
  readonly zone: ZoneName;
  readonly random: RandomSource;
  /**
   * Unique per process start. If set, the VM asks its peers about a previous
   * incarnation before it uses its slots; if absent, it assumes that there was
   * none.
   */
  readonly incarnation?: Incarnation | string;
  readonly parameters?: Partial<SteeringParameters>;
}

export function createSteering(dependencies: SteeringDependencies): Steering {
  const parameters = {...defaultSteeringParameters, ...dependencies.parameters};
  let configuration: Configuration | undefined;
  let view: MembershipView | undefined;
  let fresh = true;
  let time: StepTime = {nowMs: 0, wallMs: 0};
  let actions: SteeringAction[] = [];
  /** Earliest tick requested in this step, and the one already scheduled. */
  let requestedWakeMs = Infinity;
  let scheduledWakeMs = Infinity;

  const context: SteeringContext = {
    vm: dependencies.vm,
    region: dependencies.region,
    zone: dependencies.zone,
    incarnation: dependencies.incarnation,
    random: dependencies.random,
    parameters,
    time: () => time,
    configuration: () => configuration,
    view: () => view,
    fresh: () => fresh,
    emit: action => {
      actions.push(action);
    },
    note: note => {
      actions.push({kind: 'note', note});
    },
    send: (to, message) => {
      actions.push({kind: 'send-to-peer', to, message});
    },
    wakeAt: nowMs => {
      requestedWakeMs = Math.min(requestedWakeMs, nowMs);
    },
  };

  const state: SteeringState = {
    context,
    requests: new Map(),
    pools: new Map(),
    retryBudgets: new Map(),
    plannedMoves: new Map(),
    failovers: createFailoverRegistry(),
    crashSuspicions: createCrashSuspicions(parameters),
    links: createLinkBudgets({region: dependencies.region}),
    peerLoads: createPeerLoads(
      dependencies.random,
      parameters.poolLoadLifetimeMs,
    ),
    delayedReleases: [],
    scheduledHedges: [],
    counters: {attemptsStarted: 0},
    touchedPools: new Set(),
    knownIncarnations: new Map(),
  };
  const slotLending = createSlotLending(state);
  const failoverController = createFailoverController(state);
  const startRecovery = createStartRecovery(state);
  const tickHandler = createTickHandler(state, {
    slotLending,
    failoverController,
    startRecovery,
  });
  const peerMessageHandler = createPeerMessageHandler(state, {
    slotLending,
    failoverController,
    startRecovery,
  });

  function handle(event: SteeringEvent): void {
    switch (event.kind) {
      case 'configuration-accepted':
        handleConfigurationAccepted(event.configuration);
        return;
      case 'freshness-changed':
        fresh = event.fresh;
        return;
      case 'membership-changed':
        view = event.view;
        startRecovery.handleViewChanged(view);
        failoverController.handleViewChanged(view);
        return;
      case 'request-arrived':
        handleRequestArrived(state, event.request);
        return;
      case 'attempt-sent':
      case 'attempt-answering':
      case 'attempt-finished':
        handleAttemptProgress(event);
        return;
      case 'request-cancelled':
        handleRequestCancelled(event.request);
        return;
      case 'target-reported':
        handleTargetReport(state, event.report);
        return;
      case 'target-leaving':
        handleTargetLeaving(state, event.target, event.source);
        return;
      case 'peer-message':
        peerMessageHandler.handle(event.from, event.message);
        return;
      case 'quarantine-lifted':
        liftQuarantine(state, event.fingerprint);
        return;
      case 'tick':
        scheduledWakeMs = Infinity;
        tickHandler.tick();
        return;
      default:
        assertNever(event);
    }
  }

  function handleConfigurationAccepted(next: Configuration): void {
    const former = configuration?.generation;
    if (former !== undefined && next.generation <= former) {
      return;
    }
    configuration = next;
    const divisionChanged = applyConfiguration(state, next);
    // A skipped generation may have divided the slots differently.
    const skipped = former !== undefined && next.generation > former + 1;
    startRecovery.handleConfigurationApplied(divisionChanged || skipped);
    tickHandler.tick();
  }

  function handleAttemptProgress(
    event: Extract<SteeringEvent, {readonly attempt: number}>,
  ): void {
    const request = state.requests.get(event.request);
    const attempt = request?.attempts.get(event.attempt);
    if (!request || !attempt) {
      return;
    }
    switch (event.kind) {
      case 'attempt-sent':
        attempt.sent = true;
        return;
      case 'attempt-answering':
        attempt.sent = true;
        handleAttemptAnswering(state, request, attempt, event.contentLength);
        return;
      case 'attempt-finished':
        handleAttemptFinished(state, request, attempt, event.result);
        return;
      default:
        assertNever(event);
    }
  }

  function handleRequestCancelled(id: RequestId): void {
    const request = state.requests.get(id);
    if (request && !request.closed) {
      closeRequest(state, request);
    }
  }

  function step(
    event: SteeringEvent,
    stepTime: StepTime,
  ): readonly SteeringAction[] {
    time = stepTime;
    actions = [];
    requestedWakeMs = Infinity;
    handle(event);
    for (const pool of state.touchedPools) {
      slotLending.requestSlotsIfShort(pool);
    }
    state.touchedPools.clear();
    if (scheduledWakeMs < time.nowMs) {
      requestedWakeMs = time.nowMs;
      scheduledWakeMs = Infinity;
    }
    if (requestedWakeMs < scheduledWakeMs) {
      scheduledWakeMs = requestedWakeMs;
      actions.push({kind: 'wake-at', nowMs: requestedWakeMs});
    }
    return actions;
  }

  function status(statusTime: StepTime) {
    time = statusTime;
    return buildStatus(state);
  }

  return {step, status};
}
