/**
 * Runs the users' platform on loopback in one process: a store, workers, and
 * gateways that use them through the platform adapter.
 */
import type {TargetReach} from '@ibisbeam/decision';
import {type Gateway, createGateway} from '@ibisbeam/gateway';
import type {Logger, TimerService} from '@ibisbeam/library';
import {
  type ObjectStore,
  PLATFORM_PROTOCOL,
  createObjectStore,
  readSettings,
} from '@ibisbeam/platform';
import {reserveAddresses} from '../local_deployment/reserve_addresses.js';
import {type FleetTarget, startFleetTarget} from './fleet_target.js';
import {
  type StandInObjectStore,
  startStandInObjectStore,
} from './object_store.js';
import {STAND_IN_BOUNDS} from './stand_in_deployment.js';
import {
  type LinkFault,
  type TargetLinks,
  createTargetLinks,
} from './target_links.js';

export interface LocalGateway {
  readonly id: string;
  readonly gateway: Gateway;
  readonly caller: {readonly host: string; readonly port: number};
  readonly readiness: {readonly host: string; readonly port: number};
  readonly directory: {readonly host: string; readonly port: number};
  /** Settings in the format that the platform writes. */
  readonly settingsText: string;
  /** Present if the fleet's links can be cut. */
  readonly targetLinks?: TargetLinks;
  /** Stops it like a killed process, without draining. */
  terminate(): Promise<void>;
}

export interface LocalFleetOptions {
  readonly timers: TimerService;
  readonly log: Logger;
  /** Region of each availability zone. */
  readonly zones: Readonly<Record<string, string>>;
  readonly bounds?: Readonly<Record<string, number>>;
  /** Memory of each gateway. Default: that of the adapter. */
  readonly memoryMegabytes?: number;
  /** Lets gateways be partitioned from the targets. Default: false. */
  readonly hasTargetLinks?: boolean;
}

export interface LocalGatewayOptions {
  /** Partition from all targets in which the gateway starts. */
  readonly fault?: LinkFault;
  /** Replaces what the gateway finds out itself. */
  readonly targetReach?: () => TargetReach;
}

export interface LocalFleet {
  readonly store: StandInObjectStore;
  addGateway(
    id: string,
    zone: string,
    gatewayOptions?: LocalGatewayOptions,
  ): Promise<LocalGateway>;
  /** Starts a worker and lists it in the store. */
  addTarget(
    options: Omit<Parameters<typeof startFleetTarget>[0], 'timers'>,
  ): Promise<FleetTarget>;
  /** Writes the configuration to the store. */
  configure(configuration: Readonly<Record<string, unknown>>): void;
  stop(): Promise<void>;
}

const FIRST_HOST_NUMBER = 10;
/** For clients, the readiness check and the directory. */
const OWN_PORT_COUNT = 3;

/**
 * Loopback network of this process. Test files that run concurrently may
 * reserve the same ports, so their fleets use different addresses.
 */
const LOOPBACK_NETWORK = `127.${1 + ((process.pid >> 8) % 250)}.${process.pid % 256}`;

export async function startLocalFleet(
  options: LocalFleetOptions,
): Promise<LocalFleet> {
  const {timers, log, zones} = options;
  const store = await startStandInObjectStore(timers);
  const targets: FleetTarget[] = [];
  const gateways: LocalGateway[] = [];
  const seeds: string[] = [];
  const [peerAddress] = await reserveAddresses(1);
  const peerPort = Number(peerAddress?.split(':')[1]);
  let startedGateways = 0;

  async function addGateway(
    id: string,
    zone: string,
    gatewayOptions: LocalGatewayOptions = {},
  ): Promise<LocalGateway> {
    startedGateways += 1;
    const targetLinks = await createLinks();
    if (gatewayOptions.fault) {
      targetLinks?.cut(gatewayOptions.fault);
    }
    // All gateways of a fleet share the peer port, so each needs its own host.
    const host = `${LOOPBACK_NETWORK}.${FIRST_HOST_NUMBER + startedGateways}`;
    const ports = await reservePortsBeside([peerPort, peerPort + 1]);
    const [front = 0, ready = 0, directory = 0] = ports;
    const settingsText = JSON.stringify({
      self: {
        node: id,
        ip: host,
        zone,
        region: zones[zone],
        limits: {memory_mb: options.memoryMegabytes},
      },
      network: {
        listen: {
          front: `${host}:${front}`,
          ready: `${host}:${ready}`,
          directory: `${host}:${directory}`,
        },
        internal_ports: [peerPort, peerPort + 1],
        seeds: [...seeds],
        zones,
      },
      platform: {
        heartbeat_ms: 1_500,
        platform: {address: `${store.host}:${store.port}`},
      },
      terms: {bounds: {...STAND_IN_BOUNDS, ...options.bounds}},
    });
    if (seeds.length < 3) {
      seeds.push(`${host}:1`);
    }
    const settings = readSettings(settingsText).mapLeft(problem => {
      throw new Error(problem);
    });
    return settings.caseOf({
      Left: problem => Promise.reject(problem),
      Right: async parsed => {
        const client: ObjectStore = createObjectStore({
          address: parsed.store,
          timers,
        });
        const gateway = createGateway({
          settings: parsed.gateway,
          protocol: PLATFORM_PROTOCOL,
          store: client,
          timers,
          log,
          connectToTarget: targetLinks?.connect,
          targetReach: gatewayOptions.targetReach,
        });
        try {
          await gateway.start();
        } catch (error) {
          await gateway.terminate();
          targetLinks?.close();
          client.close();
          throw error;
        }
        const localGateway: LocalGateway = {
          id,
          gateway,
          caller: {host, port: front},
          readiness: {host, port: ready},
          directory: {host, port: directory},
          settingsText,
          targetLinks,
          terminate: async () => {
            gateways.splice(gateways.indexOf(localGateway), 1);
            await gateway.terminate();
            targetLinks?.close();
            client.close();
          },
        };
        gateways.push(localGateway);
        return localGateway;
      },
    });
  }

  async function createLinks(): Promise<TargetLinks | undefined> {
    if (options.hasTargetLinks !== true) {
      return undefined;
    }
    const links = createTargetLinks();
    for (const target of targets) {
      await links.addTarget(target);
    }
    return links;
  }

  async function addTarget(
    targetOptions: Omit<Parameters<typeof startFleetTarget>[0], 'timers'>,
  ): Promise<FleetTarget> {
    const target = await startFleetTarget({...targetOptions, timers});
    targets.push(target);
    for (const {targetLinks} of gateways) {
      await targetLinks?.addTarget(target);
    }
    store.put('servers', target.id, target.entry());
    return target;
  }

  return {
    store,
    addGateway,
    addTarget,
    configure: configuration => store.put('config', 'main', configuration),
    stop: async () => {
      for (const gateway of [...gateways]) {
        await gateway.terminate();
      }
      for (const target of targets) {
        await target.close();
      }
      await store.close();
    },
  };
}

/** Reserves the ports of a gateway besides those that all gateways share. */
async function reservePortsBeside(
  shared: readonly number[],
): Promise<readonly number[]> {
  for (;;) {
    const addresses = await reserveAddresses(OWN_PORT_COUNT);
    const ports = addresses.map(address => Number(address.split(':')[1]));
    if (!ports.some(port => shared.includes(port))) {
      return ports;
    }
  }
}
