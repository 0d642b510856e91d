/**
 * One entry VM on a platform that lists its targets and keeps its
 * configuration: forwarding, directory, store copies and peer links.
 */
import {
  DEFAULT_PLACEMENT_PARAMETERS,
  createAffinityPlacement,
  createClientRetryDetector,
  createColdStartLimiter,
  createRandomSource,
  createWindowedRetryBudget,
  createServiceTimes,
  createFractionalTokenBucket,
  createTargetLoad,
  createWarmKeys,
  createWatchDuty,
  hash32,
} from '@ibisbeam/decision';
import type {
  Logger,
  PlatformStore,
  TimerHandle,
  TimerService,
} from '@ibisbeam/library';
import {createBeliefs} from './beliefs.js';
import {createControlServer} from './control/control_server.js';
import {createVmDirectory} from './control/vm_directory.js';
import {createGatewayMetrics, registerGauges} from './core/gateway_metrics.js';
import type {GatewayProtocol} from './core/protocol.js';
import type {GatewaySettings} from './core/settings.js';
import {createCallerServer} from './forwarding/caller_server.js';
import type {ForwardingContext} from './forwarding/context.js';
import {createCrashGuard} from './forwarding/crash_guard.js';
import {logFinished} from './forwarding/request_log.js';
import {createTargetConnections} from './forwarding/target_connections.js';
import {createAdmissionQueue} from './forwarding/admission_queue.js';
import type {PeerMessage, VmRecord} from './peers/messages.js';
import {createPeerMesh} from './peers/peer_mesh.js';
import {createVmRegistration} from './peers/vm_registration.js';
import {runPlannedStop} from './planned_stop.js';
import {createRegionPlan} from './region_plan.js';
import {STORE_KINDS, createStoreFollower} from './store/store_follower.js';

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
   * Planned stop; resolves when the last request has its answer. A further
   * call changes nothing and waits for the same end.
   */
  stop(): Promise<void>;
  /** Takes over changed bounds; what it listens on needs a restart. */
  applySettings(next: GatewaySettings): void;
  /** Ends at once; what is in flight is cut off. */
  abandon(): Promise<void>;
}

const HEARTBEAT_INTERVAL_MS = 400;
const REGISTRY_TICK_MS = 100;
/** What a silent peer said of its demand counts so long. */
const DEMAND_LIFETIME_MS = 3_000;
/** VMs that always watch the store. */
const STORE_WATCHERS = 2;
/** Longer than the age that a sound watcher's confirmation can reach. */
const WATCH_PATIENCE_MS = 1_500;
const WATCH_PATIENCE_PER_RANK_MS = 150;
/** Requests that load alone may move out of their region. */
const SPILLOVER_SHARE = 0.08;
const SPILLOVER_BURST = 5;
/** Base of the time after which a refused client may come back. */
const RETRY_AFTER_MS = 250;
const METRICS_PATH = '/metrics';

