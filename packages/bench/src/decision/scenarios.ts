/** The scenarios of the decision bench. */
import {
  type Configuration,
  type RegionName,
  type ServiceName,
  type Shift,
  type TargetId,
  type VmId,
  type WorkspaceName,
  regionName,
  requestId,
  serviceName,
  teamName,
} from '@ibisbeam/decision';
import type {Fault, PlannedFault} from './faults.js';
import type {Scenario} from './run_scenario.js';
import type {Operation} from './types.js';
import type {LoadShape} from './workload.js';

const DEFAULT_LOAD = 0.7;
const NIGHT_LOAD = 0.3;
const DURATION_MS = 30_000;
const MEASURE_FROM_MS = 5_000;
const FAULT_AT_MS = 8_000;
const SECOND_FAULT_AT_MS = 12_000;
const WHOLE_RUN_MS = 60_000;
/**
 * A whole region moves in ten intervals; this is short enough for a run to
 * cover the complete ramp.
 */
const SHORT_SHIFT_INTERVAL_MS = 4_000;
const TEN_MINUTES_MS = 600_000;

const steadyLoad =
  (load: number): LoadShape =>
  () =>
    load;

/** Rises linearly from 30% to 120% of the capacity of the region. */
const risingLoad: LoadShape = (_service, _home, atMs) =>
  0.3 + 0.9 * Math.min(atMs / DURATION_MS, 1);

/**
 * Peak in one region, as before the start of a session: the demand for packs and
 * bookings exceeds its capacity at the same time.
 */
const rushLoad: LoadShape = (service, home, atMs) => {
  const rushing = atMs > FAULT_AT_MS && home === 'leinster';
  if (!rushing) {
    return 0.5;
  }
  return service === 'measurement-sheets' ? 0.8 : 1.1;
};

const commonOptions = {
  deployment: 'daugava',
  durationMs: DURATION_MS,
  measureFromMs: MEASURE_FROM_MS,
  shape: steadyLoad(DEFAULT_LOAD),
} as const;

const FAULTED_SERVICE = 'room-availability';

function targetsOf(
  configuration: Configuration,
  service: string,
): readonly TargetId[] {
  const targets = configuration.services.get(service as ServiceName)?.targets;
  return (targets ?? []).map(target => target.id);
}

function regionsOf(configuration: Configuration): readonly RegionName[] {
  return [...configuration.regions.keys()];
}

function vmsOf(configuration: Configuration): readonly VmId[] {
  return [...configuration.entryVms.keys()];
}

function at(atMs: number, fault: Fault): PlannedFault {
  return {atMs, fault};
}

function crashingOperation(configuration: Configuration): Operation {
  const [workspace] = [...configuration.workspaces.keys()];
  return {
    id: requestId('crashing-request'),
    workspace: workspace!,
    service: serviceName(FAULTED_SERVICE),
    callingTeam: teamName('scholar-portal'),
    homeRegion: regionsOf(configuration)[0]!,
    cohort: 7,
    idempotent: true,
    serviceMs: 80,
    responseBytes: 0,
    crashesTarget: true,
    startedMs: 0,
    deadlineMs: WHOLE_RUN_MS,
  };
}

/** Moves 40% of a region's client blocks, starting with the measurement. */
function plannedShift(
  workspace: WorkspaceName,
  from: string,
  to: string,
): Shift {
  return {
    id: 'planned',
    workspace,
    from: regionName(from),
    to: regionName(to),
    fraction: 0.4,
    startAtMs: MEASURE_FROM_MS,
    plannedBy: 'operator',
  };
}

