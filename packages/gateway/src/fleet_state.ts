/**
 * Routing configuration, targets and evacuated zones as this gateway knows
 * them, updated when the local store mirrors change.
 */
import {isIP} from 'node:net';
import {
  type MirrorChange,
  type RegisteredTarget,
  type RegistryEvent,
  type RouteTable,
  type RoutingConfiguration,
  type TargetEntry,
  type TargetRegistry,
  createRouteTable,
  createTargetRegistry,
  objectivesByService,
} from '@ibisbeam/decision';
import type {Logger, TimerService} from '@ibisbeam/library';
import type {GatewayProtocol} from './core/protocol.js';
import type {RestoreMemory, StoreKind} from './peers/messages.js';
import {createRestoreEffects} from './restore_effects.js';

export interface FleetState {
  readonly registry: TargetRegistry;
  /** Undefined until the first configuration has been applied. */
  routes(): RouteTable | undefined;
  /**
   * @param settlingMs Grace period before targets without an entry are removed.
   *     After a store outage, a running target may have failed to renew its
   *     entry.
   */
  applyChange(kind: StoreKind, change: MirrorChange, settlingMs: number): void;
  /** The store has come back from an older copy of itself. */
  beginRestore(): void;
  /** For a VM that may have started from the copy; undefined otherwise. */
  restoreMemory(): RestoreMemory | undefined;
  /** Takes what another VM knows better than a store that was restored. */
  learn(memory: RestoreMemory): void;
  /** Applies what was postponed and is due. */
  expire(): void;
  /** Request rate that one target of the service tolerates while it is cold. */
  coldRequestsPerSecond(service: string): number;
  /**
   * Services and the shortest latency objective of their routes, if they have
   * any; empty before the first configuration.
   */
  objectives(): ReadonlyMap<string, number | undefined>;
  /** Connections that one target of the service accepts from all VMs. */
  maximumConnections(service: string): number;
}

export interface FleetStateOptions {
  readonly protocol: Pick<
    GatewayProtocol,
    'configurationName' | 'readTarget' | 'readConfiguration'
  >;
  readonly zoneRegions: ReadonlyMap<string, string>;
  readonly timers: Pick<TimerService, 'nowMs'>;
  readonly log: Logger;
  onConfiguration(configuration: RoutingConfiguration): void;
  /** Whether a target says of itself that it is leaving. */
  isLeaving(incarnation: string): boolean;
  /** Called when the list says that a target is leaving. */
  onTargetDraining(target: RegisteredTarget): void;
  /** Called when an incarnation of a target has been removed. */
  onTargetRemoved(target: RegisteredTarget): void;
}

/** Cold-start defaults for services that the configuration does not list. */
const DEFAULT_COLD_REQUESTS_PER_SECOND = 5;
const DEFAULT_COLD_START_MS = 5_000;
const DEFAULT_MAXIMUM_CONNECTIONS = 100;
/** Time for the operator's writes to be repeated after a restore. */
const REWRITE_MS = 2_500;
/** Time for a live target that the copy lacks to be listed again. */
const RELIST_MS = 2_000;
const MAXIMUM_PORT = 65_535;
/** An older copy of the store is at most this old. */
const LIFTED_RETENTION_MS = 60_000;

