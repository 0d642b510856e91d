/**
 * Earlier incarnations of VMs. What an earlier life had in flight at targets
 * may still run there, so a VM that has started asks its peers whether they
 * knew one, and leaves its slots alone for as long as that may matter.
 */
import type {MembershipView, VmId} from '../model/index.js';
import {everyPeer} from './crash_reports.js';
import type {SteeringState} from './state.js';

export interface EarlierLives {
  /** Holds the new VM's slots back until peers have had time to answer. */
  started(): void;
  tick(): void;
  viewChanged(view: MembershipView): void;
  /** Answers a VM that has started. */
  answer(to: VmId, incarnation: string | undefined): void;
  /** A peer knew an earlier life of this VM. */
  known(ageMs: number): void;
}

/** Answers count only this long after the start. */
const ANSWERS_UNTIL_MS = 10_000;
const ASK_INTERVAL_MS = 500;
const ASK_UNTIL_MS = 3_000;

export function createEarlierLives(state: SteeringState): EarlierLives {
  const {context, knownLives} = state;
  let startedMs: number | undefined;
  let askedMs = -Infinity;

  function started(): void {
    const {nowMs} = context.time();
    const alone = everyPeer(state).length === 0;
    if (startedMs !== undefined || context.incarnation === undefined || alone) {
      return;
    }
    startedMs = nowMs;
    const untilMs = nowMs + context.parameters.startAnswerBoundMs;
    for (const pool of state.pools.values()) {
      pool.growth.holdUntil(untilMs);
    }
    context.wakeAt(untilMs);
    ask(nowMs);
  }

  function ask(nowMs: number): void {
    askedMs = nowMs;
    for (const peer of everyPeer(state)) {
      context.send(peer, {
        kind: 'failovers-wanted',
        incarnation: context.incarnation,
      });
    }
  }

  function tick(): void {
    const {nowMs} = context.time();
    const asks = startedMs !== undefined && nowMs - startedMs < ASK_UNTIL_MS;
    if (asks && nowMs - askedMs >= ASK_INTERVAL_MS) {
      ask(nowMs);
    }
  }

  function viewChanged(view: MembershipView): void {
    const {nowMs} = context.time();
    for (const [vm, seen] of view.vms) {
      if (seen.incarnation === undefined) {
        continue;
      }
      const known = knownLives.get(vm);
      const same = known?.incarnation === seen.incarnation;
      const previousEndedMs = known && (known.endedMs ?? nowMs);
      let endedMs = same ? known.endedMs : undefined;
      if (seen.state === 'gone') {
        endedMs ??= nowMs;
      }
      knownLives.set(vm, {
        incarnation: seen.incarnation,
        endedMs,
        previousEndedMs: same ? known.previousEndedMs : previousEndedMs,
      });
    }
    for (const vm of knownLives.keys()) {
      if (!context.configuration()?.entryVms.has(vm)) {
        knownLives.delete(vm);
      }
    }
  }

  function answer(to: VmId, incarnation: string | undefined): void {
    const known = knownLives.get(to);
    if (!known || incarnation === undefined) {
      return;
    }
    const {nowMs} = context.time();
    const endedMs =
      known.incarnation === incarnation
        ? known.previousEndedMs
        : (known.endedMs ?? nowMs);
    if (endedMs !== undefined) {
      context.send(to, {
        kind: 'previous-life-known',
        ageMs: Math.max(0, nowMs - endedMs),
      });
    }
  }

  function known(ageMs: number): void {
    const {nowMs} = context.time();
    if (startedMs === undefined || nowMs - startedMs > ANSWERS_UNTIL_MS) {
      return;
    }
    for (const pool of state.pools.values()) {
      const untilMs = nowMs + pool.longestUseMs - ageMs;
      if (untilMs > nowMs) {
        pool.growth.holdUntil(untilMs);
        pool.holdings.own(new Map());
        context.wakeAt(untilMs);
      }
    }
  }

  return {started, tick, viewChanged, answer, known};
}