export const SCENARIOS: readonly Scenario[] = [
  {...commonOptions, name: 'steady', faults: () => []},
  {
    ...commonOptions,
    name: 'steady-ceoltoiri',
    deployment: 'ceoltoiri',
    faults: () => [],
  },
  {...commonOptions, name: 'rising', shape: risingLoad, faults: () => []},
  {
    ...commonOptions,
    name: 'rush',
    deployment: 'ceoltoiri',
    shape: rushLoad,
    shiftIntervalMs: SHORT_SHIFT_INTERVAL_MS,
    faults: () => [],
  },
  {
    ...commonOptions,
    name: 'reports-lag',
    faults: () => [
      at(0, {kind: 'reports-lag', lagMs: 5_000, forMs: WHOLE_RUN_MS}),
    ],
  },
  {
    ...commonOptions,
    name: 'reports-lie',
    secondFaultAtMs: SECOND_FAULT_AT_MS,
    faults: () => [
      at(0, {
        kind: 'reports-lie',
        service: serviceName(FAULTED_SERVICE),
        forMs: WHOLE_RUN_MS,
      }),
    ],
  },
  {
    ...commonOptions,
    name: 'slow-target',
    faults: configuration => [
      at(FAULT_AT_MS, {
        kind: 'target-slow',
        target: targetsOf(configuration, FAULTED_SERVICE)[0]!,
        factor: 8,
        forMs: WHOLE_RUN_MS,
      }),
    ],
  },
  {
    ...commonOptions,
    name: 'fail-fast-target',
    secondFaultAtMs: SECOND_FAULT_AT_MS,
    faults: configuration => [
      at(FAULT_AT_MS, {
        kind: 'target-fails-fast',
        target: targetsOf(configuration, FAULTED_SERVICE)[0]!,
        forMs: WHOLE_RUN_MS,
      }),
    ],
  },
  {
    ...commonOptions,
    name: 'cold-targets',
    shape: steadyLoad(0.5),
    faults: configuration => [
      at(FAULT_AT_MS, {
        kind: 'targets-cold',
        region: regionsOf(configuration)[0]!,
      }),
    ],
  },
  {
    ...commonOptions,
    name: 'region-gone',
    shape: steadyLoad(0.55),
    durationMs: 70_000,
    measureFromMs: FAULT_AT_MS,
    shiftIntervalMs: SHORT_SHIFT_INTERVAL_MS,
    faults: configuration => [
      at(FAULT_AT_MS, {
        kind: 'region-gone',
        region: regionsOf(configuration)[1]!,
        forMs: WHOLE_RUN_MS,
      }),
    ],
  },
  {
    ...commonOptions,
    name: 'regions-cut',
    shape: steadyLoad(0.4),
    secondFaultAtMs: SECOND_FAULT_AT_MS,
    shiftIntervalMs: SHORT_SHIFT_INTERVAL_MS,
    shifts: workspace => [plannedShift(workspace, 'riga', 'kurzeme')],
    faults: configuration => [
      at(FAULT_AT_MS, {
        kind: 'regions-cut',
        one: regionsOf(configuration)[0]!,
        other: regionsOf(configuration)[1]!,
        forMs: 10_000,
      }),
    ],
  },
  {
    ...commonOptions,
    name: 'planned-shift',
    deployment: 'ceoltoiri',
    shape: steadyLoad(0.5),
    shiftIntervalMs: SHORT_SHIFT_INTERVAL_MS,
    secondFaultAtMs: SECOND_FAULT_AT_MS,
    shifts: workspace => [plannedShift(workspace, 'leinster', 'munster')],
    faults: configuration => [
      at(FAULT_AT_MS + 4_000, {
        kind: 'vm-lost',
        vm: vmsOf(configuration)[0]!,
        replacedAfterMs: 4_000,
      }),
    ],
  },
  {
    ...commonOptions,
    name: 'packs-gone-in-region',
    deployment: 'ceoltoiri',
    shape: steadyLoad(0.5),
    durationMs: 50_000,
    shiftIntervalMs: SHORT_SHIFT_INTERVAL_MS,
    faults: configuration => [
      at(FAULT_AT_MS, {
        kind: 'service-gone',
        service: serviceName('pattern-library'),
        region: regionsOf(configuration)[1]!,
        forMs: 25_000,
      }),
    ],
  },
  {
    ...commonOptions,
    name: 'store-away',
    shape: steadyLoad(0.15),
    durationMs: TEN_MINUTES_MS + 20_000,
    secondFaultAtMs: TEN_MINUTES_MS / 2,
    faults: () => [
      at(FAULT_AT_MS, {kind: 'store-away', forMs: TEN_MINUTES_MS}),
    ],
  },
  {
    ...commonOptions,
    name: 'vm-lost-in-shift',
    shape: steadyLoad(0.4),
    durationMs: 50_000,
    shiftIntervalMs: SHORT_SHIFT_INTERVAL_MS,
    faults: configuration => [
      at(FAULT_AT_MS, {
        kind: 'region-gone',
        region: regionsOf(configuration)[1]!,
        forMs: WHOLE_RUN_MS,
      }),
      at(FAULT_AT_MS + 14_000, {
        kind: 'vm-lost',
        vm: vmsOf(configuration)[0]!,
        replacedAfterMs: 4_000,
      }),
    ],
  },
  {
    ...commonOptions,
    name: 'vm-paused',
    secondFaultAtMs: SECOND_FAULT_AT_MS,
    faults: configuration => [
      at(FAULT_AT_MS, {
        kind: 'vm-paused',
        vm: vmsOf(configuration)[3]!,
        forMs: 6_000,
      }),
    ],
  },
  {
    ...commonOptions,
    name: 'crashing-request',
    faults: configuration => [
      at(FAULT_AT_MS, {
        kind: 'crashing-request',
        operation: crashingOperation(configuration),
      }),
    ],
  },
  {
    ...commonOptions,
    name: 'night-failover',
    shape: steadyLoad(NIGHT_LOAD),
    durationMs: 60_000,
    measureFromMs: FAULT_AT_MS,
    secondFaultAtMs: 30_000,
    shiftIntervalMs: SHORT_SHIFT_INTERVAL_MS,
    faults: configuration => [
      at(FAULT_AT_MS, {
        kind: 'region-gone',
        region: regionsOf(configuration)[2]!,
        forMs: 30_000,
      }),
    ],
  },
  {
    ...commonOptions,
    name: 'target-drain',
    secondFaultAtMs: SECOND_FAULT_AT_MS,
    faults: configuration => [
      at(FAULT_AT_MS, {
        kind: 'target-leaves',
        target: targetsOf(configuration, FAULTED_SERVICE)[1]!,
      }),
    ],
  },
];
