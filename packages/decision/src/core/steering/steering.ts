/**
 * The steering state machine: takes events one at a time and answers each
 * with actions. The parts beside this file hold the decisions; this one
 * passes events to them.
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
import {requestArrived} from './admissions.js';
import {attemptAnswering, attemptFinished} from './attempt_results.js';
import {takeConfiguration} from './configuration_change.js';
import type {SteeringContext} from './context.js';
import {createEarlierLives} from './earlier_lives.js';
import {createFailoverWatch} from './failover_watch.js';
import {
  type SteeringParameters,
  defaultSteeringParameters,
} from './parameters.js';
import {createPeerLoads} from './peer_loads.js';
import {createPeerMessageHandler} from './peer_message_handler.js';
import {close} from './refusals.js';
import {createSlotLending} from './slot_lending.js';
import type {SteeringState} from './state.js';
import {statusOf} from './status.js';
import {targetLeaving, targetReported} from './target_signs.js';
import {createTicks} from './ticks.js';
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
   * Unique to this life of the VM. With it, a started VM asks its peers for
   * an earlier life before it uses its slots; without, there was none.
   */
  readonly incarnation?: Incarnation | string;
  readonly parameters?: Partial<SteeringParameters>;
}

/** Builds the steering of one entry VM. */
export function createSteering(dependencies: SteeringDependencies): Steering {
  const parameters = {...defaultSteeringParameters, ...dependencies.parameters};
  let configuration: Configuration | undefined;
  let view: MembershipView | undefined;
  let fresh = true;
  let time: StepTime = {nowMs: 0, wallMs: 0};
  let actions: SteeringAction[] = [];
  /** Earliest time asked for in this step, and the one the driver has. */
  let wantedWakeMs = Infinity;
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
      wantedWakeMs = Math.min(wantedWakeMs, nowMs);
    },
  };

  const state: SteeringState = {
    context,
    requests: new Map(),
    pools: new Map(),
    budgets: new Map(),
    moves: new Map(),
    failovers: createFailoverRegistry(),
    suspicions: createCrashSuspicions(parameters),
    links: createLinkBudgets({region: dependencies.region}),
    peers: createPeerLoads(dependencies.random, parameters.poolLoadLifetimeMs),
    cooling: [],
    hedges: [],
    counters: {decisions: 0},
    touchedPools: new Set(),
    knownLives: new Map(),
  };
  const lending = createSlotLending(state);
  const failoverWatch = createFailoverWatch(state);
  const earlierLives = createEarlierLives(state);
  const ticks = createTicks(state, {lending, failoverWatch, earlierLives});
  const peerMessages = createPeerMessageHandler(state, {
    lending,
    failoverWatch,
    earlierLives,
  });

  function handle(event: SteeringEvent): void {
    switch (event.kind) {
      case 'configuration-accepted':
        configurationAccepted(event.configuration);
        return;
      case 'freshness-changed':
        fresh = event.fresh;
        return;
      case 'membership-changed':
        view = event.view;
        earlierLives.viewChanged(view);
        failoverWatch.viewChanged(view);
        return;
      case 'request-arrived':
        requestArrived(state, event.request);
        return;
      case 'attempt-sent':
      case 'attempt-answering':
      case 'attempt-finished':
        attemptProgressed(event);
        return;
      case 'request-cancelled':
        requestCancelled(event.request);
        return;
      case 'target-reported':
        targetReported(state, event.report);
        return;
      case 'target-leaving':
        targetLeaving(state, event.target, event.source);
        return;
      case 'peer-message':
        peerMessages.handle(event.from, event.message);
        return;
      case 'quarantine-lifted':
        liftQuarantine(state, event.fingerprint);
        return;
      case 'tick':
        scheduledWakeMs = Infinity;
        ticks.tick();
        return;
      default:
        assertNever(event);
    }
  }

  function configurationAccepted(next: Configuration): void {
    const former = configuration?.generation;
    if (former !== undefined && next.generation <= former) {
      return;
    }
    configuration = next;
    const divisionChanged = takeConfiguration(state, next);
    // A generation in between may have divided the slots otherwise.
    const skipped = former !== undefined && next.generation > former + 1;
    earlierLives.configurationTaken(divisionChanged || skipped);
    ticks.tick();
  }

  function attemptProgressed(
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
        attemptAnswering(state, request, attempt, event.contentLength);
        return;
      case 'attempt-finished':
        attemptFinished(state, request, attempt, event.result);
        return;
      default:
        assertNever(event);
    }
  }

  function requestCancelled(id: RequestId): void {
    const request = state.requests.get(id);
    if (request && !request.closed) {
      close(state, request);
    }
  }

  function step(
    event: SteeringEvent,
    stepTime: StepTime,
  ): readonly SteeringAction[] {
    time = stepTime;
    actions = [];
    wantedWakeMs = Infinity;
    handle(event);
    for (const pool of state.touchedPools) {
      lending.considerAsking(pool);
    }
    state.touchedPools.clear();
    if (scheduledWakeMs < time.nowMs) {
      wantedWakeMs = time.nowMs;
      scheduledWakeMs = Infinity;
    }
    if (wantedWakeMs < scheduledWakeMs) {
      scheduledWakeMs = wantedWakeMs;
      actions.push({kind: 'wake-at', nowMs: wantedWakeMs});
    }
    return actions;
  }

  function status(statusTime: StepTime) {
    time = statusTime;
    return statusOf(state);
  }

  return {step, status};
}
