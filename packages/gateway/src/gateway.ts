/**
 * Assembles an entry VM for a platform whose store holds targets and
 * configuration: forwarding, client directory, store mirrors and peer links.
 */
import {
  DEFAULT_PLACEMENT_PARAMETERS,
  type SharingVm,
  createAffinityPlacement,
  createClientRetryDetector,
  createColdStartLimiter,
  createRandomSource,
  createWindowedRetryBudget,
  createServiceTimes,
  createFractionalTokenBucket,
  createTargetLoad,
  createWarmKeys,
  createWatcherSelection,
  hash32,
  maximumIdleConnections,
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
import {createGatewayMetrics, registerGauges} from './core/gateway_metrics.js';
import type {GatewayProtocol} from './core/protocol.js';
import type {GatewaySettings} from './core/settings.js';
import {createAcceptBacklog} from './forwarding/accept_backlog.js';
import {createClientFacingServer} from './forwarding/client_facing_server.js';
import {recordEndlessAnswer} from './forwarding/attempt_recording.js';
import type {ForwardingContext} from './forwarding/context.js';
import {createCrashGuard} from './forwarding/crash_guard.js';
import {logFinishedRequest} from './forwarding/request_log.js';
import {createTargetConnections} from './forwarding/target_connections.js';
import {createAdmissionQueue} from './forwarding/admission_queue.js';
import {createSendScheduler} from './forwarding/send_scheduler.js';
import type {VmRecord} from './peers/messages.js';
import {createPeerConversation} from './peers/peer_conversation.js';
import {createPeerMesh} from './peers/peer_mesh.js';
import {createVmRegistration} from './peers/vm_registration.js';
import {runGracefulStop} from './graceful_stop.js';
import {createRegionPlan} from './region_plan.js';
import {
  RATE_LIMIT_LOG_INTERVAL_MS,
  createTargetRateLimits,
} from './target_rate_limits.js';
import {createStoreFollower} from './store/store_follower.js';

export interface GatewayOptions {
  readonly settings: GatewaySettings;
  readonly protocol: GatewayProtocol;
  readonly store: PlatformStore;
  readonly timers: TimerService;
  readonly log: Logger;
}

export interface Gateway {
  start(): Promise<void>;
  /**
   * Stops gracefully; resolves when the last request is answered or the stop's
   * time limit is reached. Further calls return the same promise.
   */
  stop(): Promise<void>;
  /** Applies changed bounds; other settings need a restart. */
  applySettings(next: GatewaySettings): void;
  /** Stops at once and cuts off requests in flight. */
  terminate(): Promise<void>;
}

const HEARTBEAT_INTERVAL_MS = 400;
const REGISTRY_EXPIRY_INTERVAL_MS = 100;
/** Demand reported by a peer counts until the peer is silent for longer. */
const PEER_DEMAND_LIFETIME_MS = 3_000;
/** Peers that were silent for longer count as gone unless all are silent. */
const RECENT_PEER_SPAN_MS = 25_000;
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
const METRICS_PATH = '/metrics';

export function createGateway(options: GatewayOptions): Gateway {
  const {settings, protocol, timers, log} = options;
  const {vm} = settings;
  let {bounds} = settings;
  const targetLoad = createTargetLoad();
  const serviceTimes = createServiceTimes();
  const warmKeys = createWarmKeys();
  const connections = createTargetConnections({
    timers,
    onUnsolicitedBytes: (incarnation, bytes) => {
      const target = registry
        .all()
        .find(listed => listed.incarnation === incarnation);
      if (target) {
        recordEndlessAnswer(context, {
          request: undefined,
          target,
          answer: {cause: 'bytes-after-end', bytes, decidesOutcome: false},
        });
      }
    },
  });
  const coldStartLimiter = createColdStartLimiter(vm);
  const spilloverBudget = createFractionalTokenBucket(
    SPILLOVER_FRACTION,
    SPILLOVER_BURST,
  );
  const timerHandles: TimerHandle[] = [];
  const metrics = createGatewayMetrics();
  const acceptBacklog = createAcceptBacklog({
    timers,
    log,
    recordSpan: metrics.recordAcceptBacklog,
  });
  const rateLimits = createTargetRateLimits({
    self: vm,
    timers,
    log,
    onNews: () => peerConversation.broadcastHeartbeat(),
    countLimitedSend: metrics.countLimitedSend,
  });
  const crashGuard = createCrashGuard({
    timers,
    log,
    notifyPeers: (fingerprint, target) =>
      mesh.broadcast({kind: 'target-lost', fingerprint, target}),
  });
  const startedAtMs = timers.nowMs();
  /** The other VMs that share the bounds of the fleet with this one. */
  let sharingVms: readonly SharingVm[] = [];
  let stopping = false;
  let stopCompletion: Promise<void> | undefined;

  const fleet = createFleetState({
    protocol,
    zoneRegions: settings.zoneRegions,
    timers,
    log,
    onConfiguration: ({limits}) => clientFacingServer.setLimits(limits),
    onTargetRemoved: incarnation => {
      crashGuard.recordTargetDeath(incarnation);
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
    startedWallMs: timers.wallMs(),
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

  const mesh = createPeerMesh({
    self,
    listen: settings.listen.peers,
    seeds: settings.seeds,
    timers,
    log,
    onPeerConnected: peer => peerConversation.onPeerConnected(peer),
    onMessage: (from, message) => peerConversation.onMessage(from, message),
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
    fleet,
    regionPlan,
    rateLimits,
    crashGuard,
    watcherSelection,
    timers,
    isServing,
  });

  const context: ForwardingContext = {
    timers,
    log,
    protocol,
    answerBounds: settings.answers,
    region: vm.region,
    droppedHeaders: new Set([
      protocol.headers.deadlineMs,
      protocol.headers.expectedTarget,
      'content-length',
      'expect',
    ]),
    placement: createAffinityPlacement({
      zone: vm.zone,
      region: vm.region,
      registry,
      targetLoad,
      serviceTimes,
      warmKeys,
      parameters: DEFAULT_PLACEMENT_PARAMETERS,
      regionShares: regionPlan.shares,
      random: createRandomSource(hash32(`${vm.id} ${self.startedWallMs}`)),
      tryTakeSpillover: () => spilloverBudget.take(),
      coldStartAllows: (target, nowMs) =>
        coldStartLimiter.allows(
          target,
          fleet.coldRequestsPerSecond(target.entry.service),
          nowMs,
        ),
      rateLimitAllows: rateLimits.allows,
    }),
    targetLoad,
    serviceTimes,
    warmKeys,
    retryBudget: createWindowedRetryBudget({
      windowMs: bounds.retryWindowMs,
      ratio: () => bounds.retryRatio,
      slack: () => bounds.retrySlack,
      // A VM that has just ended may have used its part within the window.
      vmCount: () => Math.max(sharingVms.length, mesh.knownPeers().length) + 1,
    }),
    connections,
    crashGuard,
    clientRetryDetector: createClientRetryDetector(),
    admissionQueue: createAdmissionQueue(timers),
    sendScheduler: createSendScheduler({timers, acceptBacklog}),
    isStopping: () => stopping,
    maximumIdleConnections: service =>
      maximumIdleConnections(
        fleet.maximumConnections(service),
        sharingVms.length + 1,
      ),
    onRequestArrived: (service, expectedMs, nowMs) => {
      spilloverBudget.credit();
      regionPlan.demandMeter.recordArrival(service, expectedMs, nowMs);
    },
    retryAfterMs: () => REFUSED_RETRY_AFTER_MS,
    onRequestSent: (target, nowMs) => {
      const {incarnation, entry} = target;
      rateLimits.recordSent(target);
      if (
        registry.isCold(target, nowMs) ||
        targetLoad.isRecovering(incarnation, nowMs)
      ) {
        const perSecond = fleet.coldRequestsPerSecond(entry.service);
        coldStartLimiter.takeToken(target, perSecond, nowMs);
      }
    },
    onRateLimitAnswer: rateLimits.recordAnswer,
    onEndlessAnswer: metrics.countEndlessAnswer,
    onAttemptEnded: (service, outcome) =>
      metrics.recordAttempt(service, outcome),
    onRequestFinished: request => {
      metrics.recordRequest(request);
      logFinishedRequest(log, request);
    },
  };

  const clientFacingServer = createClientFacingServer({
    address: settings.listen.caller,
    context,
    acceptBacklog,
    routes: fleet.routes,
  });
  const readinessServer = createControlServer(
    settings.listen.readiness,
    new Map([
      [protocol.readinessPath, () => ({status: isServing() ? 200 : 503})],
    ]),
  );
  const directoryServer = createControlServer(
    settings.listen.directory,
    new Map([[protocol.directoryPath, resolveDirectory]]),
  );

  const metricsServer = createControlServer(
    settings.listen.metrics,
    new Map([
      [METRICS_PATH, async () => ({status: 200, body: await metrics.text()})],
    ]),
  );
  registerGauges(metrics, {
    inFlight: () => clientFacingServer.inFlight(),
    scheduledSends: () => context.sendScheduler.length(),
    configurationVersion: () => fleet.routes()?.configuration.version,
    storeConfirmationAgeMs: () => follower.watchAgeMs(),
    storeEra: () => follower.era(),
    storeRestoreMs: () => follower.restoreMs(),
    liveVms: () => directory.liveVmIds().length,
    targets: () => registry.all().length,
    limitedTargets: rateLimits.count,
  });

  function isServing(): boolean {
    return fleet.routes() !== undefined && follower.isComplete() && !stopping;
  }

  function resolveDirectory(url: URL) {
    const query = protocol.readDirectoryQuery(url.searchParams);
    const resolution = directory.resolve(query, bounds.directoryLifetimeMs);
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
    peerConversation.broadcastHeartbeat();
    const liveVmIds = directory.liveVmIds();
    watcherSelection.setVms(liveVmIds);
    updateSharingVms();
    const services = fleet.routes()?.configuration.services.keys() ?? [];
    regionPlan.update(services, mesh.peersHeardWithin(PEER_DEMAND_LIFETIME_MS));
  }

  function updateSharingVms(): void {
    sharingVms = vmsThatShare({
      self: vm,
      zoneRegions: settings.zoneRegions,
      live: directory.livePeers(),
      recent: mesh.peersHeardWithin(RECENT_PEER_SPAN_MS),
      known: mesh.knownPeers(),
      uptimeMs: timers.nowMs() - startedAtMs,
    });
    coldStartLimiter.setVms(sharingVms);
    rateLimits.setVms(sharingVms);
  }

  async function start(): Promise<void> {
    updateSharingVms();
    await Promise.all([
      clientFacingServer.listen(),
      readinessServer.listen(),
      directoryServer.listen(),
      metricsServer.listen(),
      mesh.listen(),
    ]);
    follower.start();
    registration.start();
    timerHandles.push(
      startEventLoopMonitor({
        timers,
        log,
        recordDelay: metrics.recordEventLoopDelay,
      }),
      timers.every(HEARTBEAT_INTERVAL_MS, onHeartbeatDue),
      timers.every(REGISTRY_EXPIRY_INTERVAL_MS, fleet.expire),
      timers.every(RATE_LIMIT_LOG_INTERVAL_MS, rateLimits.logSends),
    );
    log.log('info', 'vm-started', {
      zone: vm.zone,
      region: vm.region,
      callers: self.callerAddress,
    });
  }

  function stop(): Promise<void> {
    if (stopCompletion) {
      log.log('info', 'vm-stopping', {repeated: true});
      return stopCompletion;
    }
    stopping = true;
    stopCompletion = runGracefulStop({
      clientFacingServer,
      timers,
      log,
      graceMs: bounds.stopGraceMs,
      announceStop: peerConversation.broadcastHeartbeat,
      stopComponents,
    });
    return stopCompletion;
  }

  function stopComponents(): void {
    for (const handle of timerHandles) {
      handle.cancel();
    }
    follower.stop();
    registration.stop();
    mesh.close();
    readinessServer.close();
    directoryServer.close();
    metricsServer.close();
    connections.close();
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

  return {start, stop, applySettings, terminate};
}
