/**
 * What one gateway believes of the fleet: routes in force, targets and
 * evacuated zones, as the copies of the store change.
 */
import {
  type MirrorChange,
  type RegistryEvent,
  type RouteTable,
  type RoutingConfiguration,
  type TargetRegistry,
  createRouteTable,
  createTargetRegistry,
} from '@ibisbeam/decision';
import type {Logger, TimerService} from '@ibisbeam/library';
import type {GatewayProtocol} from './core/protocol.js';
import type {StoreKind} from './peers/messages.js';

export interface Beliefs {
  readonly registry: TargetRegistry;
  /** Absent before the first configuration. */
  routes(): RouteTable | undefined;
  /** @param settlingMs Time until missing targets are really gone. */
  take(kind: StoreKind, change: MirrorChange, settlingMs: number): void;
  coldRequestsPerSecond(service: string): number;
}

export interface BeliefsOptions {
  readonly protocol: Pick<
    GatewayProtocol,
    'configurationName' | 'readTarget' | 'readConfiguration'
  >;
  readonly zoneRegions: ReadonlyMap<string, string>;
  readonly timers: Pick<TimerService, 'nowMs'>;
  readonly log: Logger;
  onConfiguration(configuration: RoutingConfiguration): void;
  /** A life of a target has ended. */
  onTargetGone(life: string): void;
}

/** Cold figures assumed of services that the configuration does not know. */
const UNKNOWN_COLD_PER_SECOND = 5;
const UNKNOWN_COLD_MS = 5_000;

export function createBeliefs(options: BeliefsOptions): Beliefs {
  const {protocol, timers, log} = options;
  const registry = createTargetRegistry({
    zoneRegions: options.zoneRegions,
    onEvent: onRegistryEvent,
  });
  let routes: RouteTable | undefined;

  function onRegistryEvent(event: RegistryEvent): void {
    const {entry, incarnation: life} = event.target;
    log.log('info', event.kind, {
      target: entry.id,
      service: entry.service,
      zone: entry.zone,
      born: entry.startedAtWallMs,
      coldMs: entry.coldRemainingMs,
      why: event.kind === 'target-removed' ? event.why : undefined,
    });
    if (event.kind === 'target-removed') {
      options.onTargetGone(life);
    }
  }

  function coldMs(service: string): number {
    return (
      routes?.configuration.services.get(service)?.coldStartMs ??
      UNKNOWN_COLD_MS
    );
  }

  function take(
    kind: StoreKind,
    change: MirrorChange,
    settlingMs: number,
  ): void {
    const nowMs = timers.nowMs();
    switch (kind) {
      case 'targets':
        for (const {name, value} of change.put) {
          takeTarget(name, value, nowMs);
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

  function takeTarget(name: string, value: unknown, nowMs: number): void {
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
            cause: 'not newer than the one in force',
            version: configuration.version,
            inForce,
          });
          return;
        }
        routes = createRouteTable(configuration);
        log.log('info', 'configuration-in-force', {
          version: configuration.version,
          storeVersion,
          routes: configuration.routes.length,
        });
        options.onConfiguration(configuration);
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

  return {
    registry,
    routes: () => routes,
    take,
    coldRequestsPerSecond: service =>
      routes?.configuration.services.get(service)?.coldRequestsPerSecond ??
      UNKNOWN_COLD_PER_SECOND,
  };
}
