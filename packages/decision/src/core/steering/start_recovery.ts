/**
 * Recovery after the start of a VM. Requests of the VM's previous incarnation
 * may still run at targets, and other VMs may still use slots under an older
 * configuration. A started VM therefore queries its peers and does not use its
 * slots until both have ended.
 */
import type {Generation, MembershipView, VmId} from '../model/index.js';
import {listRegionPeers, selectSyncPeers} from './peer_groups.js';
import type {SteeringPeerMessage} from './peer_messages.js';
import type {SteeringState} from './state.js';

export type StartAnswer = Omit<
  Extract<SteeringPeerMessage, {readonly kind: 'start-answer'}>,
  'kind'
>;

export interface StartRecovery {
  /** @param divisionChanged Whether the slot division may have changed. */
  handleConfigurationApplied(divisionChanged: boolean): void;
  tick(): void;
  handleViewChanged(view: MembershipView): void;
  /** Answers the start query of another VM. */
  answerStartedVm(to: VmId, incarnation: string | undefined): void;
  /** Handles a peer's answer to this VM's start query. */
  handleStartAnswer(from: VmId, answer: StartAnswer): void;
}

/** Time after the start during which answers are accepted. */
const ANSWER_ACCEPTANCE_MS = 10_000;
const QUERY_INTERVAL_MS = 250;
/** Time after the start during which peers are queried. */
const QUERY_PERIOD_MS = 5_000;
/** A longer gap between two ticks means that the process was paused. */
const PAUSE_THRESHOLD_MS = 1_000;

interface StartState {
  readonly startedMs: number;
  readonly answers: Map<VmId, StartAnswer>;
  waitDeadlineMs: number;
  lastQueryMs: number;
  lastTickMs: number;
  waiting: boolean;
}

