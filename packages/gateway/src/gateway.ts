/**
 * One entry VM on a platform that lists its targets and keeps its
 * configuration: forwarding, directory, store copies and peer links.
 */
import {
  type MirrorChange,
  type RegionRoom,
  type RegistryEvent,
  type RouteTable,
  DEFAULT_PLACEMENT_PARAMETERS,
  createAffinityPlacement,
  createColdAllowance,
  createDemandMeter,
  createRandomSource,
  createRegionShares,
  createRetryAllowance,
  createRouteTable,
  createServiceTimes,
  createTargetLoad,
  createTargetRegistry,
  createWarmKeys,
  createWatchDuty,
  hash32,
} from '@ibisbeam/decision';
import type {
  LogEvent,
  Logger,
  PlatformStore,
  TimerHandle,
  TimerService,
} from '@ibisbeam/library';
import {createControlServer} from './control/control_server.js';
import {createVmDirectory} from './control/vm_directory.js';
import type {GatewayProtocol} from './core/protocol.js';
import type {GatewaySettings} from './core/settings.js';
import {createCallerServer} from './forwarding/caller_server.js';
import type {FinishedRequest, ForwardingContext} from './forwarding/context.js';
import {createTargetConnections} from './forwarding/target_connections.js';
import type {PeerMessage, StoreKind, VmRecord} from './peers/messages.js';
import {createPeerMesh} from './peers/peer_mesh.js';
import {createVmRegistration} from './peers/vm_registration.js';
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
  /** Planned stop; resolves when the last request has its answer. */
  stop(): Promise<void>;
}

/** Part of the shift bound, which counts windows of 2 s, used in a second. */
const REGION_SHIFT_PER_SECOND = 0.2;
/** Requests that load alone may move out of their region. */
const DEPARTURE_SHARE = 0.08;
const DEPARTURE_BURST = 5;
const HEARTBEAT_INTERVAL_MS = 400;
/** What a peer said of its demand counts so long. */
const DEMAND_LIFETIME_MS = 3_000;
const REGISTRY_TICK_MS = 100;
/** VMs that always watch the store. */
const STORE_WATCHERS = 2;
/** Longer than the age that a sound watcher's confirmation can reach. */
const WATCH_PATIENCE_MS = 1_500;
const WATCH_PATIENCE_PER_RANK_MS = 150;
/** Cold rate assumed of services that the configuration does not know. */
const UNKNOWN_COLD_PER_SECOND = 5;
const UNKNOWN_COLD_MS = 5_000;
/** Base of the time after which a refused client may come back. */
const RETRY_AFTER_MS = 250;
/** Kept of the stop's grace for closing connections and ending. */
const STOP_MARGIN_MS = 400;
/** A stopping VM takes new connections for so long. */
const STOP_NOTICE_MS = 2_200;
const STOP_POLL_MS = 50;

