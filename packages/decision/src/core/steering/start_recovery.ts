/**
 * Starts of VMs. What an earlier life of a VM had in flight at targets may
 * still run there, and other VMs may still use slots under an older
 * configuration. A VM that has started therefore asks its peers what they
 * know and leaves its slots alone for as long as that matters.
 */
import type {Generation, MembershipView, VmId} from '../model/index.js';
import {syncPeers, regionPeers} from './peer_groups.js';
import type {SteeringPeerMessage} from './peer_messages.js';
import type {SteeringState} from './state.js';

export type StartAnswer = Omit<
  Extract<SteeringPeerMessage, {readonly kind: 'start-answer'}>,
  'kind'
>;

export interface StartRecovery {
  /** @param divisionChanged Whether this VM may use another share from now. */
  configurationApplied(divisionChanged: boolean): void;
  tick(): void;
  viewChanged(view: MembershipView): void;
  /** Answers a VM that has started. */
  answerStartedVm(to: VmId, incarnation: string | undefined): void;
  /** A peer answered this VM's question. */
  startAnswerReceived(from: VmId, answer: StartAnswer): void;
}

/** Answers count only this long after the start. */
const ANSWER_ACCEPTANCE_MS = 10_000;
const QUERY_INTERVAL_MS = 250;
const QUERY_PERIOD_MS = 5_000;
/** A longer gap between two steps means that this VM was paused. */
const PAUSE_THRESHOLD_MS = 1_000;

interface Start {
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
  let start: Start | undefined;
  /** When this VM last took a configuration that divides slots otherwise. */
  let divisionChangedMs: number | undefined;
  let previousIncarnationEndedMs: number | undefined;
  let configured = false;

  function configurationApplied(divisionChanged: boolean): void {
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
    holdShares(() => Infinity);
  }

  const queriedPeers = () =>
    syncPeers(context, parameters.poolLoadPeersPerRegion);

  /** @param untilMs End of the hold by the longest use of the pool's slots. */
  function holdShares(untilMs: (longestUseMs: number) => number): void {
    const {nowMs} = context.time();
    for (const pool of state.pools.values()) {
      const until = untilMs(pool.longestUseMs);
      pool.growth.holdUntil(until);
      if (until > nowMs) {
        pool.holdings.own(new Map());
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

  function queryPeers(begun: Start, nowMs: number): void {
    const due = nowMs - begun.lastQueryMs >= QUERY_INTERVAL_MS;
    if (!due || nowMs - begun.startedMs > QUERY_PERIOD_MS) {
      return;
    }
    begun.lastQueryMs = nowMs;
    for (const peer of queriedPeers()) {
      if (!begun.answers.has(peer)) {
        context.send(peer, {
          kind: 'failovers-wanted',
          incarnation: context.incarnation,
        });
      }
    }
  }

  function startAnswerReceived(from: VmId, answer: StartAnswer): void {
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
    const all = queriedPeers().every(peer => start?.answers.has(peer));
    if (all || !start.waiting) {
      setHoldEnd(start, nowMs);
    }
  }

  /** Sets the end of the hold by what has been answered. */
  function setHoldEnd(begun: Start, nowMs: number): void {
    begun.waiting = false;
    const othersMs = peersSettledMs(begun, nowMs);
    const sinceMs = Math.max(previousIncarnationEndedMs ?? -Infinity, othersMs);
    holdShares(longestUseMs =>
      sinceMs === -Infinity ? nowMs : Math.max(nowMs, sinceMs + longestUseMs),
    );
    context.wakeAt(nowMs);
  }

  /** From when on the region's other VMs use this generation's shares only. */
  function peersSettledMs(begun: Start, nowMs: number): number {
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
    const settled = Math.max(
      divisionChangedMs ?? -Infinity,
      previousIncarnationEndedMs ?? -Infinity,
    );
    context.send(to, {
      kind: 'start-answer',
      earlierLifeAgeMs: endedMs === undefined ? undefined : nowMs - endedMs,
      generation,
      settledForMs: settled === -Infinity ? undefined : nowMs - settled,
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
    configurationApplied,
    tick,
    viewChanged,
    answerStartedVm,
    startAnswerReceived,
  };
}
