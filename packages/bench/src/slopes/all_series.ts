/** Runs all measurements and arranges their results as series. */
import {type ControlFigures, measureControl} from './measure_control.js';
import {measureClaims} from './measure_claims.js';
import {
  type ForwardingFigures,
  measureForwarding,
  measureShares,
} from './measure_forwarding.js';
import {type LookupFigures, measureLookup} from './measure_lookup.js';
import {
  DESIGN_SIZE,
  type FleetSize,
  CURRENT_SIZE,
} from './scaled_configuration.js';
import type {Series} from './series.js';

const CONTROL_BOUND_BYTES_PER_SECOND = 3_000;
const IN_FORCE_BOUND_MS = 11_000;
const STORE_READS_PER_SECOND_BOUND = 2_000;
const CONTROL_PROCESSOR_BOUND_MS_PER_SECOND = 45;
const CONTROL_MEMORY_BOUND_BYTES = 128_000_000;
const DESIGN_BLOCK_COUNT = 480_000;
const LOOKUPS_PER_SECOND = 420_000;
const BOOKING_COUNTS = [1, 10, 100] as const;
/** VMs that remain after the loss of the largest availability zone. */
const VMS_AFTER_ZONE_LOSS =
  DESIGN_SIZE.vms - Math.ceil(DESIGN_SIZE.vms / DESIGN_SIZE.zones);

export interface SlopeSizes {
  readonly vms: readonly number[];
  /** Fleet sizes measured with membership and roll-out only, no steering. */
  readonly vmsWithoutSteering: readonly number[];
  readonly blocks: readonly number[];
  readonly sites: readonly number[];
}

export const FULL_SIZES: SlopeSizes = {
  vms: [60, 120, 240],
  vmsWithoutSteering: [120, 330, 600],
  blocks: [30_000, 120_000, DESIGN_BLOCK_COUNT],
  sites: [30, 115, DESIGN_SIZE.sites],
};

export const SHORT_SIZES: SlopeSizes = {
  vms: [60, 90, 120],
  vmsWithoutSteering: [60, 120, 240],
  blocks: [30_000, 60_000, 120_000],
  sites: [30, 60, 115],
};

export function measureAll(
  sizes: SlopeSizes,
  progress: (line: string) => void,
): readonly Series[] {
  progress('control plane of the current fleet size');
  const current = measureControl(CURRENT_SIZE);
  const control = sizes.vms.map(vms => {
    progress(`control plane of ${vms} VMs`);
    return measureControl({...DESIGN_SIZE, vms});
  });
  const withoutSteering = sizes.vmsWithoutSteering.map(vms => {
    progress(`membership and configuration roll-out of ${vms} VMs`);
    return measureControl({...DESIGN_SIZE, vms}, false);
  });
  progress('look-up of entry VMs by client address');
  const lookups = sizes.blocks.map(blocks =>
    measureLookup(blocks, DESIGN_SIZE),
  );
  progress('steering of a single VM');
  const forwarding = [100, 1_000, 4_000].map(inFlight =>
    measureForwarding(inFlight, DESIGN_SIZE),
  );
  return [
    ...currentSizeSeries(current),
    ...controlSeries(control, ''),
    ...controlSeries(withoutSteering, 'without-steering-'),
    ...lookupSeries(lookups),
    ...forwardingSeries(forwarding),
    ...shareSeries(),
    ...siteSeries(sizes.sites),
    claimSeries(),
  ];
}

/**
 * The current fleet has 3 regions instead of the 30 of the design size, so its
 * figures are not on the same line; each series has one point and the origin.
 */
function currentSizeSeries(current: ControlFigures): readonly Series[] {
  const pointsFor = (value: number) => [
    {size: 0, value: 0},
    {size: CURRENT_SIZE.vms, value},
  ];
  const common = {
    against: 'VMs today',
    designSize: CURRENT_SIZE.vms,
    counted: true,
  };
  return [
    {
      ...common,
      name: 'today-control-bytes-busiest',
      unit: 'bytes/s a VM',
      points: pointsFor(current.busiestBytesPerSecond),
      bound: CONTROL_BOUND_BYTES_PER_SECOND,
    },
    {
      ...common,
      name: 'today-in-force',
      unit: 'ms',
      points: pointsFor(current.inForceMs),
      bound: IN_FORCE_BOUND_MS,
    },
    {
      ...common,
      name: 'today-store-reads',
      unit: 'calls/s with waiting watches',
      points: pointsFor(current.storeReadsPerSecond + current.waitingWatches),
      bound: STORE_READS_PER_SECOND_BOUND,
    },
  ];
}

type ControlFigure = Exclude<keyof ControlFigures, 'size'>;

