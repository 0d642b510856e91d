/**
 * Assembles an entry VM for a platform whose store holds targets and
 * configuration: forwarding, client directory, store mirrors and peer links.
 */
import {
  DEFAULT_PLACEMENT_PARAMETERS,
  type SharingVm,
  type TargetReach,
  createAffinityPlacement,
  createClientRetryDetector,
  createColdStartLimiter,
  createCongestionReports,
  createRandomSource,
  createWindowedRetryBudget,
  createTypicalLoad,
  createEstimateTrials,
  createServiceTimes,
  createSlotTimeShares,
  createFractionalTokenBucket,
  createTargetLoad,
  createWarmKeys,
  createWatcherSelection,
  freeSlots,
  hash32,
  maximumIdleConnections,
  returnDelayMs,
  vmsThatShare,
} from '@ibisbeam/decision';
import type {
  Logger,
  PlatformStore,
  TimerHandle,
  TimerService,
} from '@ibisbeam/library';
import {createFleetState} from './fleet_state.js';
import {createControlServer} from './control/control_server.js';
import {createVmDirectory} from './control/vm_directory.js';
import {startEventLoopMonitor} from './core/event_loop_monitor.js';
import {readProcessHeap, startHeapMonitor} from './core/heap_monitor.js';
import type {InputFault} from './core/input_faults.js';
import {createGatewayMetrics, registerGauges} from './core/gateway_metrics.js';
import {listenWhenAvailable} from './core/listening.js';
import type {GatewayProtocol} from './core/protocol.js';
import type {GatewaySettings} from './core/settings.js';
import {createAcceptBacklog} from './forwarding/accept_backlog.js';
import {createClientFacingServer} from './forwarding/client_facing_server.js';
import type {ForwardingContext} from './forwarding/context.js';
import {createCrashGuard} from './forwarding/crash_guard.js';
import {createHeldMemory} from './forwarding/held_memory.js';
import {
  ANSWERED_LOG_INTERVAL_MS,
  createRequestLog,
} from './forwarding/request_log.js';
import {
  type ConnectToTarget,
  createTargetConnections,
} from './forwarding/target_connections.js';
import {createAdmissionQueue} from './forwarding/admission_queue.js';
import {createSendScheduler} from './forwarding/send_scheduler.js';
import {
  HEARTBEAT_INTERVAL_MS,
  hearsRarelyOfTargets,
} from './peers/heartbeat_schedule.js';
import type {VmRecord} from './peers/messages.js';
import {
  createPeerConversation,
  requestAnsweredMessage,
} from './peers/peer_conversation.js';
import {createPeerMesh} from './peers/peer_mesh.js';
import {createVmRegistration} from './peers/vm_registration.js';
import {createGracefulStop} from './graceful_stop.js';
import {createRegionPlan} from './region_plan.js';
import {
  RATE_LIMIT_LOG_INTERVAL_MS,
  createTargetRateLimits,
} from './target_rate_limits.js';
import {createCopyGuard} from './store/copy_guard.js';
import {createEntrySelections} from './store/entry_selection.js';
import {createTargetAvailability} from './target_availability.js';
import {createStoreFollower} from './store/store_follower.js';
import {createCallerIdentity} from './workspaces/caller_identity.js';
import {
  QUOTA_LOG_INTERVAL_MS,
  createWorkspaceQuotas,
} from './workspaces/workspace_quotas.js';
import {createTargetReachMonitor} from './target_reach.js';
import {TRAFFIC_LOG_INTERVAL_MS, createTrafficMeter} from './traffic_meter.js';

export interface GatewayOptions {
  readonly settings: GatewaySettings;
  readonly protocol: GatewayProtocol;
  readonly store: PlatformStore;
  readonly timers: TimerService;
  readonly log: Logger;
  /** Identifies the program in logs; absent if it was not bundled. */
  readonly build?: string | undefined;
  /** Default: a TCP connection. */
  readonly connectToTarget?: ConnectToTarget;
  /** Replaces the VM's own finding, for tests. */
  targetReach?(): TargetReach;
}

export interface Gateway {
  /** Rejects if it cannot listen on an address, after some seconds of trying. */
  start(): Promise<void>;
  /**
   * Stops gracefully; resolves when the last request is answered or the stop's
   * time limit is reached. Further calls return the same promise.
   */
  stop(): Promise<void>;
  /** Applies changed bounds; other settings need a restart. */
  applySettings(next: GatewaySettings): void;
  /** Tells of an answer that `store` has read no further. */
  recordRefusedStoreAnswer(fault: InputFault, bytes: number): void;
  /** Stops at once and cuts off requests in flight. */
  terminate(): Promise<void>;
}

