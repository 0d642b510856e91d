/** What steering does as time passes without other events. */
import type {ServiceName, VmId} from '../model/index.js';
import {serveQueue} from './admissions.js';
import {attemptFinished} from './attempt_results.js';
import type {EarlierLives} from './earlier_lives.js';
import type {FailoverWatch} from './failover_watch.js';
import {advancePool, freeSlots, workingSlots} from './pool.js';
import {informedPeers} from './peer_groups.js';
import {startHedges} from './retrying.js';
import type {SlotLending} from './slot_lending.js';
import type {SteeringState} from './state.js';

export interface TickParts {
  readonly lending: SlotLending;
  readonly failoverWatch: FailoverWatch;
  readonly earlierLives: EarlierLives;
}

export interface Ticks {
  tick(): void;
}

/** Attempts whose end was never reported are given up this long after. */
const LOST_ATTEMPT_MS = 10_000;

export function createTicks(state: SteeringState, parts: TickParts): Ticks {
  const {context} = state;
  const {lending, failoverWatch, earlierLives} = parts;
  let loadSentMs = -Infinity;
  let loadTurn = 0;

  function tick(): void {
    if (!context.configuration()) {
      return;
    }
    releaseCooled();
    earlierLives.tick();
    failoverWatch.tick();
    startHedges(state);
    for (const pool of state.pools.values()) {
      advancePool(pool, context);
      serveQueue(state, pool);
      state.touchedPools.add(pool);
    }
    lending.returnIdle();
    const {nowMs} = context.time();
    if (nowMs >= loadSentMs + context.parameters.poolLoadIntervalMs) {
      loadSentMs = nowMs;
      everyInterval();
    }
    planWake();
  }

  function everyInterval(): void {
    sendPoolLoad();
    dropLostAttempts();
    noteRestoredTargets();
    for (const fingerprint of state.suspicions.takeEnded(
      context.time().nowMs,
    )) {
      context.note({kind: 'quarantine-ended', fingerprint});
    }
  }

  function releaseCooled(): void {
    const {nowMs} = context.time();
    const {cooling} = state;
    while (cooling.length > 0 && cooling[0]!.untilMs <= nowMs) {
      const cooled = cooling.shift()!;
      cooled.pool.holdings.release(cooled.token);
    }
  }

  function sendPoolLoad(): void {
    const pools: [ServiceName, number, number][] = [];
    for (const pool of state.pools.values()) {
      const waiting = pool.queue.size();
      const free = Math.max(0, freeSlots(pool, context) - waiting);
      pools.push([pool.service, free, workingSlots(pool, context)]);
    }
    for (const peer of nextLoadPeers()) {
      context.send(peer, {kind: 'pool-load', pools});
    }
  }

  /** So many peers in turn that the messages stay few in a large fleet. */
  function nextLoadPeers(): readonly VmId[] {
    const {poolLoadPeersPerRegion, poolLoadMessages} = context.parameters;
    const peers = informedPeers(context, poolLoadPeersPerRegion);
    const count = Math.min(peers.length, poolLoadMessages);
    const chosen: VmId[] = [];
    for (let index = 0; index < count; index += 1) {
      chosen.push(peers[(loadTurn + index) % peers.length]!);
    }
    loadTurn = peers.length === 0 ? 0 : (loadTurn + count) % peers.length;
    return chosen;
  }

  /** Keeps slots from being lost if the driver never reports an end. */
  function dropLostAttempts(): void {
    const {nowMs} = context.time();
    for (const request of state.requests.values()) {
      for (const attempt of [...request.attempts.values()]) {
        if (nowMs > attempt.deadlineMs + LOST_ATTEMPT_MS) {
          attemptFinished(state, request, attempt, {kind: 'timed-out'});
        }
      }
    }
  }

  function noteRestoredTargets(): void {
    const {nowMs} = context.time();
    for (const pool of state.pools.values()) {
      for (const record of pool.records.values()) {
        const {ejectedUntilMs, ejectionEndPending: ejectionNoted} = record;
        if (ejectionNoted && ejectedUntilMs <= nowMs) {
          record.ejectionEndPending = false;
          context.note({kind: 'target-restored', target: record.target.id});
        }
      }
    }
  }

  function planWake(): void {
    context.wakeAt(loadSentMs + context.parameters.poolLoadIntervalMs);
    const [cooling] = state.cooling;
    if (cooling) {
      context.wakeAt(cooling.untilMs);
    }
    for (const hedge of state.hedges) {
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