export function createStartRecovery(state: SteeringState): StartRecovery {
  const {context, knownIncarnations} = state;
  const {parameters} = context;
  let start: StartState | undefined;
  /** When this VM last applied a configuration with another slot division. */
  let divisionChangedMs: number | undefined;
  let previousIncarnationEndedMs: number | undefined;
  let configured = false;

  function handleConfigurationApplied(divisionChanged: boolean): void {
    const {nowMs} = context.time();
    if (configured) {
      divisionChangedMs = divisionChanged ? nowMs : divisionChangedMs;
      return;
    }
    configured = true;
    if (context.incarnation === undefined || queriedPeers().length === 0) {
      return;
    }
    start = {
      startedMs: nowMs,
      answers: new Map(),
      waitDeadlineMs: nowMs + parameters.startAnswerTimeoutMs,
      lastQueryMs: -Infinity,
      lastTickMs: nowMs,
      waiting: true,
    };
    withholdShares(() => Infinity);
  }

  const queriedPeers = () =>
    selectSyncPeers(context, parameters.poolLoadPeersPerRegion);

  /**
   * Withholds the shares of all pools.
   *
   * @param holdEndFor Returns the monotonic time until which to withhold a
   *     pool's share, given the pool's longest slot use.
   */
  function withholdShares(holdEndFor: (longestUseMs: number) => number): void {
    const {nowMs} = context.time();
    for (const pool of state.pools.values()) {
      const holdEndMs = holdEndFor(pool.longestUseMs);
      pool.shareGrowth.holdUntil(holdEndMs);
      if (holdEndMs > nowMs) {
        pool.slotLedger.setOwnShare(new Map());
      }
    }
  }

  function tick(): void {
    if (!start) {
      return;
    }
    const {nowMs} = context.time();
    if (start.waiting && nowMs - start.lastTickMs > PAUSE_THRESHOLD_MS) {
      start.waitDeadlineMs = nowMs + parameters.startAnswerTimeoutMs;
    }
    start.lastTickMs = nowMs;
    queryPeers(start, nowMs);
    if (start.waiting && nowMs >= start.waitDeadlineMs) {
      setHoldEnd(start, nowMs);
    }
    if (start.waiting) {
      context.wakeAt(Math.min(start.waitDeadlineMs, nowMs + QUERY_INTERVAL_MS));
    }
  }

  function queryPeers(startState: StartState, nowMs: number): void {
    const due = nowMs - startState.lastQueryMs >= QUERY_INTERVAL_MS;
    if (!due || nowMs - startState.startedMs > QUERY_PERIOD_MS) {
      return;
    }
    startState.lastQueryMs = nowMs;
    for (const peer of queriedPeers()) {
      if (!startState.answers.has(peer)) {
        context.send(peer, {
          kind: 'failovers-wanted',
          incarnation: context.incarnation,
        });
      }
    }
  }

  function handleStartAnswer(from: VmId, answer: StartAnswer): void {
    const {nowMs} = context.time();
    if (!start || nowMs - start.startedMs > ANSWER_ACCEPTANCE_MS) {
      return;
    }
    start.answers.set(from, answer);
    const {earlierLifeAgeMs} = answer;
    if (earlierLifeAgeMs !== undefined) {
      const endedMs = nowMs - earlierLifeAgeMs;
      previousIncarnationEndedMs = Math.max(
        previousIncarnationEndedMs ?? endedMs,
        endedMs,
      );
    }
    const allAnswered = queriedPeers().every(peer => start?.answers.has(peer));
    if (allAnswered || !start.waiting) {
      setHoldEnd(start, nowMs);
    }
  }

  /** Sets the end of the hold from the answers received so far. */
  function setHoldEnd(startState: StartState, nowMs: number): void {
    startState.waiting = false;
    const settledByMs = peersSettledMs(startState, nowMs);
    const sinceMs = Math.max(
      previousIncarnationEndedMs ?? -Infinity,
      settledByMs,
    );
    withholdShares(longestUseMs =>
      sinceMs === -Infinity ? nowMs : Math.max(nowMs, sinceMs + longestUseMs),
    );
    context.wakeAt(nowMs);
  }

  /**
   * Monotonic time at which the last of the region's other VMs began to use
   * only the shares of this generation. A VM that has not answered is assumed
   * to have received the generation as late as the propagation bound allows.
   */
  function peersSettledMs(startState: StartState, nowMs: number): number {
    const generation = context.configuration()?.generation;
    if (generation === undefined || startState.answers.size === 0) {
      return -Infinity;
    }
    let earliestSettledMs = nowMs;
    for (const answer of startState.answers.values()) {
      earliestSettledMs = Math.min(
        earliestSettledMs,
        settledMs(answer, generation, nowMs),
      );
    }
    let latestMs = -Infinity;
    for (const peer of listRegionPeers(context)) {
      const answer = startState.answers.get(peer);
      const peerMs = answer
        ? settledMs(answer, generation, nowMs)
        : earliestSettledMs + parameters.inForceBoundMs;
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

  function handleViewChanged(view: MembershipView): void {
    const {nowMs} = context.time();
    for (const [vm, seen] of view.vms) {
      if (seen.incarnation === undefined) {
        continue;
      }
      const known = knownIncarnations.get(vm);
      const same = known?.incarnation === seen.incarnation;
      const previousEndedMs = known && (known.endedMs ?? nowMs);
      let endedMs = same ? known.endedMs : undefined;
      if (seen.state === 'gone') {
        endedMs ??= nowMs;
      }
      knownIncarnations.set(vm, {
        incarnation: seen.incarnation,
        endedMs,
        previousEndedMs: same ? known.previousEndedMs : previousEndedMs,
      });
    }
    for (const vm of knownIncarnations.keys()) {
      if (!context.configuration()?.entryVms.has(vm)) {
        knownIncarnations.delete(vm);
      }
    }
  }

  function answerStartedVm(to: VmId, incarnation: string | undefined): void {
    const generation = context.configuration()?.generation;
    if (incarnation === undefined || generation === undefined) {
      return;
    }
    const {nowMs} = context.time();
    const endedMs = findPreviousIncarnationEnd(to, incarnation, nowMs);
    const settledSinceMs = Math.max(
      divisionChangedMs ?? -Infinity,
      previousIncarnationEndedMs ?? -Infinity,
    );
    context.send(to, {
      kind: 'start-answer',
      earlierLifeAgeMs: endedMs === undefined ? undefined : nowMs - endedMs,
      generation,
      settledForMs:
        settledSinceMs === -Infinity ? undefined : nowMs - settledSinceMs,
    });
  }

  function findPreviousIncarnationEnd(
    vm: VmId,
    incarnation: string,
    nowMs: number,
  ): number | undefined {
    const known = knownIncarnations.get(vm);
    if (!known) {
      return undefined;
    }
    return known.incarnation === incarnation
      ? known.previousEndedMs
      : (known.endedMs ?? nowMs);
  }

  return {
    handleConfigurationApplied,
    tick,
    handleViewChanged,
    answerStartedVm,
    handleStartAnswer,
  };
}