export function createGateway(options: GatewayOptions): Gateway {
  const {settings, protocol, timers, log} = options;
  const {vm} = settings;
  let {bounds} = settings;
  const load = createTargetLoad();
  const times = createServiceTimes();
  const warmKeys = createWarmKeys();
  const connections = createTargetConnections(timers);
  const coldAllowance = createColdStartLimiter(vm);
  const spillover = createFractionalTokenBucket(
    SPILLOVER_SHARE,
    SPILLOVER_BURST,
  );
  const handles: TimerHandle[] = [];
  const metrics = createGatewayMetrics();
  const crashGuard = createCrashGuard({
    timers,
    log,
    tellPeers: (fingerprint, target) =>
      mesh.broadcast({kind: 'target-lost', fingerprint, target}),
  });
  let stopping = false;
  let stopped: Promise<void> | undefined;

  const beliefs = createBeliefs({
    protocol,
    zoneRegions: settings.zoneRegions,
    timers,
    log,
    onConfiguration: ({limits}) => callerServer.setLimits(limits),
    onTargetGone: life => {
      crashGuard.targetDied(life);
      connections.forget(life);
      load.remove(life);
    },
  });
  const {registry} = beliefs;

  const plan = createRegionPlan({
    region: vm.region,
    zoneRegions: settings.zoneRegions,
    shiftBound: bounds.regionShift,
    registry,
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

  const duty = createWatchDuty({
    self: vm.id,
    watchers: STORE_WATCHERS,
    patienceMs: WATCH_PATIENCE_MS,
    patiencePerRankMs: WATCH_PATIENCE_PER_RANK_MS,
  });

  const follower = createStoreFollower({
    store: options.store,
    kindNames: protocol.kinds,
    duty,
    timers,
    log,
    onChange: beliefs.take,
    broadcast: message => mesh.broadcast(message),
  });

  const mesh = createPeerMesh({
    self,
    listen: settings.listen.peers,
    seeds: settings.seeds,
    timers,
    log,
    onLinked,
    onMessage,
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

  const context: ForwardingContext = {
    timers,
    log,
    protocol,
    region: vm.region,
    replacedHeaders: new Set([
      protocol.headers.deadlineMs,
      protocol.headers.expectedTarget,
      'content-length',
      'expect',
    ]),
    placement: createAffinityPlacement({
      zone: vm.zone,
      region: vm.region,
      registry,
      load,
      times,
      warmKeys,
      parameters: DEFAULT_PLACEMENT_PARAMETERS,
      shares: plan.shares,
      random: createRandomSource(hash32(`${vm.id} ${self.startedWallMs}`)),
      tryTakeSpillover: () => spillover.take(),
      coldAllowed: (target, nowMs) =>
        coldAllowance.allows(
          target,
          beliefs.coldRequestsPerSecond(target.entry.service),
          nowMs,
        ),
    }),
    load,
    times,
    warmKeys,
    retries: createWindowedRetryBudget({
      windowMs: bounds.retryWindowMs,
      ratio: () => bounds.retryRatio,
      slack: () => bounds.retrySlack,
      vmCount: () => mesh.known().length + 1,
    }),
    connections,
    crashGuard,
    clientPatience: createClientRetryDetector(),
    admissionQueue: createAdmissionQueue(timers),
    isStopping: () => stopping,
    arrived: (service, expectedMs, nowMs) => {
      spillover.credit();
      plan.meter.arrived(service, expectedMs, nowMs);
    },
    retryAfterMs: () => RETRY_AFTER_MS,
    noteSent: (target, nowMs) => {
      const {incarnation: life, entry} = target;
      if (registry.isCold(target, nowMs) || load.isRecovering(life, nowMs)) {
        const perSecond = beliefs.coldRequestsPerSecond(entry.service);
        coldAllowance.sent(target, perSecond, nowMs);
      }
    },
    attemptEnded: (service, outcome) => metrics.attemptEnded(service, outcome),
    finished: request => {
      metrics.requestFinished(request);
      logFinished(log, request);
    },
  };

  const callerServer = createCallerServer({
    address: settings.listen.caller,
    context,
    routes: beliefs.routes,
  });
  const readiness = createControlServer(
    settings.listen.readiness,
    new Map([
      [protocol.readinessPath, () => ({status: isServing() ? 200 : 503})],
    ]),
  );
  const directoryServer = createControlServer(
    settings.listen.directory,
    new Map([[protocol.directoryPath, answerDirectory]]),
  );

  const metricsServer = createControlServer(
    settings.listen.metrics,
    new Map([
      [METRICS_PATH, async () => ({status: 200, body: await metrics.text()})],
    ]),
  );
  registerGauges(metrics, {
    inFlight: () => callerServer.inFlight(),
    configurationVersion: () => beliefs.routes()?.configuration.version,
    storeAgeMs: () => follower.watchAgeMs(),
    livingVms: () => directory.living().length,
    targets: () => registry.all().length,
  });

  function isServing(): boolean {
    return beliefs.routes() !== undefined && follower.isComplete() && !stopping;
  }

  function answerDirectory(url: URL) {
    const query = protocol.readDirectoryQuery(url.searchParams);
    const answer = directory.answer(query, bounds.directoryLifetimeMs);
    if (answer.addresses.length === 0) {
      return {status: 503};
    }
    return {
      status: 200,
      contentType: 'application/json',
      body: protocol.writeDirectoryAnswer(
        answer.addresses,
        answer.lifetimeSeconds,
      ),
    };
  }

  function onLinked(peer: VmRecord): void {
    for (const kind of STORE_KINDS) {
      if (follower.isMissing(kind)) {
        mesh.send(peer.id, {kind: 'want-snapshot', of: kind});
      }
    }
    mesh.send(peer.id, heartbeat());
  }

  function onMessage(from: VmRecord, message: PeerMessage): void {
    switch (message.kind) {
      case 'hello':
        return;
      case 'heartbeat':
        directory.heard(from.id, message.serving);
        plan.heard(from.id, new Map(message.demand));
        if (message.watchAgeMs !== undefined) {
          duty.heardFresh(timers.nowMs() - message.watchAgeMs);
        }
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
      case 'target-lost':
        crashGuard.heard(message.fingerprint, message.target);
        return;
    }
  }

  function heartbeat(): PeerMessage {
    return {
      kind: 'heartbeat',
      serving: isServing(),
      watchAgeMs: follower.watchAgeMs(),
      demand: [...plan.meter.read(timers.nowMs())],
    };
  }

  function onHeartbeatDue(): void {
    mesh.broadcast(heartbeat());
    const living = directory.living();
    duty.setVms(living);
    coldAllowance.setVms(directory.livingPeers());
    const services = beliefs.routes()?.configuration.services.keys() ?? [];
    plan.update(services, mesh.heardWithin(DEMAND_LIFETIME_MS));
  }

  async function start(): Promise<void> {
    await Promise.all([
      callerServer.listen(),
      readiness.listen(),
      directoryServer.listen(),
      metricsServer.listen(),
      mesh.listen(),
    ]);
    follower.start();
    registration.start();
    handles.push(
      timers.every(HEARTBEAT_INTERVAL_MS, onHeartbeatDue),
      timers.every(REGISTRY_TICK_MS, () => registry.expire(timers.nowMs())),
    );
    log.log('info', 'vm-started', {
      zone: vm.zone,
      region: vm.region,
      callers: self.callerAddress,
    });
  }

  function stop(): Promise<void> {
    if (stopped) {
      log.log('info', 'vm-stopping', {repeated: true});
      return stopped;
    }
    stopping = true;
    stopped = runPlannedStop({
      callerServer,
      timers,
      log,
      graceMs: bounds.stopGraceMs,
      announce: () => mesh.broadcast(heartbeat()),
      endParts,
    });
    return stopped;
  }

  function endParts(): void {
    for (const handle of handles) {
      handle.cancel();
    }
    follower.stop();
    registration.stop();
    mesh.close();
    readiness.close();
    directoryServer.close();
    metricsServer.close();
    connections.close();
  }

  async function abandon(): Promise<void> {
    stopping = true;
    endParts();
    await callerServer.abandon();
  }

  function applySettings(next: GatewaySettings): void {
    bounds = next.bounds;
    log.log('info', 'settings-reloaded', {...next.bounds});
  }

  return {start, stop, applySettings, abandon};
}