const REGISTRY_EXPIRY_INTERVAL_MS = 100;
const CRASH_GUARD_INTERVAL_MS = 100;
const AVAILABILITY_EXPIRY_INTERVAL_MS = 1_000;
/** Demand reported by a peer counts until the peer is silent for longer. */
const PEER_DEMAND_LIFETIME_MS = 3_000;
/** Peers that were silent for longer count as gone unless all are silent. */
const RECENT_PEER_SPAN_MS = 25_000;
/**
 * A VM that hears from few peers within this time may not be heard by them
 * either. Longer than two heartbeat intervals.
 */
const QUOTA_PEER_SPAN_MS = 1_000;
/** Number of VMs that always watch the store. */
const STORE_WATCHER_COUNT = 2;
/**
 * Another VM starts to watch when the newest confirmation is older. Healthy
 * watchers confirm more often.
 */
const WATCH_TAKEOVER_DELAY_MS = 1_500;
/** Added per VM in rank order, so that VMs do not all take over at once. */
const WATCH_TAKEOVER_DELAY_PER_RANK_MS = 150;
/** Fraction of requests that may go to another region because of load. */
const SPILLOVER_FRACTION = 0.08;
const SPILLOVER_BURST = 5;
const REFUSED_RETRY_AFTER_MS = 250;
/** New targets are listed, and known to all VMs, within about this time. */
const LEAVING_RETRY_AFTER_MS = 1_000;
const METRICS_PATH = '/metrics';

