/**
 * Decides whether this VM reaches targets. Only new connections count against
 * it: an established one may live on while no other can be made. A VM is cut
 * off only if another one has reached targets since all of its own probes
 * failed; otherwise the targets are down.
 */
import {chooseProbes} from './probe_choice.js';
import type {
  ProbeTarget,
  ReachDecision,
  ReachSummary,
  ReachSurroundings,
  TargetReach,
} from './types.js';

export interface TargetReachability {
  recordConnection(nowMs: number): void;
  recordConnectionFailure(incarnation: string, nowMs: number): void;
  /** Records an answer of a target, on whatever connection. */
  recordAnswer(nowMs: number): void;
  /** Must follow once for each probe that `update` has asked for. */
  recordProbe(incarnation: string, connected: boolean, nowMs: number): void;
  /** Call it at short intervals. */
  update(surroundings: ReachSurroundings, nowMs: number): ReachDecision;
  /** Last time at which a target was reached, while none is suspected. */
  reachedAtMs(): number | undefined;
  /** Time at which connections began to fail; undefined while they don't. */
  failingSinceMs(): number | undefined;
  summary(nowMs: number): ReachSummary;
}

/** Without any sign of a target for this time, one is probed. */
const EVIDENCE_LIFETIME_MS = 600;
/** Failures are forgotten after this time unless they raised a suspicion. */
const FAILURE_LIFETIME_MS = 2_000;
/** Targets that refuse connections before the VM suspects itself. */
const SUSPICIOUS_TARGETS = 2;
/** Probes in one round of a suspicion. */
const ROUND_PROBES = 4;
/** Least time between rounds that follow from failed connections. */
const FIRST_ROUND_DELAY_MS = 200;
const SUSPECT_ROUND_INTERVAL_MS = 400;
const CUT_OFF_ROUND_INTERVAL_MS = 250;
/**
 * A peer counts if it reached targets this long after the probes were sent:
 * its message takes some time, and targets may have failed for all.
 */
const PEER_MARGIN_MS = 200;
/** A VM that is cut off hears of peers that reach targets at least so often. */
const PEER_LIFETIME_MS = 2_500;
/** Rounds in which a probe connects, one after the other, before it is back. */
const RETURN_ROUNDS = 2;
const MAXIMUM_RETURN_ROUNDS = 16;
/** A VM that is cut off again within this time needs twice the rounds. */
const RELAPSE_MS = 10_000;
/** A starting VM waits this long for peers that reach targets. */
const START_PATIENCE_MS = 1_000;
/** After a longer pause of the process, failures may be its own fault. */
const PAUSE_MS = 300;

interface FailureSpan {
  readonly firstMs: number;
  readonly lastMs: number;
}

interface Round {
  readonly pending: Set<string>;
  connected: number;
}

