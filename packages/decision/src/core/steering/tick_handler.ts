/** Time-driven work of steering: queues, hedges, leases, periodic messages. */
import type {ServiceName, VmId} from '../model/index.js';
import {serveQueue} from './admissions.js';
import {handleAttemptFinished} from './attempt_results.js';
import type {StartRecovery} from './start_recovery.js';
import type {FailoverController} from './failover_controller.js';
import {countFreeSlots, updateSlotLedger, countUsableSlots} from './pool.js';
import {selectSyncPeers} from './peer_groups.js';
import {startHedges} from './retrying.js';
import type {SlotLending} from './slot_lending.js';
import type {SteeringState} from './state.js';

export interface TickHandlerDependencies {
  readonly slotLending: SlotLending;
  readonly failoverController: FailoverController;
  readonly startRecovery: StartRecovery;
}

export interface TickHandler {
  tick(): void;
}

/** An attempt without a result this long after its deadline has timed out. */
const LOST_ATTEMPT_TIMEOUT_MS = 10_000;

export function createTickHandler(
  state: SteeringState,
  dependencies: TickHandlerDependencies,
): TickHandler {
  const {context} = state;
  const {slotLending, failoverController, startRecovery} = dependencies;
  let poolLoadsSentMs = -Infinity;
  let nextPeerIndex = 0;

  function tick(): void {
    if (!context.configuration()) {
      return;
    }
    releaseDelayedSlots();
    startRecovery.tick();
    failoverController.tick();
    startHedges(state);
    for (const pool of state.pools.values()) {
      updateSlotLedger(pool, context);
      serveQueue(state, pool);
      state.touchedPools.add(pool);
    }
    slotLending.returnIdleSlots();
    const {nowMs} = context.time();
    if (nowMs >= poolLoadsSentMs + context.parameters.poolLoadIntervalMs) {
      poolLoadsSentMs = nowMs;
      runPeriodicWork();
    }
    scheduleWakeUp();
  }

  function runPeriodicWork(): void {
    sendPoolLoad();
    endLostAttempts();
    reportRestoredTargets();
    for (const fingerprint of state.crashSuspicions.takeEnded(
      context.time().nowMs,
    )) {
      context.note({kind: 'quarantine-ended', fingerprint});
    }
  }

  function releaseDelayedSlots(): void {
    const {nowMs} = context.time();
    const {delayedReleases} = state;
    while (delayedReleases.length > 0 && delayedReleases[0]!.untilMs <= nowMs) {
      const released = delayedReleases.shift()!;
      released.pool.slotLedger.release(released.token);
    }
  }

  function sendPoolLoad(): void {
    const pools: [ServiceName, number, number][] = [];
    for (const pool of state.pools.values()) {
      const waiting = pool.queue.size();
      const free = Math.max(0, countFreeSlots(pool, context) - waiting);
      pools.push([pool.service, free, countUsableSlots(pool, context)]);
    }
    for (const peer of nextPoolLoadPeers()) {
      context.send(peer, {kind: 'pool-load', pools});
    }
  }

  /** Selects peers in turn, which bounds the message rate in a large fleet. */
  function nextPoolLoadPeers(): readonly VmId[] {
    const {poolLoadPeersPerRegion, poolLoadMessagesPerInterval} =
      context.parameters;
    const peers = selectSyncPeers(context, poolLoadPeersPerRegion);
    const count = Math.min(peers.length, poolLoadMessagesPerInterval);
    const chosen: VmId[] = [];
    for (let index = 0; index < count; index += 1) {
      chosen.push(peers[(nextPeerIndex + index) % peers.length]!);
    }
    nextPeerIndex =
      peers.length === 0 ? 0 : (nextPeerIndex + count) % peers.length;
    return chosen;
  }

  /** Prevents slot leaks if no `attempt-finished` event arrives. */
  function endLostAttempts(): void {
    const {nowMs} = context.time();
    for (const request of state.requests.values()) {
      for (const attempt of [...request.attempts.values()]) {
        if (nowMs > attempt.deadlineMs + LOST_ATTEMPT_TIMEOUT_MS) {
          handleAttemptFinished(state, request, attempt, {kind: 'timed-out'});
        }
      }
    }
  }

  function reportRestoredTargets(): void {
    const {nowMs} = context.time();
    for (const pool of state.pools.values()) {
      for (const record of pool.records.values()) {
        const {ejectedUntilMs, ejectionEndPending} = record;
        if (ejectionEndPending && ejectedUntilMs <= nowMs) {
          record.ejectionEndPending = false;
          context.note({kind: 'target-restored', target: record.target.id});
        }
      }
    }
  }

  function scheduleWakeUp(): void {
    context.wakeAt(poolLoadsSentMs + context.parameters.poolLoadIntervalMs);
    const [nextRelease] = state.delayedReleases;
    if (nextRelease) {
      context.wakeAt(nextRelease.untilMs);
    }
    for (const hedge of state.scheduledHedges) {
      context.wakeAt(hedge.atMs);
    }
    for (const pool of state.pools.values()) {
      for (const entry of pool.queue.entries()) {
        context.wakeAt(entry.deadlineMs);
      }
    }
  }

  return {tick};
}
