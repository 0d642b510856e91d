/**
 * Starts of VMs. What an earlier life of a VM had in flight at targets may
 * still run there, and other VMs may still use slots under an older
 * configuration. A VM that has started therefore asks its peers what they
 * know and leaves its slots alone for as long as that matters.
 */
import type {Generation, MembershipView, VmId} from '../model/index.js';
import {informedPeers, regionPeers} from './peer_groups.js';
import type {SteeringPeerMessage} from './peer_messages.js';
import type {SteeringState} from './state.js';

export type StartAnswer = Omit<
  Extract<SteeringPeerMessage, {readonly kind: 'start-answer'}>,
  'kind'
>;

export interface EarlierLives {
  /** @param divisionChanged Whether this VM may use another share from now. */
  configurationTaken(divisionChanged: boolean): void;
  tick(): void;
  viewChanged(view: MembershipView): void;
  /** Answers a VM that has started. */
  answer(to: VmId, incarnation: string | undefined): void;
  /** A peer answered this VM's question. */
  answered(from: VmId, answer: StartAnswer): void;
}

/** Answers count only this long after the start. */
const ANSWERS_UNTIL_MS = 10_000;
const ASK_INTERVAL_MS = 250;
const ASK_UNTIL_MS = 5_000;
/** A longer gap between two steps means that this VM was paused. */
const PAUSE_MS = 1_000;

interface Start {
  readonly atMs: number;
  readonly answers: Map<VmId, StartAnswer>;
  waitUntilMs: number;
  askedMs: number;
  seenMs: number;
  waiting: boolean;
}

export function createEarlierLives(state: SteeringState): EarlierLives {
  const {context, knownLives} = state;
  const {parameters} = context;
  let start: Start | undefined;
  /** When this VM last took a configuration that divides slots otherwise. */
  let changedMs: number | undefined;
  let earlierLifeEndedMs: number | undefined;
  let configured = false;

  function configurationTaken(divisionChanged: boolean): void {
    const {nowMs} = context.time();
    if (configured) {
      changedMs = divisionChanged ? nowMs : changedMs;
      return;
    }
    configured = true;
    if (context.incarnation === undefined || askedPeers().length === 0) {
      return;
    }
    start = {
      atMs: nowMs,
      answers: new Map(),
      waitUntilMs: nowMs + parameters.startAnswerBoundMs,
      askedMs: -Infinity,
      seenMs: nowMs,
      waiting: true,
    };
    holdAll(() => Infinity);
  }

  const askedPeers = () =>
    informedPeers(context, parameters.poolLoadPeersPerRegion);

  /** @param untilMs End of the hold by the longest use of the pool's slots. */
  function holdAll(untilMs: (longestUseMs: number) => number): void {
    const {nowMs} = context.time();
    for (const pool of state.pools.values()) {
      const until = untilMs(pool.longestUseMs);
      pool.growth.holdUntil(until);
      if (until > nowMs) {
        pool.holdings.setOwnShare(new Map());
      }
    }
  }

  function tick(): void {
    if (!start) {
      return;
    }
    const {nowMs} = context.time();
    if (start.waiting && nowMs - start.seenMs > PAUSE_MS) {
      start.waitUntilMs = nowMs + parameters.startAnswerBoundMs;
    }
    start.seenMs = nowMs;
    ask(start, nowMs);
    if (start.waiting && nowMs >= start.waitUntilMs) {
      settle(start, nowMs);
    }
    if (start.waiting) {
      context.wakeAt(Math.min(start.waitUntilMs, nowMs + ASK_INTERVAL_MS));
    }
  }

  function ask(begun: Start, nowMs: number): void {
    const due = nowMs - begun.askedMs >= ASK_INTERVAL_MS;
    if (!due || nowMs - begun.atMs > ASK_UNTIL_MS) {
      return;
    }
    begun.askedMs = nowMs;
    for (const peer of askedPeers()) {
      if (!begun.answers.has(peer)) {
        context.send(peer, {
          kind: 'failovers-wanted',
          incarnation: context.incarnation,
        });
      }
    }
  }

  function answered(from: VmId, answer: StartAnswer): void {
    const {nowMs} = context.time();
    if (!start || nowMs - start.atMs > ANSWERS_UNTIL_MS) {
      return;
    }
    start.answers.set(from, answer);
    const {earlierLifeAgeMs} = answer;
    if (earlierLifeAgeMs !== undefined) {
      const endedMs = nowMs - earlierLifeAgeMs;
      earlierLifeEndedMs = Math.max(earlierLifeEndedMs ?? endedMs, endedMs);
    }
    const all = askedPeers().every(peer => start?.answers.has(peer));
    if (all || !start.waiting) {
      settle(start, nowMs);
    }
  }

  /** Sets the end of the hold by what has been answered. */
  function settle(begun: Start, nowMs: number): void {
    begun.waiting = false;
    const othersMs = othersSettledMs(begun, nowMs);
    const sinceMs = Math.max(earlierLifeEndedMs ?? -Infinity, othersMs);
    holdAll(longestUseMs =>
      sinceMs === -Infinity ? nowMs : Math.max(nowMs, sinceMs + longestUseMs),
    );
    context.wakeAt(nowMs);
  }

  /** From when on the region's other VMs use this generation's shares only. */
  function othersSettledMs(begun: Start, nowMs: number): number {
    const generation = context.configuration()?.generation;
    if (generation === undefined || begun.answers.size === 0) {
      return -Infinity;
    }
    let firstKnownMs = nowMs;
    for (const answer of begun.answers.values()) {
      firstKnownMs = Math.min(
        firstKnownMs,
        settledMs(answer, generation, nowMs),
      );
    }
    let latestMs = -Infinity;
    for (const peer of regionPeers(context)) {
      const answer = begun.answers.get(peer);
      const peerMs = answer
        ? settledMs(answer, generation, nowMs)
        : firstKnownMs + parameters.inForceBoundMs;
      latestMs = Math.max(latestMs, peerMs);
    }
    return latestMs;
  }

  function settledMs(
    answer: StartAnswer,
    generation: Generation,
    nowMs: number,
  ): number {
    if (answer.generation < generation) {
      return nowMs + parameters.inForceBoundMs;
    }
    const {settledForMs} = answer;
    return settledForMs === undefined ? -Infinity : nowMs - settledForMs;
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
    const generation = context.configuration()?.generation;
    if (incarnation === undefined || generation === undefined) {
      return;
    }
    const {nowMs} = context.time();
    const endedMs = earlierLifeEnd(to, incarnation, nowMs);
    const settled = Math.max(
      changedMs ?? -Infinity,
      earlierLifeEndedMs ?? -Infinity,
    );
    context.send(to, {
      kind: 'start-answer',
      earlierLifeAgeMs: endedMs === undefined ? undefined : nowMs - endedMs,
      generation,
      settledForMs: settled === -Infinity ? undefined : nowMs - settled,
    });
  }

  function earlierLifeEnd(
    vm: VmId,
    incarnation: string,
    nowMs: number,
  ): number | undefined {
    const known = knownLives.get(vm);
    if (!known) {
      return undefined;
    }
    return known.incarnation === incarnation
      ? known.previousEndedMs
      : (known.endedMs ?? nowMs);
  }

  return {configurationTaken, tick, viewChanged, answer, answered};
}