export function createTargetReachability(): TargetReachability {
  let reach: TargetReach = 'suspect';
  let isProven = false;
  let connectedAtMs = -Infinity;
  let answeredAtMs = -Infinity;
  /** Failures by target since the last connection. */
  const failures = new Map<string, FailureSpan>();
  let suspectSinceMs: number | undefined;
  let round: Round | undefined;
  let lastRoundAtMs = -Infinity;
  let roundCount = 0;
  /** Start of the first round of this suspicion in which all probes failed. */
  let failedRoundAtMs: number | undefined;
  let goodRounds = 0;
  let neededRounds = RETURN_ROUNDS;
  let returnedAtMs = -Infinity;
  let updatedAtMs: number | undefined;

  function recordConnection(nowMs: number): void {
    connectedAtMs = nowMs;
    isProven = true;
    failures.clear();
    if (reach === 'suspect') {
      setReaching();
    }
  }

  function setReaching(): void {
    reach = 'reaching';
    suspectSinceMs = undefined;
    failedRoundAtMs = undefined;
    failures.clear();
  }

  function recordConnectionFailure(incarnation: string, nowMs: number): void {
    const firstMs = failures.get(incarnation)?.firstMs ?? nowMs;
    failures.set(incarnation, {firstMs, lastMs: nowMs});
  }

  function recordProbe(
    incarnation: string,
    connected: boolean,
    nowMs: number,
  ): void {
    if (!round?.pending.delete(incarnation)) {
      return;
    }
    if (connected) {
      round.connected += 1;
      recordConnection(nowMs);
    } else {
      recordConnectionFailure(incarnation, nowMs);
    }
    if (round.pending.size === 0) {
      endRound(round);
    }
  }

  function endRound({connected}: Round): void {
    round = undefined;
    if (reach === 'suspect' && connected === 0) {
      failedRoundAtMs ??= lastRoundAtMs;
    }
    // Other targets may be down for all VMs.
    goodRounds = connected > 0 ? goodRounds + 1 : 0;
  }

  function reachedAtMs(): number {
    return Math.max(connectedAtMs, answeredAtMs);
  }

  /** Failures that a pause of the process may have caused don't count. */
  function forgetAfterPause(nowMs: number): void {
    if (updatedAtMs !== undefined && nowMs - updatedAtMs > PAUSE_MS) {
      failures.clear();
      round = undefined;
      failedRoundAtMs = undefined;
      goodRounds = 0;
      if (reach === 'suspect') {
        suspectSinceMs = nowMs;
      }
    }
    updatedAtMs = nowMs;
  }

  function updateReach(surroundings: ReachSurroundings, nowMs: number): void {
    switch (reach) {
      case 'reaching':
        if (isSuspicious(surroundings.targets.length, nowMs)) {
          reach = 'suspect';
          suspectSinceMs = firstFailureMs();
          round = undefined;
        }
        return;
      case 'suspect':
        suspectSinceMs ??= nowMs;
        if (peerReachesAfterFailedRound(surroundings)) {
          setCutOff(nowMs);
        }
        return;
      case 'cut-off':
        updateCutOff(surroundings, nowMs);
        return;
    }
  }

  function isSuspicious(targetCount: number, nowMs: number): boolean {
    for (const [incarnation, {lastMs}] of failures) {
      if (nowMs - lastMs > FAILURE_LIFETIME_MS) {
        failures.delete(incarnation);
      }
    }
    const needed = isSilent(nowMs)
      ? 1
      : Math.min(SUSPICIOUS_TARGETS, targetCount);
    return failures.size > 0 && failures.size >= needed;
  }

  function firstFailureMs(): number | undefined {
    let earliestMs: number | undefined;
    for (const {firstMs} of failures.values()) {
      earliestMs = Math.min(firstMs, earliestMs ?? Infinity);
    }
    return earliestMs;
  }

  function isSilent(nowMs: number): boolean {
    return nowMs - reachedAtMs() > EVIDENCE_LIFETIME_MS;
  }

  function peerReachesAfterFailedRound({
    peerReachedAtMs,
  }: ReachSurroundings): boolean {
    return (
      failedRoundAtMs !== undefined &&
      peerReachedAtMs !== undefined &&
      peerReachedAtMs > failedRoundAtMs + PEER_MARGIN_MS
    );
  }

  function setCutOff(nowMs: number): void {
    reach = 'cut-off';
    goodRounds = 0;
    neededRounds =
      nowMs - returnedAtMs < RELAPSE_MS
        ? Math.min(MAXIMUM_RETURN_ROUNDS, neededRounds * 2)
        : RETURN_ROUNDS;
  }

  function updateCutOff(
    {peerReachedAtMs, targets}: ReachSurroundings,
    nowMs: number,
  ): void {
    if (goodRounds >= neededRounds || targets.length === 0) {
      returnedAtMs = nowMs;
      setReaching();
      return;
    }
    // Nobody else reaches targets either, so that stepping out helps nobody.
    if (nowMs - (peerReachedAtMs ?? -Infinity) > PEER_LIFETIME_MS) {
      reach = 'suspect';
      suspectSinceMs = nowMs;
      failedRoundAtMs = undefined;
    }
  }

  function updateProven(
    {targets, hasPeers}: ReachSurroundings,
    nowMs: number,
  ): void {
    if (isProven) {
      return;
    }
    const waitedMs = nowMs - (suspectSinceMs ?? nowMs);
    isProven =
      targets.length === 0 ||
      (failedRoundAtMs !== undefined &&
        (!hasPeers || waitedMs > START_PATIENCE_MS));
    if (targets.length === 0) {
      setReaching();
    }
  }

  function probesDue(
    targets: readonly ProbeTarget[],
    nowMs: number,
  ): readonly ProbeTarget[] {
    if (round || targets.length === 0) {
      return [];
    }
    const sinceRoundMs = nowMs - lastRoundAtMs;
    switch (reach) {
      case 'reaching':
        return sinceRoundMs > reachingRoundIntervalMs(nowMs)
          ? startRound(targets, 1, nowMs)
          : [];
      case 'suspect':
        return sinceRoundMs >= suspectRoundIntervalMs()
          ? startRound(targets, ROUND_PROBES, nowMs)
          : [];
      case 'cut-off':
        return sinceRoundMs >= CUT_OFF_ROUND_INTERVAL_MS
          ? startRound(targets, ROUND_PROBES, nowMs)
          : [];
    }
  }

  function reachingRoundIntervalMs(nowMs: number): number {
    if (failures.size > 0) {
      return FIRST_ROUND_DELAY_MS;
    }
    return isSilent(nowMs) ? EVIDENCE_LIFETIME_MS : Infinity;
  }

  function suspectRoundIntervalMs(): number {
    return failedRoundAtMs !== undefined
      ? SUSPECT_ROUND_INTERVAL_MS
      : FIRST_ROUND_DELAY_MS;
  }

  function startRound(
    targets: readonly ProbeTarget[],
    count: number,
    nowMs: number,
  ): readonly ProbeTarget[] {
    const avoided = new Set(failures.keys());
    const probes = chooseProbes(targets, avoided, count, roundCount);
    roundCount += 1;
    lastRoundAtMs = nowMs;
    round = {
      pending: new Set(probes.map(({incarnation}) => incarnation)),
      connected: 0,
    };
    return probes;
  }

  function update(
    surroundings: ReachSurroundings,
    nowMs: number,
  ): ReachDecision {
    forgetAfterPause(nowMs);
    updateReach(surroundings, nowMs);
    updateProven(surroundings, nowMs);
    return {
      reach,
      isReady: isProven && reach !== 'cut-off',
      probes: probesDue(surroundings.targets, nowMs),
    };
  }

  return {
    recordConnection,
    recordConnectionFailure,
    recordAnswer: nowMs => {
      answeredAtMs = nowMs;
      isProven = true;
    },
    recordProbe,
    update,
    reachedAtMs: () =>
      reach === 'reaching' && Number.isFinite(reachedAtMs())
        ? reachedAtMs()
        : undefined,
    failingSinceMs: () => suspectSinceMs ?? firstFailureMs(),
    summary: nowMs => ({
      failedTargets: failures.size,
      sinceConnectionMs: finiteOrUndefined(nowMs - connectedAtMs),
      sinceAnswerMs: finiteOrUndefined(nowMs - answeredAtMs),
    }),
  };
}

function finiteOrUndefined(value: number): number | undefined {
  return Number.isFinite(value) ? Math.round(value) : undefined;
}
