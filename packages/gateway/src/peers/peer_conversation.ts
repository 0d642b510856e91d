/**
 * What gateways tell each other over their links, and what they take from it:
 * heartbeats, store snapshots, rate limits of targets, targets that are
 * leaving, targets lost to a request, and what a VM knows better than a
 * restored store.
 */
import type {
  CongestionReport,
  CongestionReports,
  LeavingReport,
  QuotaDemandReport,
  RateLimitReport,
  SurvivedRunsReport,
  TargetLoad,
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
import type {WorkspaceQuotas} from '../workspaces/workspace_quotas.js';
import {createCopyComparison} from './copy_comparison.js';
import {createCopyAnnouncements} from './copy_announcements.js';
import {
  createHeartbeatSchedule,
  farHeartbeatWithinMs,
  hearsRarelyOfTargets,
} from './heartbeat_schedule.js';
import type {CopyVersions, PeerMessage, VmRecord} from './messages.js';
import type {PeerMesh} from './peer_mesh.js';

export interface PeerConversation {
  onPeerConnected(peer: VmRecord): void;
  onMessage(from: VmRecord, message: PeerMessage): void;
  /** Sends the regular heartbeat to the peers for which it is due. */
  sendDueHeartbeat(): void;
  /** Tells all peers at once of a change of this VM's state. */
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
  readonly quotas: Pick<
    WorkspaceQuotas,
    'takeNews' | 'report' | 'recordPeerReport'
  >;
  readonly availability: TargetAvailability;
  readonly crashGuard: CrashGuard;
  readonly congestion: Pick<CongestionReports, 'takeNews'>;
  readonly targetLoad: Pick<TargetLoad, 'recordPeerReport'>;
  readonly watcherSelection: WatcherSelection;
  readonly timers: Pick<TimerService, 'nowMs' | 'wallMs'>;
  readonly log: Logger;
  isServing(): boolean;
  readonly targetReach: Pick<TargetReachMonitor, 'reach' | 'reachedAgeMs'>;
}

/** A VM that started before has seen the store as it was before a restore. */
const RECENT_START_MS = 10_000;

/** A VM whose last look at the store is older does not watch it. */
const RECENT_WATCH_MS = 2_000;

type Heartbeat = Extract<PeerMessage, {kind: 'heartbeat'}>;

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
  const {
    mesh,
    follower,
    fleet,
    rateLimits,
    quotas,
    availability,
    crashGuard,
    congestion,
    targetLoad,
    timers,
  } = options;
  const copyComparison = createCopyComparison({
    follower,
    timers,
    log: options.log,
    requestSnapshot: (peerId, kind) =>
      mesh.send(peerId, {kind: 'want-snapshot', of: kind}),
  });

  const schedule = createHeartbeatSchedule();
  const copyAnnouncements = createCopyAnnouncements(follower, timers);

  function onPeerConnected(peer: VmRecord): void {
    copyComparison.recordNewLink(peer.id);
    options.copyGuard.onPeerConnected(peer.id);
    for (const kind of STORE_KINDS) {
      if (follower.isMissing(kind)) {
        mesh.send(peer.id, {kind: 'want-snapshot', of: kind});
      }
    }
    const heartbeat = heartbeatMessage(
      rateLimits.reports(),
      availability.reports(),
      follower.copyVersions(),
    );
    const greeting = withQuotaDemand(heartbeat, quotas.report());
    mesh.send(peer.id, mesh.isFar(peer.id) ? toFar(greeting) : greeting);
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

  function broadcastHeartbeat(due: 'near' | 'all'): void {
    const limits = rateLimits.takeNews();
    const leaving = availability.takeNews();
    // A share may grow only once all peers have heard of the demand.
    const quotaDemand = due === 'all' ? quotas.takeNews() : undefined;
    const near = withQuotaDemand(
      heartbeatMessage(limits, leaving, copyAnnouncements.take()),
      quotaDemand,
    );
    mesh.broadcast(withCongestion(near), 'near');
    // Peers that have no news of this VM may miss a heartbeat, but no news.
    const hasNews = limits.length > 0 || leaving.length > 0;
    if (due === 'all' || hasNews) {
      const versions = follower.copyVersions();
      const far = withQuotaDemand(
        heartbeatMessage(limits, leaving, versions),
        quotaDemand,
      );
      mesh.broadcast(toFar(far), 'far');
    }
  }

  /** Targets are mostly shared with the VMs of the region. */
  function withCongestion(heartbeat: Heartbeat): Heartbeat {
    const reports = congestion.takeNews(timers.nowMs());
    const peerCount = mesh.knownPeers().length;
    if (reports.length === 0 || !hearsRarelyOfTargets(peerCount)) {
      return heartbeat;
    }
    return {...heartbeat, congestedTargets: reports.map(roundAge)};
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

  function onHeartbeat(from: VmRecord, message: Heartbeat): void {
    const reachAgeMs = message.targetReach?.ageMs;
    options.directory.recordHeartbeat(from.id, {
      isServing: message.serving,
      isCutOff: message.targetReach?.cutOff === true,
      reachedTargetsAtMs:
        reachAgeMs === undefined ? undefined : timers.nowMs() - reachAgeMs,
    });
    options.regionPlan.recordPeerDemand(from.id, new Map(message.demand));
    rateLimits.recordPeerReports(from.id, message.rateLimits ?? []);
    if (message.quotaDemand) {
      quotas.recordPeerReport(from.id, message.quotaDemand);
    }
    copyComparison.compare(from.id, message.copyVersions ?? {});
    availability.recordPeerReports(from.id, message.leavingTargets ?? []);
    for (const {incarnation, load, ageMs} of message.congestedTargets ?? []) {
      targetLoad.recordPeerReport(incarnation, load, timers.nowMs() - ageMs);
    }
    if (message.watchAgeMs !== undefined) {
      options.watcherSelection.recordPeerConfirmation(
        timers.nowMs() - message.watchAgeMs,
      );
    }
  }

  function heartbeatMessage(
    rateLimitReports: readonly RateLimitReport[],
    leavingReports: readonly LeavingReport[],
    copyVersions: CopyVersions | undefined,
  ): Heartbeat {
    const {demandMeter} = options.regionPlan;
    const {targetReach} = options;
    const isCutOff = targetReach.reach() === 'cut-off';
    const watchAgeMs = roundUp(follower.watchAgeMs());
    const reachAgeMs = roundUp(targetReach.reachedAgeMs());
    // Each VM sends this to every other one several times a second, so what
    // tells nothing is left out, and integers take fewer bytes than fractions.
    return {
      kind: 'heartbeat',
      serving: options.isServing(),
      // Its clients go to other VMs, which tell of them.
      demand: isCutOff ? [] : [...demandMeter.demandByService(timers.nowMs())],
      targetReach: {
        cutOff: isCutOff,
        ...(reachAgeMs !== undefined && {ageMs: reachAgeMs}),
      },
      ...(watchAgeMs !== undefined && {watchAgeMs}),
      ...(copyVersions && {copyVersions}),
      ...(rateLimitReports.length > 0 && {rateLimits: [...rateLimitReports]}),
      ...(leavingReports.length > 0 && {leavingTargets: [...leavingReports]}),
    };
  }

  function isWatcher(): boolean {
    return (follower.watchAgeMs() ?? Infinity) < RECENT_WATCH_MS;
  }

  /** States when a peer that needs fewer heartbeats gets the next one. */
  function toFar(heartbeat: Heartbeat): Heartbeat {
    const peerCount = mesh.knownPeers().length;
    const nextWithinMs = farHeartbeatWithinMs(peerCount, isWatcher());
    return {...heartbeat, nextWithinMs};
  }

  return {
    onPeerConnected,
    onMessage,
    sendDueHeartbeat: () => {
      const due = schedule.next(mesh.knownPeers().length, isWatcher());
      broadcastHeartbeat(due);
    },
    broadcastHeartbeat: () => broadcastHeartbeat('all'),
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

function withQuotaDemand(
  heartbeat: Heartbeat,
  demand: QuotaDemandReport | undefined,
): Heartbeat {
  if (!demand) {
    return heartbeat;
  }
  const rates = demand.rates.map(([workspace, perSecond]): [string, number] => [
    workspace,
    perSecond,
  ]);
  return {...heartbeat, quotaDemand: {whole: demand.whole, rates}};
}

function roundAge(report: CongestionReport): CongestionReport {
  return {...report, ageMs: Math.ceil(report.ageMs)};
}

/** Rounded up, so that nothing seems newer than it is. */
function roundUp(ageMs: number | undefined): number | undefined {
  return ageMs === undefined ? undefined : Math.ceil(ageMs);
}