export function createGateway(options: GatewayOptions): Gateway {
  const {settings, protocol, timers, log} = options;
  const {vm} = settings;
  let {bounds} = settings;
  const targetLoad = createTargetLoad();
  const congestion = createCongestionReports();
  const typicalLoad = createTypicalLoad();
  const serviceTimes = createServiceTimes();
  const warmKeys = createWarmKeys();
  const slotTimes = createSlotTimeShares();
  const heldMemory = createHeldMemory({
    memoryBytes: settings.memoryBytes,
    timers,
    log,
  });
  const coldStartLimiter = createColdStartLimiter(vm);
  const spilloverBudget = createFractionalTokenBucket(
    SPILLOVER_FRACTION,
    SPILLOVER_BURST,
  );
  const timerHandles: TimerHandle[] = [];
  const metrics = createGatewayMetrics();
  const connections = createTargetConnections(timers, {
    connect: options.connectToTarget,
    onUnsolicitedBytes: () => metrics.countRefusedInput('target', 'unexpected'),
  });
  const peerConnections = createTargetConnections(timers, {
    onUnsolicitedBytes: () => metrics.countRefusedInput('peer', 'unexpected'),
  });
  const traffic = createTrafficMeter({
    self: vm,
    log,
    countBytes: metrics.countTraffic,
  });
  const requestLog = createRequestLog(log);
  const acceptBacklog = createAcceptBacklog({
    timers,
    log,
    recordSpan: metrics.recordAcceptBacklog,
  });
  const startedWallMs = timers.wallMs();
  const random = createRandomSource(hash32(`${vm.id} ${startedWallMs}`));
  const callers = createCallerIdentity(protocol.headers);
  const quotas = createWorkspaceQuotas({
    self: vm.id,
    timers,
    log,
    random,
    tolerance: () => bounds.quotaTolerance,
    countDecision: metrics.countQuotaDecision,
  });
  const rateLimits = createTargetRateLimits({
    self: vm,
    timers,
    log,
    onNews: () => peerConversation.broadcastHeartbeat(),
    countLimitedSend: metrics.countLimitedSend,
  });
  const crashGuard = createCrashGuard({
    self: vm.id,
    timers,
    log,
    liveVms: () => directory.liveVmIds(),
    targetCount: service => registry.usable(service).length,
    probe: incarnation => reachMonitor.evidence.doubt(incarnation),
    notifyPeersOfLoss: loss => mesh.broadcast({kind: 'target-lost', ...loss}),
    notifyPeersOfSurvival: report =>
      mesh.broadcast(requestAnsweredMessage(report)),
  });
  const reachMonitor = createTargetReachMonitor({
    timers,
    log,
    connect: options.connectToTarget,
    countConnection: metrics.countTargetConnection,
    listedTargets: () => (hasState() ? registry.all() : undefined),
    hasPeers: () => directory.livePeers().length > 0,
    peerReachedAtMs: () => directory.peerReachedTargetsAtMs(),
    onTargetDeath: (incarnation, atMs) =>
      crashGuard.recordTargetDeath(incarnation, 'unreachable', atMs),
    onCutOff: () => {
      connections.closeAllIdle();
      crashGuard.forgetRuns();
    },
    onReturn: targetLoad.forgetFailures,
    onReadyChange: () => {
      logServingChange();
      peerConversation.broadcastHeartbeat();
    },
  });
  const availability = createTargetAvailability({
    vm: vm.id,
    timers,
    log,
    registry: () => registry,
    inFlight: targetLoad.inFlight,
    onLeaving: connections.retire,
    onPoolClosed: service => context.admissionQueue.offerAll(service),
    onNews: () => peerConversation.broadcastHeartbeat(),
  });
  const startedAtMs = timers.nowMs();
  /** The other VMs that share the bounds of the fleet with this one. */
  let sharingVms: readonly SharingVm[] = [];
  let stopping = false;
  let wasServing = false;
  let stopCompletion: Promise<void> | undefined;

  const fleet = createFleetState({
    protocol,
    zoneRegions: settings.zoneRegions,
    timers,
    log,
    onConfiguration: ({limits, workspaces}) => {
      clientFacingServer.setLimits(limits);
      callers.setWorkspaces(workspaces);
      quotas.setWorkspaces(workspaces ?? []);
    },
    isLeaving: availability.isLeaving,
    onTargetDraining: availability.recordListedLeaving,
    onTargetRemoved: ({incarnation, entry}) => {
      const hasLeft = entry.draining || availability.isLeaving(incarnation);
      crashGuard.recordTargetDeath(incarnation, hasLeft ? 'left' : 'vanished');
      connections.removePool(incarnation);
      targetLoad.remove(incarnation);
      rateLimits.removeTarget(incarnation);
    },
  });
  const {registry} = fleet;

  const regionPlan = createRegionPlan({
    region: vm.region,
    zoneRegions: settings.zoneRegions,
    maximumShift: bounds.regionShift,
    registry,
    rateLimitOf: rateLimits.limitOf,
    timers,
  });

  const self: VmRecord = {
    id: vm.id,
    startedWallMs,
    host: vm.host,
    callerAddress: `${settings.listen.caller.host}:${settings.listen.caller.port}`,
    zone: vm.zone,
    region: vm.region,
  };

  const watcherSelection = createWatcherSelection({
    self: vm.id,
    watcherCount: STORE_WATCHER_COUNT,
    takeoverDelayMs: WATCH_TAKEOVER_DELAY_MS,
    takeoverDelayPerRankMs: WATCH_TAKEOVER_DELAY_PER_RANK_MS,
  });

  const follower = createStoreFollower({
    store: options.store,
    kindNames: protocol.kinds,
    selections: createEntrySelections({protocol, log}),
    watcherSelection,
    timers,
    log,
    onChange: fleet.applyChange,
    onRestored: () => {
      fleet.beginRestore();
      registration.renew();
      peerConversation.tellStartedVms();
    },
    broadcast: message => mesh.broadcast(message),
  });

  const copyGuard = createCopyGuard({
    follower,
    timers,
    log,
    send: (peerId, message) => mesh.send(peerId, message),
    broadcast: message => mesh.broadcast(message),
  });

  const mesh = createPeerMesh({
    self,
    relayToken: callers.relayToken,
    listen: settings.listen.peers,
    seeds: settings.seeds,
    timers,
    log,
    traffic,
    onPeerConnected: peer => peerConversation.onPeerConnected(peer),
    onMessage: (from, message) => peerConversation.onMessage(from, message),
    onRefusedInput: fault => metrics.countRefusedInput('peer', fault),
  });

  const directory = createVmDirectory({self, mesh, timers, isServing});
  const registration = createVmRegistration({
    self,
    store: options.store,
    kind: protocol.kinds.entryVms,
    timers,
    log,
    mesh,
  });

  const peerConversation = createPeerConversation({
    mesh,
    directory,
    follower,
    copyGuard,
    fleet,
    regionPlan,
    rateLimits,
    quotas,
    availability,
    crashGuard,
    congestion,
    targetLoad,
    watcherSelection,
    timers,
    log,
    isServing,
    targetReach: reachMonitor,
  });

  const droppedHeaders: readonly string[] = [
    protocol.headers.deadlineMs,
    protocol.headers.expectedTarget,
    protocol.headers.relayedFor,
    protocol.headers.relayToken,
    'content-length',
    'expect',
  ];

  const context: ForwardingContext = {
    timers,
    log,
    protocol,
    zone: vm.zone,
    region: vm.region,
    droppedHeaders: new Set(droppedHeaders),
    droppedCallerHeaders: new Set([
      ...droppedHeaders,
      protocol.headers.apiKey,
      protocol.headers.workspace,
    ]),
    callers,
    quotas,
    mayHoldRemovedKeys: () =>
      bounds.revocationMs !== undefined &&
      copiesConfirmedAgeMs() > bounds.revocationMs,
    relayTokenOf: mesh.relayTokenOf,
    // It tells of the target's connection, not of the caller's.
    droppedAnswerHeaders: new Set([protocol.headers.leaving]),
    placement: createAffinityPlacement({
      zone: vm.zone,
      region: vm.region,
      registry,
      targetLoad,
      serviceTimes,
      warmKeys,
      parameters: DEFAULT_PLACEMENT_PARAMETERS,
      regionShares: regionPlan.shares,
      random,
      tryTakeSpillover: () => spilloverBudget.take(),
      assumedRequestsPerSlot: (service, nowMs) =>
        isSparseFleet() ? typicalLoad.requestsPerSlot(service, nowMs) : 0,
      coldStartAllows: (target, nowMs) =>
        coldStartLimiter.allows(
          target,
          fleet.coldRequestsPerSecond(target.entry.service),
          nowMs,
        ),
      rateLimitAllows: rateLimits.allows,
      statedAvailability: availability.stated,
    }),
    targetLoad,
    congestion,
    typicalLoad,
    serviceTimes,
    estimateTrials: createEstimateTrials(),
    freeSlots: service =>
      freeSlots(registry.usable(service), targetLoad, timers.nowMs()),
    warmKeys,
    retryBudget: createWindowedRetryBudget({
      windowMs: bounds.retryWindowMs,
      ratio: () => bounds.retryRatio,
      slack: () => bounds.retrySlack,
      // A VM that has just ended may have used its part within the window.
      vmCount: () => Math.max(sharingVms.length, mesh.knownPeers().length) + 1,
    }),
    connections,
    peerConnections,
    crashGuard,
    reachEvidence: reachMonitor.evidence,
    clientRetryDetector: createClientRetryDetector(),
    admissionQueue: createAdmissionQueue(timers, slotTimes),
    slotTimes,
    heldMemory,
    isContended: service =>
      isSparseFleet() &&
      typicalLoad.requestsPerSlot(service, timers.nowMs()) >= 1,
    sendScheduler: createSendScheduler({timers, acceptBacklog}),
    gracefulStop: {
      phase: () => gracefulStop.phase(),
      mayBegin: expectedMs => gracefulStop.mayBegin(expectedMs),
    },
    findRoute: incoming =>
      fleet.routes()?.find(incoming.headers.host ?? '', incoming.url ?? '/'),
    copyGuard,
    targetReach: options.targetReach ?? reachMonitor.reach,
    relayPeers: directory.peersReachingTargets,
    maximumIdleConnections: service =>
      maximumIdleConnections(
        fleet.maximumConnections(service),
        sharingVms.length + 1,
      ),
    onRequestArrived: (service, expectedMs, nowMs) => {
      spilloverBudget.credit();
      if (reachMonitor.reach() === 'cut-off') {
        return;
      }
      regionPlan.demandMeter.recordArrival(service, expectedMs, nowMs);
    },
    availability,
    retryAfterMs: (service, homeRegions, waitMs) => {
      const pool = availability.poolOf(service, homeRegions);
      switch (pool.kind) {
        case 'open':
        case 'resuming':
          return isSparseFleet()
            ? returnDelayMs(waitMs, REFUSED_RETRY_AFTER_MS, random.next())
            : REFUSED_RETRY_AFTER_MS;
        case 'pausing':
          return pool.leftMs;
        case 'leaving':
          return LEAVING_RETRY_AFTER_MS;
      }
    },
    onRequestSent: (target, nowMs) => {
      const {incarnation, entry} = target;
      rateLimits.recordSent(target);
      availability.recordSent(target);
      if (
        registry.isCold(target, nowMs) ||
        targetLoad.isRecovering(incarnation, nowMs)
      ) {
        const perSecond = fleet.coldRequestsPerSecond(entry.service);
        coldStartLimiter.takeToken(target, perSecond, nowMs);
      }
    },
    onRateLimitAnswer: rateLimits.recordAnswer,
    recordTraffic: traffic.record,
    onAttemptEnded: (service, outcome) =>
      metrics.recordAttempt(service, outcome),
    onRefusedInput: metrics.countRefusedInput,
    onRelayEnded: metrics.recordRelay,
    onRequestFinished: request => {
      metrics.recordRequest(request);
      requestLog.record(request);
    },
  };

  const clientFacingServer = createClientFacingServer({
    address: settings.listen.caller,
    context,
    acceptBacklog,
    routes: fleet.routes,
  });
  const gracefulStop = createGracefulStop({
    clientFacingServer,
    timers,
    log,
    graceMs: () => bounds.stopGraceMs,
    announceStop: () => peerConversation.broadcastHeartbeat(),
    stopComponents,
  });
  const countRefusedControl = (fault: InputFault): void =>
    metrics.countRefusedInput('control', fault);
  const readinessServer = createControlServer(
    settings.listen.readiness,
    new Map([
      [protocol.readinessPath, () => ({status: isServing() ? 200 : 503})],
    ]),
    countRefusedControl,
  );
  const directoryServer = createControlServer(
    settings.listen.directory,
    new Map([[protocol.directoryPath, resolveDirectory]]),
    countRefusedControl,
  );

  const metricsServer = createControlServer(
    settings.listen.metrics,
    new Map([
      [METRICS_PATH, async () => ({status: 200, body: await metrics.text()})],
    ]),
    countRefusedControl,
  );
  registerGauges(metrics, {
    inFlight: () => clientFacingServer.inFlight(),
    scheduledSends: () => context.sendScheduler.length(),
    configurationVersion: () => fleet.routes()?.configuration.version,
    storeConfirmationAgeMs: () => follower.watchAgeMs(),
    storeEra: () => follower.era(),
    storeRestoreMs: () => follower.restoreMs(),
    copiesBehindMs: peerConversation.copiesBehindMs,
    liveVms: () => directory.liveVmIds().length,
    targets: () => registry.all().length,
    limitedTargets: rateLimits.count,
    isCutOff: () => reachMonitor.reach() === 'cut-off',
    leavingTargets: availability.leavingCount,
    pausingTargets: availability.pausingCount,
    unsettledRuns: crashGuard.unsettledRuns,
    heldBodyBytes: heldMemory.bodyBytes,
    heldBytes: heldMemory.heldBytes,
    heapUsedFraction: () => {
      const {usedBytes, limitBytes} = readProcessHeap();
      return usedBytes / limitBytes;
    },
    waitingForTurn: heldMemory.waiting,
  });

  /** Time since the store has last answered this VM or a peer that watches. */
  function copiesConfirmedAgeMs(): number {
    const confirmedAtMs = Math.max(
      follower.lastConfirmedMs(),
      watcherSelection.lastPeerConfirmationMs(),
    );
    return timers.nowMs() - confirmedAtMs;
  }

  /** Whether what is at a target mostly comes from other VMs, unseen. */
  function isSparseFleet(): boolean {
    return hearsRarelyOfTargets(mesh.knownPeers().length);
  }

  /** Whether configuration and targets are known. */
  function hasState(): boolean {
    return fleet.routes() !== undefined && follower.isComplete();
  }

  function isServing(): boolean {
    return (
      hasState() &&
      copyGuard.state() === 'confirmed' &&
      reachMonitor.isReady() &&
      !stopping
    );
  }

  function logServingChange(): void {
    const serving = isServing();
    if (serving !== wasServing) {
      wasServing = serving;
      log.log('info', 'vm-serving', {serving});
    }
  }

  function resolveDirectory(url: URL) {
    const query = protocol.readDirectoryQuery(url.searchParams);
    const homeRegions = fleet.routes()?.homeRegionsOf(query.host ?? '') ?? [];
    const resolution = directory.resolve(
      query,
      homeRegions,
      bounds.directoryLifetimeMs,
    );
    if (resolution.addresses.length === 0) {
      return {status: 503};
    }
    return {
      status: 200,
      contentType: 'application/json',
      body: protocol.writeDirectoryResponse(
        resolution.addresses,
        resolution.lifetimeSeconds,
      ),
    };
  }

  function onHeartbeatDue(): void {
    logServingChange();
    peerConversation.sendDueHeartbeat();
    const liveVmIds = directory.liveVmIds();
    copyGuard.observeContacts({
      confirmedAtMs: follower.lastConfirmedMs(),
      heardPeers: directory.livePeers().length,
      recentPeers: mesh.peersHeardWithin(RECENT_PEER_SPAN_MS).length,
    });
    watcherSelection.setVms(liveVmIds);
    updateSharingVms();
    regionPlan.update(
      fleet.objectives(),
      mesh.peersHeardWithin(PEER_DEMAND_LIFETIME_MS),
    );
  }

  function updateSharingVms(): void {
    sharingVms = vmsThatShare({
      self: vm,
      zoneRegions: settings.zoneRegions,
      live: directory.workingPeers(),
      recent: mesh.peersHeardWithin(RECENT_PEER_SPAN_MS),
      known: mesh.knownPeers(),
      uptimeMs: timers.nowMs() - startedAtMs,
    });
    coldStartLimiter.setVms(sharingVms);
    rateLimits.setVms(sharingVms);
    availability.stated.setVms(sharingVms.map(({id}) => id));
    setQuotaVms();
  }

  /**
   * A VM that is silent may be serving callers with its part of the quotas, so
   * it counts for longer than with other bounds.
   */
  function setQuotaVms(): void {
    const recent = mesh.peersHeardWithin(RECENT_PEER_SPAN_MS);
    const isStarting = recent.length < sharingVms.length;
    const counted = isStarting ? sharingVms : recent;
    quotas.setVms(
      counted.map(({id}) => id),
      isStarting
        ? counted.length
        : mesh.peersHeardWithin(QUOTA_PEER_SPAN_MS).length,
    );
  }

  async function start(): Promise<void> {
    updateSharingVms();
    const servers = [
      clientFacingServer,
      readinessServer,
      directoryServer,
      metricsServer,
      mesh,
    ];
    const isStopping = (): boolean => stopping;
    await Promise.all(
      servers.map(server =>
        listenWhenAvailable(server.listen, {timers, log, isStopping}),
      ),
    );
    if (stopping) {
      return;
    }
    follower.start();
    copyGuard.start();
    registration.start();
    reachMonitor.start();
    timerHandles.push(
      startEventLoopMonitor({
        timers,
        log,
        recordDelay: metrics.recordEventLoopDelay,
      }),
      startHeapMonitor({timers, log}),
      timers.every(HEARTBEAT_INTERVAL_MS, onHeartbeatDue),
      timers.every(REGISTRY_EXPIRY_INTERVAL_MS, fleet.expire),
      timers.every(CRASH_GUARD_INTERVAL_MS, crashGuard.update),
      timers.every(AVAILABILITY_EXPIRY_INTERVAL_MS, availability.expire),
      timers.every(RATE_LIMIT_LOG_INTERVAL_MS, rateLimits.logSends),
      timers.every(TRAFFIC_LOG_INTERVAL_MS, traffic.flush),
      timers.every(QUOTA_LOG_INTERVAL_MS, quotas.logRefusals),
      timers.every(ANSWERED_LOG_INTERVAL_MS, requestLog.flush),
    );
    log.log('info', 'vm-started', {
      zone: vm.zone,
      region: vm.region,
      callers: self.callerAddress,
      metrics: `${settings.listen.metrics.host}:${settings.listen.metrics.port}`,
      build: options.build,
    });
  }

  function stop(): Promise<void> {
    if (stopCompletion) {
      log.log('info', 'vm-stopping', {repeated: true});
      return stopCompletion;
    }
    stopping = true;
    stopCompletion = gracefulStop.run();
    return stopCompletion;
  }

  function stopComponents(): void {
    for (const handle of timerHandles) {
      handle.cancel();
    }
    follower.stop();
    copyGuard.stop();
    registration.stop();
    reachMonitor.stop();
    mesh.close();
    readinessServer.close();
    directoryServer.close();
    metricsServer.close();
    connections.close();
    peerConnections.close();
  }

  async function terminate(): Promise<void> {
    stopping = true;
    stopComponents();
    await clientFacingServer.terminate();
  }

  function applySettings(next: GatewaySettings): void {
    bounds = next.bounds;
    log.log('info', 'settings-reloaded', {...next.bounds});
  }

  function recordRefusedStoreAnswer(fault: InputFault, bytes: number): void {
    metrics.countRefusedInput('store', fault);
    log.log('warn', 'store-answer-refused', {fault, bytes});
  }

  return {start, stop, applySettings, recordRefusedStoreAnswer, terminate};
}
