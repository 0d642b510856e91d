/**
 * What gateways tell each other over their links, and what they take from it:
 * heartbeats, store snapshots, rate limits of targets, targets that are
 * leaving, targets lost to a request, and what a VM knows better than a
 * restored store.
 */
import type {
  LeavingReport,
  RateLimitReport,
  SurvivedRunsReport,
  WatcherSelection,
} from '@ibisbeam/decision';
import type {Logger, TimerService} from '@ibisbeam/library';
import type {VmDirectory} from '../control/vm_directory.js';
import type {FleetState} from '../fleet_state.js';
import type {CrashGuard} from '../forwarding/crash_guard.js';
import type {RegionPlan} from '../region_plan.js';
import type {CopyGuard} from '../store/copy_guard.js';
import {STORE_KINDS, type StoreFollower} from '../store/store_follower.js';
import type {TargetReachMonitor} from '../target_reach.js';
import type {TargetAvailability} from '../target_availability.js';
import type {TargetRateLimits} from '../target_rate_limits.js';
import {createCopyComparison} from './copy_comparison.js';
import type {PeerMessage, VmRecord} from './messages.js';
import type {PeerMesh} from './peer_mesh.js';

export interface PeerConversation {
  onPeerConnected(peer: VmRecord): void;
  onMessage(from: VmRecord, message: PeerMessage): void;
  broadcastHeartbeat(): void;
  /** Age of the oldest change that this VM's copies lack; 0 if none. */
  copiesBehindMs(): number;
  /** Tells VMs that have just started what a restored store lacks. */
  tellStartedVms(): void;
}

export interface PeerConversationOptions {
  readonly mesh: PeerMesh;
  readonly directory: VmDirectory;
  readonly follower: StoreFollower;
  readonly copyGuard: CopyGuard;
  readonly fleet: FleetState;
  readonly regionPlan: RegionPlan;
  readonly rateLimits: TargetRateLimits;
  readonly availability: TargetAvailability;
  readonly crashGuard: CrashGuard;
  readonly watcherSelection: WatcherSelection;
  readonly timers: Pick<TimerService, 'nowMs' | 'wallMs'>;
  readonly log: Logger;
  isServing(): boolean;
  readonly targetReach: Pick<TargetReachMonitor, 'reach' | 'reachedAgeMs'>;
}

/** A VM that started before has seen the store as it was before a restore. */
const RECENT_START_MS = 10_000;

/** Older builds read only the fingerprint. */
export function requestAnsweredMessage({
  fingerprint,
  vm,
  runsPerSecond,
  msPerSecond,
}: SurvivedRunsReport): PeerMessage {
  const survived = {runsPerSecond, msPerSecond};
  return {kind: 'request-answered', fingerprint, vm, survived};
}