export function createGateway(options: GatewayOptions): Gateway {
  const {settings, protocol, timers, log} = options;
  const {bounds, vm} = settings;
  const load = createTargetLoad();
  const connections = createTargetConnections(timers);
  const coldAllowance = createColdAllowance(vm.id);
  const times = createServiceTimes();
  const warmKeys = createWarmKeys();
  const demand = createDemandMeter();
  const shares = createRegionShares({
    region: vm.region,
    movePerSecond: bounds.regionShift * REGION_SHIFT_PER_SECOND,
  });
  const departures = createAllowance(DEPARTURE_SHARE, DEPARTURE_BURST);
  const peerDemand = new Map<string, ReadonlyMap<string, number>>();
  let routes: RouteTable | undefined;
  let stopping = false;
  const handles: TimerHandle[] = [];

  const registry = createTargetRegistry({
    zoneRegions: settings.zoneRegions,
    onEvent: onRegistryEvent,
  });

  function onRegistryEvent(event: RegistryEvent): void {
    const {entry, life} = event.target;
    log.log('info', event.kind satisfies LogEvent, {
      target: entry.id,
      service: entry.service,
      zone: entry.zone,
      born: entry.bornMs,
      coldMs: entry.coldRemainingMs,
      why: event.kind === 'target-removed' ? event.why : undefined,
    });
    if (event.kind === 'target-removed') {
      connections.forget(life);
      load.forget(life);
    }
  }

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
    onChange: onStoreChange,
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
      shares,
      random: createRandomSource(hash32(vm.id + timers.wallMs())),
      mayLeaveHome: () => departures.take(),
      coldAllowed: (target, nowMs) =>
        coldAllowance.allows(
          target.life,
          coldPerSecond(target.entry.service),
          nowMs,
        ),
    }),
    load,
    times,
    warmKeys,
    retries: createRetryAllowance({
      ratio: bounds.retryRatio,
      windowMs: bounds.retryWindowMs,
      slack: bounds.retrySlack,
      vmCount: () => mesh.known().length + 1,
    }),
    connections,
    isStopping: () => stopping,
    arrived: (service, expectedMs, nowMs) => {
      departures.earn();
      demand.arrived(service, expectedMs, nowMs);
    },
    retryAfterMs: () => RETRY_AFTER_MS,
    noteSent: (target, nowMs) => {
      if (
        registry.isCold(target, nowMs) ||
        load.isReturning(target.life, nowMs)
      ) {
        const perSecond = coldPerSecond(target.entry.service);
        coldAllowance.sent(target.life, perSecond, nowMs);
      }
    },
    finished: onFinished,
  };

  const callerServer = createCallerServer({
    address: settings.listen.caller,
    context,
    routes: () => routes,
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

  function isServing(): boolean {
    return routes !== undefined && follower.isComplete() && !stopping;
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

  function coldPerSecond(service: string): number {
    return (
      routes?.configuration.services.get(service)?.coldRequestsPerSecond ??
      UNKNOWN_COLD_PER_SECOND
    );
  }

  function coldMs(service: string): number {
    return (
      routes?.configuration.services.get(service)?.coldStartMs ??
      UNKNOWN_COLD_MS
    );
  }

  function onStoreChange(
    kind: StoreKind,
    change: MirrorChange,
    settlingMs: number,
  ): void {
    const nowMs = timers.nowMs();
    switch (kind) {
      case 'targets':
        for (const {name, value} of change.put) {
          putTarget(name, value, nowMs);
        }
        for (const name of change.removed) {
          registry.remove(name, nowMs, nowMs + settlingMs);
        }
        return;
      case 'configuration':
        for (const {name, value, version} of change.put) {
          if (name === protocol.configurationName) {
            takeConfiguration(value, version);
          }
        }
        return;
      case 'evacuations':
        takeEvacuations(change, nowMs);
        return;
    }
  }

  function putTarget(name: string, value: unknown, nowMs: number): void {
    protocol
      .readTarget(name, value)
      .ifRight(entry => registry.put(entry, nowMs))
      .ifLeft(cause => {
        log.log('warn', 'target-entry-refused', {target: name, cause});
        registry.remove(name, nowMs, nowMs);
      });
  }

  function takeConfiguration(value: unknown, storeVersion: number): void {
    protocol
      .readConfiguration(value)
      .ifLeft(cause =>
        log.log('error', 'configuration-rejected', {cause, storeVersion}),
      )
      .ifRight(configuration => {
        const inForce = routes?.configuration.version ?? -1;
        if (configuration.version <= inForce) {
          log.log('info', 'configuration-rejected', {
            cause: 'older than the one in force',
            version: configuration.version,
            inForce,
          });
          return;
        }
        routes = createRouteTable(configuration);
        callerServer.setLimits(configuration.limits);
        log.log('info', 'configuration-in-force', {
          version: configuration.version,
          storeVersion,
          routes: configuration.routes.length,
        });
      });
  }

  function takeEvacuations(change: MirrorChange, nowMs: number): void {
    const zones = new Set(registry.evacuated());
    for (const {name} of change.put) {
      zones.add(name);
    }
    for (const name of change.removed) {
      zones.delete(name);
    }
    registry.setEvacuated(zones, nowMs, coldMs);
    log.log('info', 'evacuations-changed', {zones: [...zones].join(',')});
  }

  function onLinked(peer: VmRecord): void {
    for (const kind of ['configuration', 'targets', 'evacuations'] as const) {
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
        peerDemand.set(from.id, new Map(message.demand));
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
        return;
    }
  }

  function heartbeat(): PeerMessage {
    return {
      kind: 'heartbeat',
      serving: isServing(),
      watchAgeMs: follower.watchAgeMs(),
      demand: [...demand.read(timers.nowMs())],
    };
  }

  function onHeartbeatDue(): void {
    mesh.broadcast(heartbeat());
    const living = directory.living();
    duty.setVms(living);
    coldAllowance.setVms(living);
    updateShares();
  }

  /** Divides this region's requests by the demand and room of all regions. */
  function updateShares(): void {
    const nowMs = timers.nowMs();
    const demandByRegion = new Map<string, Map<string, number>>();
    addDemand(demandByRegion, vm.region, demand.read(nowMs));
    for (const peer of mesh.heardWithin(DEMAND_LIFETIME_MS)) {
      addDemand(demandByRegion, peer.region, peerDemand.get(peer.id));
    }
    for (const service of routes?.configuration.services.keys() ?? []) {
      const rooms = new Map<string, RegionRoom>();
      for (const region of new Set(settings.zoneRegions.values())) {
        rooms.set(region, {
          demand: demandByRegion.get(region)?.get(service) ?? 0,
          slots: slotsOf(service, region),
        });
      }
      shares.update(service, rooms, nowMs);
    }
  }

  function slotsOf(service: string, region: string): number {
    let slots = 0;
    for (const target of registry.usable(service)) {
      if (target.region === region) {
        slots += target.entry.slots;
      }
    }
    return slots;
  }

  function onFinished(request: FinishedRequest): void {
    const {placed} = request;
    log.log('info', 'request-finished', {
      request: request.attemptId,
      route: request.route,
      outcome: request.outcome,
      status: request.status,
      detail: request.detail || undefined,
      tookMs: Math.round(request.tookMs),
      tried: request.tried,
      key: request.affinityKey,
      target: placed?.target.entry.id,
      zone: placed?.target.entry.zone,
      expectedMs: placed && Math.round(placed.expectedMs),
      waitMs: placed && Math.round(placed.waitMs),
      warm: placed?.warm,
    });
  }

  async function start(): Promise<void> {
    await Promise.all([
      callerServer.listen(),
      readiness.listen(),
      directoryServer.listen(),
      mesh.listen(),
    ]);
    follower.start();
    registration.start();
    handles.push(
      timers.every(HEARTBEAT_INTERVAL_MS, onHeartbeatDue),
      timers.every(REGISTRY_TICK_MS, () => registry.tick(timers.nowMs())),
    );
    log.log('info', 'vm-started', {
      zone: vm.zone,
      region: vm.region,
      callers: self.callerAddress,
    });
  }

  async function stop(): Promise<void> {
    stopping = true;
    const beganMs = timers.nowMs();
    log.log('info', 'vm-stopping', {inFlight: callerServer.inFlight()});
    mesh.broadcast(heartbeat());
    // Clients hear meanwhile that this VM leaves and connect elsewhere.
    await timers.sleep(STOP_NOTICE_MS);
    void callerServer.close();
    const boundMs = bounds.stopGraceMs - STOP_MARGIN_MS;
    while (callerServer.inFlight() > 0) {
      if (timers.nowMs() - beganMs >= boundMs) {
        log.log('warn', 'stop-bound-hit', {inFlight: callerServer.inFlight()});
        break;
      }
      await timers.sleep(STOP_POLL_MS);
    }
    for (const handle of handles) {
      handle.cancel();
    }
    follower.stop();
    registration.stop();
    mesh.close();
    log.log('info', 'vm-stopped', {
      tookMs: Math.round(timers.nowMs() - beganMs),
    });
  }

  return {start, stop};
}

function addDemand(
  byRegion: Map<string, Map<string, number>>,
  region: string,
  demand: ReadonlyMap<string, number> | undefined,
): void {
  const total = byRegion.get(region) ?? new Map<string, number>();
  byRegion.set(region, total);
  for (const [service, slots] of demand ?? []) {
    total.set(service, (total.get(service) ?? 0) + slots);
  }
}

interface Allowance {
  earn(): void;
  take(): boolean;
}

/** Allows a share of what is earned, and a burst. */
function createAllowance(share: number, burst: number): Allowance {
  let tokens = burst;
  return {
    earn: () => {
      tokens = Math.min(burst, tokens + share);
    },
    take: () => {
      if (tokens < 1) {
        return false;
      }
      tokens -= 1;
      return true;
    },
  };
}
