/**
 * Watches whether this VM reaches targets, from its own connections, probes and
 * what peers say of theirs, and tells what follows from a change.
 */
import {
  type ProbeTarget,
  type RegisteredTarget,
  type TargetReach,
  createTargetReachability,
} from '@ibisbeam/decision';
import type {Logger, TimerHandle, TimerService} from '@ibisbeam/library';
import {type ConnectionOutcome, createConnectionLog} from './connection_log.js';
import {createConfirmedDeaths} from './confirmed_deaths.js';
import type {ConnectToTarget} from './forwarding/target_connections.js';
import {probeTarget} from './forwarding/target_probe.js';

/** Told by everything that connects to targets. */
export interface ReachEvidence {
  /** A new connection to the target is established. */
  recordConnection(target: RegisteredTarget): void;
  recordConnectionFailure(target: RegisteredTarget): void;
  /**
   * The connection broke during a request. Finds out at once whether the target
   * is gone, since it may get no other request for a while.
   */
  recordBrokenConnection(target: RegisteredTarget): void;
  /** Finds out at once whether a target that has been silent is gone. */
  doubt(incarnation: string): void;
  /** A target has answered a request, on whatever connection. */
  recordAnswer(): void;
}

export interface TargetReachMonitor {
  readonly evidence: ReachEvidence;
  reach(): TargetReach;
  /** Whether the VM may accept clients, as far as targets are concerned. */
  isReady(): boolean;
  /** Time since a target was reached; undefined while that is in doubt. */
  reachedAgeMs(): number | undefined;
  start(): void;
  stop(): void;
}

export interface TargetReachMonitorOptions {
  readonly timers: TimerService;
  readonly log: Logger;
  readonly connect: ConnectToTarget | undefined;
  countConnection(outcome: ConnectionOutcome): void;
  /** Undefined until the targets are known. */
  listedTargets(): readonly RegisteredTarget[] | undefined;
  hasPeers(): boolean;
  /** Newest time at which a serving peer reached a target. */
  peerReachedAtMs(): number | undefined;
  /**
   * A target refuses connections, and this VM is not the cause.
   *
   * @param atMs When it was first seen to do so.
   */
  onTargetDeath(incarnation: string, atMs: number): void;
  onCutOff(): void;
  /** @param sinceMs When connections began to fail. */
  onReturn(sinceMs: number): void;
  /** The VM has begun or ceased to be ready. */
  onReadyChange(): void;
}

/** Interval of the log lines about failed connections. */
const LOG_INTERVAL_MS = 1_000;
/** The first failures may have been recorded just before. */
const FAILURE_MARGIN_MS = 100;
/** The list of targets is not read on each update. */
const CANDIDATES_LIFETIME_MS = 500;
const UPDATE_INTERVAL_MS = 50;