function controlSeries(
  measured: readonly ControlFigures[],
  prefix: string,
): readonly Series[] {
  const series = (
    name: string,
    unit: string,
    figure: ControlFigure,
    bound?: number,
    counted = true,
  ): Series => ({
    name: `${prefix}${name}`,
    unit,
    against: 'VMs',
    points: measured.map(figures => ({
      size: figures.size.vms,
      value: figures[figure],
    })),
    designSize: DESIGN_SIZE.vms,
    counted,
    bound,
  });
  const bytes = 'bytes/s a VM';
  return [
    series('control-bytes-mean', bytes, 'meanBytesPerSecond', 3_000),
    series('control-bytes-busiest', bytes, 'busiestBytesPerSecond', 3_000),
    series('membership-bytes', bytes, 'membershipBytesPerSecond'),
    series('configuration-bytes', bytes, 'configurationBytesPerSecond'),
    series('steering-bytes', bytes, 'steeringBytesPerSecond'),
    series('zone-loss-bytes', bytes, 'zoneLossBytesPerSecond'),
    series('zone-loss-seen', 'ms', 'zoneLossDetectionMs'),
    series('control-messages', 'messages/s a VM', 'meanMessagesPerSecond'),
    series('links', 'links of a VM', 'maximumLinks'),
    series('in-force', 'ms', 'inForceMs', IN_FORCE_BOUND_MS),
    series('change-bytes', 'bytes of a VM a change', 'bytesPerChange'),
    series('change-store-reads', 'calls a change', 'storeReadsPerChange'),
    series(
      'waiting-watches',
      'calls',
      'waitingWatches',
      STORE_READS_PER_SECOND_BOUND,
    ),
    series(
      'store-reads',
      'calls/s',
      'storeReadsPerSecond',
      STORE_READS_PER_SECOND_BOUND,
    ),
    series('fleet-start-store-reads', 'calls in 20 s', 'storeReadsAtStart'),
    series('fleet-start-in-force', 'ms', 'inForceAtStartMs', IN_FORCE_BOUND_MS),
    series(
      'control-processor',
      'ms/s a VM',
      'processorMsPerSecond',
      CONTROL_PROCESSOR_BOUND_MS_PER_SECOND,
      false,
    ),
  ];
}

function lookupSeries(measured: readonly LookupFigures[]): readonly Series[] {
  const common = {against: 'client blocks', designSize: DESIGN_BLOCK_COUNT};
  const points = (figure: Exclude<keyof LookupFigures, 'blocks'>) =>
    measured.map(figures => ({size: figures.blocks, value: figures[figure]}));
  const vmLookupsPerSecond = LOOKUPS_PER_SECOND / VMS_AFTER_ZONE_LOSS;
  return [
    {
      ...common,
      name: 'block-section-bytes',
      unit: 'bytes',
      points: points('sectionBytes'),
      counted: true,
    },
    {
      ...common,
      name: 'block-sections',
      unit: 'chunks',
      points: points('sections'),
      counted: true,
    },
    {
      ...common,
      name: 'block-table-memory',
      unit: 'bytes a VM',
      points: points('tableBytes'),
      counted: false,
      bound: CONTROL_MEMORY_BOUND_BYTES,
    },
    {
      ...common,
      name: 'block-table-build',
      unit: 'processor ms',
      points: points('buildMs'),
      counted: false,
    },
    {
      ...common,
      name: 'lookup-processor',
      unit: `ms/s a VM at ${vmLookupsPerSecond.toFixed(0)} decisions/s`,
      points: points('microsecondsPerLookup').map(({size, value}) => ({
        size,
        value: (value * vmLookupsPerSecond) / 1_000,
      })),
      counted: false,
    },
  ];
}

function forwardingSeries(
  measured: readonly ForwardingFigures[],
): readonly Series[] {
  return [
    {
      name: 'request-memory',
      unit: 'bytes a VM',
      against: 'requests in flight',
      points: measured.map(figures => ({
        size: figures.inFlight,
        value: figures.bytesPerRequest * figures.inFlight,
      })),
      designSize: 20_000,
      counted: false,
    },
    {
      name: 'request-processor',
      unit: 'ms/s a VM',
      against: 'requests/s',
      points: [100, 1_000].map(rate => ({
        size: rate,
        value: (measured.at(-1)!.microsecondsPerRequest * rate) / 1_000,
      })),
      designSize: 1_000,
      counted: false,
    },
  ];
}

/** Shares of one region's slots; they shrink as the region gets more VMs. */
function shareSeries(): readonly Series[] {
  const sizes: readonly FleetSize[] = [110, 330, DESIGN_SIZE.vms].map(vms => ({
    ...DESIGN_SIZE,
    vms,
  }));
  const shares = sizes.map(size => ({size: size.vms, ...measureShares(size)}));
  const common = {against: 'VMs', designSize: DESIGN_SIZE.vms, counted: true};
  return [
    {
      ...common,
      name: 'share-slots-over',
      unit: 'slots of a region',
      points: shares.map(figures => ({
        size: figures.size,
        value: figures.excessSlots,
      })),
      bound: 0,
    },
    {
      ...common,
      name: 'share-smallest',
      unit: 'slots of a VM',
      points: shares.map(figures => ({
        size: figures.size,
        value: figures.smallestShare,
      })),
    },
    {
      ...common,
      name: 'share-holders',
      unit: 'VMs of a region',
      points: shares.map(figures => ({
        size: figures.size,
        value: figures.vmsWithSlots,
      })),
    },
  ];
}

/** Control traffic of the current fleet with an increasing number of sites. */
function siteSeries(sites: readonly number[]): readonly Series[] {
  const measured = sites.map(count =>
    measureControl({...CURRENT_SIZE, sites: count}),
  );
  return [
    {
      name: 'sites-control-bytes',
      unit: 'bytes/s a VM',
      against: 'sites',
      points: measured.map(figures => ({
        size: figures.size.sites,
        value: figures.busiestBytesPerSecond,
      })),
      designSize: DESIGN_SIZE.sites,
      counted: true,
    },
  ];
}

function claimSeries(): Series {
  return {
    name: 'claim-writes',
    unit: 'store writes, without collection',
    against: 'bookings',
    points: BOOKING_COUNTS.map(count => ({
      size: count,
      value: measureClaims(count).writes,
    })),
    designSize: 100,
    counted: true,
  };
}