export function createPeerConversation(
  options: PeerConversationOptions,
): PeerConversation {
  const {mesh, follower, fleet, rateLimits, availability, crashGuard, timers} =
    options;
  const copyComparison = createCopyComparison({
    follower,
    timers,
    log: options.log,
    requestSnapshot: (peerId, kind) =>
      mesh.send(peerId, {kind: 'want-snapshot', of: kind}),
  });

  function onPeerConnected(peer: VmRecord): void {
    copyComparison.recordNewLink(peer.id);
    options.copyGuard.onPeerConnected(peer.id);
    for (const kind of STORE_KINDS) {
      if (follower.isMissing(kind)) {
        mesh.send(peer.id, {kind: 'want-snapshot', of: kind});
      }
    }
    mesh.send(
      peer.id,
      heartbeatMessage(rateLimits.reports(), availability.reports()),
    );
    tellRestoreMemory(peer);
    const {losses, survived} = crashGuard.reports();
    // Losses alone would look like those of a request that is never answered.
    for (const report of survived) {
      mesh.send(peer.id, requestAnsweredMessage(report));
    }
    for (const loss of losses) {
      mesh.send(peer.id, {kind: 'target-lost', ...loss});
    }
  }

  function tellRestoreMemory(peer: VmRecord): void {
    const memory = fleet.restoreMemory();
    if (memory) {
      mesh.send(peer.id, {kind: 'restore-memory', memory});
    }
  }

  function onMessage(from: VmRecord, message: PeerMessage): void {
    options.copyGuard.checkPause();
    switch (message.kind) {
      case 'hello':
        return;
      case 'heartbeat':
        onHeartbeat(from, message);
        return;
      case 'want-snapshot': {
        const snapshot = follower.snapshotMessage(message.of);
        if (snapshot) {
          mesh.send(from.id, snapshot);
        }
        return;
      }
      case 'snapshot':
      case 'batch':
        if (!follower.receive(message)) {
          mesh.send(from.id, {kind: 'want-snapshot', of: message.of});
        }
        return;
      case 'confirm-copies':
        options.copyGuard.onQuestion(from.id, message);
        return;
      case 'copies-confirmed':
        options.copyGuard.onAnswer(from.id, message);
        return;
      case 'restore-memory':
        fleet.learn(message.memory);
        return;
      case 'target-lost': {
        const {ageMs = 0, spanMs = 0, deaths = 0} = message;
        crashGuard.recordPeerLoss({...message, ageMs, spanMs, deaths});
        return;
      }
      case 'request-answered': {
        const {fingerprint, survived, vm = from.id} = message;
        crashGuard.recordPeerSurvivedRuns(vm, fingerprint, survived);
        return;
      }
    }
  }

  function onHeartbeat(
    from: VmRecord,
    message: Extract<PeerMessage, {kind: 'heartbeat'}>,
  ): void {
    const reachAgeMs = message.targetReach?.ageMs;
    options.directory.recordHeartbeat(from.id, {
      isServing: message.serving,
      isCutOff: message.targetReach?.cutOff === true,
      reachedTargetsAtMs:
        reachAgeMs === undefined ? undefined : timers.nowMs() - reachAgeMs,
    });
    options.regionPlan.recordPeerDemand(from.id, new Map(message.demand));
    rateLimits.recordPeerReports(from.id, message.rateLimits ?? []);
    copyComparison.compare(from.id, message.copyVersions ?? {});
    availability.recordPeerReports(from.id, message.leavingTargets ?? []);
    if (message.watchAgeMs !== undefined) {
      options.watcherSelection.recordPeerConfirmation(
        timers.nowMs() - message.watchAgeMs,
      );
    }
  }

  function heartbeatMessage(
    rateLimitReports: readonly RateLimitReport[],
    leavingReports: readonly LeavingReport[],
  ): PeerMessage {
    const {demandMeter} = options.regionPlan;
    const {targetReach} = options;
    const isCutOff = targetReach.reach() === 'cut-off';
    return {
      kind: 'heartbeat',
      serving: options.isServing(),
      watchAgeMs: follower.watchAgeMs(),
      // Its clients go to other VMs, which tell of them.
      demand: isCutOff ? [] : [...demandMeter.demandByService(timers.nowMs())],
      rateLimits: [...rateLimitReports],
      copyVersions: follower.copyVersions(),
      targetReach: {cutOff: isCutOff, ageMs: targetReach.reachedAgeMs()},
      leavingTargets: [...leavingReports],
    };
  }

  return {
    onPeerConnected,
    onMessage,
    broadcastHeartbeat: () =>
      mesh.broadcast(
        heartbeatMessage(rateLimits.takeNews(), availability.takeNews()),
      ),
    copiesBehindMs: copyComparison.behindMs,
    tellStartedVms: () => {
      const sinceWallMs = timers.wallMs() - RECENT_START_MS;
      for (const peer of mesh.knownPeers()) {
        if (peer.startedWallMs > sinceWallMs) {
          tellRestoreMemory(peer);
        }
      }
    },
  };
}