export function createTargetReachMonitor(
  options: TargetReachMonitorOptions,
): TargetReachMonitor {
  const {timers, log} = options;
  const reachability = createTargetReachability();
  const connectionLog = createConnectionLog(options);
  const deaths = createConfirmedDeaths(options.onTargetDeath);
  const handles: TimerHandle[] = [];
  /** Targets that are probed because a connection broke. */
  const doubtedTargets = new Set<string>();
  const targetsByIncarnation = new Map<string, RegisteredTarget>();
  let candidates: ProbeTarget[] = [];
  let candidatesAtMs = -Infinity;
  let reach: TargetReach = 'suspect';
  let isReady = false;
  let cutSinceMs: number | undefined;

  function takeCandidates(
    targets: readonly RegisteredTarget[],
    nowMs: number,
  ): void {
    candidatesAtMs = nowMs;
    targetsByIncarnation.clear();
    candidates = [];
    for (const target of targets) {
      if (!target.entry.draining) {
        const {incarnation, entry} = target;
        targetsByIncarnation.set(incarnation, target);
        candidates.push({incarnation, zone: entry.zone});
      }
    }
  }

  function update(): void {
    const targets = options.listedTargets();
    if (!targets) {
      return;
    }
    const nowMs = timers.nowMs();
    if (
      candidates.length === 0 ||
      nowMs - candidatesAtMs > CANDIDATES_LIFETIME_MS
    ) {
      takeCandidates(targets, nowMs);
    }
    // A VM that reaches targets need not look through all peers each time.
    const peerReachedAtMs =
      reach === 'reaching' ? undefined : options.peerReachedAtMs();
    const hasPeers = isReady || options.hasPeers();
    const failingSinceMs = reachability.failingSinceMs();
    const decision = reachability.update(
      {targets: candidates, hasPeers, peerReachedAtMs},
      nowMs,
    );
    for (const {incarnation} of decision.probes) {
      const target = targetsByIncarnation.get(incarnation);
      if (target) {
        probe(target);
      }
    }
    const wasReady = isReady;
    isReady = decision.isReady;
    if (decision.reach !== reach) {
      onReachChange(decision.reach, failingSinceMs ?? nowMs, peerReachedAtMs);
    }
    deaths.update(reach, reachability.reachedAtMs(), nowMs);
    if (isReady !== wasReady) {
      options.onReadyChange();
    }
  }

  function onReachChange(
    next: TargetReach,
    failingSinceMs: number,
    peerReachedAtMs: number | undefined,
  ): void {
    const nowMs = timers.nowMs();
    const isNotable = next === 'cut-off' || reach === 'cut-off';
    log.log(isNotable ? 'warn' : 'info', 'target-reach', {
      from: reach,
      to: next,
      ...reachability.summary(nowMs),
      peerReachedAgeMs:
        peerReachedAtMs === undefined
          ? undefined
          : Math.round(nowMs - peerReachedAtMs),
    });
    reach = next;
    if (next === 'cut-off') {
      cutSinceMs = failingSinceMs;
      options.onCutOff();
    } else if (next === 'reaching' && cutSinceMs !== undefined) {
      options.onReturn(cutSinceMs - FAILURE_MARGIN_MS);
      cutSinceMs = undefined;
    }
  }

  function probe(target: RegisteredTarget): void {
    connectTo(target, connected => {
      reachability.recordProbe(target.incarnation, connected, timers.nowMs());
      update();
    });
  }

  function probeDoubted(target: RegisteredTarget): void {
    const {incarnation} = target;
    if (doubtedTargets.has(incarnation)) {
      return;
    }
    doubtedTargets.add(incarnation);
    connectTo(target, connected => {
      doubtedTargets.delete(incarnation);
      const nowMs = timers.nowMs();
      if (connected) {
        reachability.recordConnection(nowMs);
      } else {
        reachability.recordConnectionFailure(incarnation, nowMs);
        deaths.add(incarnation, nowMs);
      }
    });
  }

  function connectTo(
    target: RegisteredTarget,
    onEnd: (connected: boolean) => void,
  ): void {
    const {host, port} = target.entry;
    probeTarget(
      {host, port},
      timers,
      connected => {
        if (connected) {
          connectionLog.recordConnection();
        } else {
          connectionLog.recordFailure(target);
        }
        onEnd(connected);
      },
      options.connect,
    );
  }

  return {
    evidence: {
      recordConnection: () => {
        connectionLog.recordConnection();
        reachability.recordConnection(timers.nowMs());
      },
      recordConnectionFailure: target => {
        connectionLog.recordFailure(target);
        const nowMs = timers.nowMs();
        reachability.recordConnectionFailure(target.incarnation, nowMs);
        deaths.add(target.incarnation, nowMs);
      },
      recordBrokenConnection: probeDoubted,
      doubt: incarnation => {
        const target = targetsByIncarnation.get(incarnation);
        if (target) {
          probeDoubted(target);
        }
      },
      recordAnswer: () => {
        connectionLog.recordAnswer();
        reachability.recordAnswer(timers.nowMs());
      },
    },
    reach: () => reach,
    isReady: () => isReady,
    reachedAgeMs: () => {
      const atMs = reachability.reachedAtMs();
      return atMs === undefined ? undefined : timers.nowMs() - atMs;
    },
    start: () => {
      handles.push(
        timers.every(UPDATE_INTERVAL_MS, update),
        timers.every(LOG_INTERVAL_MS, connectionLog.flush),
      );
    },
    stop: () => {
      for (const handle of handles) {
        handle.cancel();
      }
    },
  };
}