export function createFleetState(options: FleetStateOptions): FleetState {
  const {protocol, timers, log} = options;
  const registry = createTargetRegistry({
    zoneRegions: options.zoneRegions,
    onEvent: onRegistryEvent,
    isLeaving: options.isLeaving,
  });
  let routes: RouteTable | undefined;
  let objectives: ReadonlyMap<string, number | undefined> = new Map();
  /** The configuration in force, as its writer wrote it. */
  let inForce: {readonly value: unknown; readonly version: number} | undefined;
  /** Evacuated zones as listed by the store. */
  const listedEvacuations = new Set<string>();
  const liftedAtMs = new Map<string, number>();
  let rewritesUntilMs = -Infinity;
  const restoreEffects = createRestoreEffects(log);

  function onRegistryEvent(event: RegistryEvent): void {
    const {entry} = event.target;
    log.log('info', event.kind, {
      target: entry.id,
      service: entry.service,
      zone: entry.zone,
      born: entry.startedAtWallMs,
      coldMs: entry.coldRemainingMs,
      why: event.kind === 'target-removed' ? event.why : undefined,
    });
    switch (event.kind) {
      case 'target-draining':
        options.onTargetDraining(event.target);
        return;
      case 'target-removed':
        restoreEffects.onRemoved(entry.id);
        options.onTargetRemoved(event.target);
        return;
      case 'target-added':
      case 'target-cold':
        return;
    }
  }

  function coldStartMsOf(service: string): number {
    return (
      routes?.configuration.services.get(service)?.coldStartMs ??
      DEFAULT_COLD_START_MS
    );
  }

  function applyChange(
    kind: StoreKind,
    change: MirrorChange,
    settlingMs: number,
  ): void {
    const nowMs = timers.nowMs();
    switch (kind) {
      case 'targets':
        for (const {name, value} of change.put) {
          applyTarget(name, value, nowMs);
        }
        for (const name of change.removed) {
          if (registry.get(name)) {
            restoreEffects.onMissing(name);
          }
          registry.remove(name, nowMs, nowMs + settlingMs);
        }
        return;
      case 'configuration':
        for (const {name, value, version} of change.put) {
          if (name === protocol.configurationName) {
            applyConfiguration(value, version);
          }
        }
        return;
      case 'evacuations':
        applyEvacuations(change, nowMs);
        return;
    }
  }

  function applyTarget(name: string, value: unknown, nowMs: number): void {
    protocol
      .readTarget(name, value)
      .ifRight(entry => putTarget(entry, nowMs))
      .ifLeft(cause => {
        log.log('warn', 'target-entry-refused', {target: name, cause});
        registry.remove(name, nowMs, nowMs);
      });
  }

  function putTarget(entry: TargetEntry, nowMs: number): void {
    const withheldBefore = registry.withheldCount();
    registry.put(entry, nowMs);
    if (registry.withheldCount() > withheldBefore) {
      restoreEffects.onWithheld(entry.id);
      return;
    }
    restoreEffects.onListed(entry.id);
  }

  function applyConfiguration(value: unknown, storeVersion: number): void {
    protocol
      .readConfiguration(value)
      .ifLeft(cause =>
        log.log('error', 'configuration-rejected', {cause, storeVersion}),
      )
      .ifRight(configuration => {
        const currentVersion = routes?.configuration.version ?? -1;
        if (configuration.version <= currentVersion) {
          log.log('info', 'configuration-rejected', {
            cause: `version ${configuration.version} is not newer than version ${currentVersion} in force`,
            version: configuration.version,
            inForce: currentVersion,
          });
          return;
        }
        routes = createRouteTable(configuration);
        objectives = objectivesByService(configuration);
        inForce = {value, version: storeVersion};
        log.log('info', 'configuration-in-force', {
          version: configuration.version,
          storeVersion,
          routes: configuration.routes.length,
        });
        options.onConfiguration(configuration);
      });
  }

  function applyEvacuations(change: MirrorChange, nowMs: number): void {
    for (const {name} of change.put) {
      listedEvacuations.add(name);
    }
    for (const name of change.removed) {
      listedEvacuations.delete(name);
    }
    updateEvacuated(nowMs);
  }

  /**
   * Until the operator's writes have been repeated after a restore, an
   * evacuation that is missing stays in force, and one that had been lifted
   * stays lifted.
   */
  function updateEvacuated(nowMs: number): void {
    const before = registry.evacuated();
    const isRestoring = nowMs < rewritesUntilMs;
    const zones = new Set(isRestoring ? before : []);
    for (const zone of listedEvacuations) {
      const liftedMs = liftedAtMs.get(zone) ?? -Infinity;
      const wasLifted = nowMs - liftedMs < LIFTED_RETENTION_MS;
      if (!isRestoring || !wasLifted || before.has(zone)) {
        zones.add(zone);
      }
    }
    if (zones.size === before.size && [...zones].every(z => before.has(z))) {
      return;
    }
    for (const zone of before) {
      if (!zones.has(zone)) {
        liftedAtMs.set(zone, nowMs);
      }
    }
    registry.setEvacuated(zones, nowMs, coldStartMsOf);
    log.log('info', 'evacuations-changed', {zones: [...zones].join(',')});
  }

  function restoreMemory(): RestoreMemory | undefined {
    const nowMs = timers.nowMs();
    const leftMs = registry.restoreLeftMs(nowMs);
    if (leftMs === 0) {
      return undefined;
    }
    const lifted: string[] = [];
    for (const [zone, atMs] of liftedAtMs) {
      if (nowMs - atMs < LIFTED_RETENTION_MS) {
        lifted.push(zone);
      }
    }
    return {
      leftMs,
      listed: registry.all().map(({entry}) => entry),
      departed: [...registry.departedEntries()],
      evacuated: [...registry.evacuated()],
      lifted,
      configuration: inForce,
    };
  }

  function learn(memory: RestoreMemory): void {
    const nowMs = timers.nowMs();
    restoreEffects.begin();
    registry.beginRestore(nowMs, memory.leftMs);
    rewritesUntilMs = Math.max(
      rewritesUntilMs,
      nowMs + Math.min(memory.leftMs, REWRITE_MS),
    );
    for (const entry of memory.departed.filter(hasAddress)) {
      registry.learnDeparted(entry, nowMs);
    }
    const removeAtMs = nowMs + Math.min(memory.leftMs, RELIST_MS);
    for (const entry of memory.listed.filter(hasAddress)) {
      registry.learnListed(entry, nowMs, removeAtMs);
    }
    const zones = new Set([...registry.evacuated(), ...memory.evacuated]);
    for (const zone of memory.lifted) {
      if (!memory.evacuated.includes(zone)) {
        zones.delete(zone);
        liftedAtMs.set(zone, nowMs);
      }
    }
    registry.setEvacuated(zones, nowMs, coldStartMsOf);
    if (memory.configuration) {
      const {value, version} = memory.configuration;
      applyConfiguration(value, version);
    }
    log.log('info', 'restore-learned', {
      targets: memory.listed.length,
      departed: memory.departed.length,
    });
  }

  return {
    registry,
    restoreMemory,
    learn,
    routes: () => routes,
    applyChange,
    beginRestore: () => {
      const nowMs = timers.nowMs();
      restoreEffects.begin();
      registry.beginRestore(nowMs);
      rewritesUntilMs = nowMs + REWRITE_MS;
    },
    expire: () => {
      const nowMs = timers.nowMs();
      if (restoreEffects.isActive() && registry.restoreLeftMs(nowMs) === 0) {
        restoreEffects.end(registry.withheldCount());
      }
      registry.expire(nowMs);
      if (nowMs >= rewritesUntilMs) {
        updateEvacuated(nowMs);
      }
    },
    coldRequestsPerSecond: service =>
      routes?.configuration.services.get(service)?.coldRequestsPerSecond ??
      DEFAULT_COLD_REQUESTS_PER_SECOND,
    objectives: () => objectives,
    maximumConnections: service =>
      routes?.configuration.services.get(service)?.maximumConnections ??
      DEFAULT_MAXIMUM_CONNECTIONS,
  };
}

/** Earlier builds pass on entries whose address is invalid. */
function hasAddress({host, port}: TargetEntry): boolean {
  const isPort = Number.isInteger(port) && port >= 1 && port <= MAXIMUM_PORT;
  return isPort && isIP(host) !== 0;
}
