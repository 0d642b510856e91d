/**
 * Generates the load: seeded arrivals whose times and sizes are independent of
 * the strategy.
 */
import {
  type Configuration,
  type RandomSource,
  type RegionName,
  type ServiceName,
  type WorkspaceName,
  teamName,
} from '@ibisbeam/decision';
import type {Operation} from './types.js';

export interface ServiceLoad {
  readonly meanServiceMs: number;
  /** Standard deviation of the logarithm of the service time. */
  readonly logStandardDeviation: number;
  readonly idempotent: boolean;
  /** Mean size of a streamed response; 0 for buffered responses. */
  readonly meanResponseBytes: number;
  readonly meanSlotMs: number;
  readonly deadlineMs: number;
}

/** Time until the head of a streamed response; the body takes longer. */
const RESPONSE_HEAD_MS = 20;
const PACK_BYTES = 40_000_000;
const PACK_SLOT_MS = 2_700;
/** Each caller is a separate cohort. */
export const CALLERS_PER_REGION = 1_000;

const interactiveLoad = (meanServiceMs: number): ServiceLoad => ({
  meanServiceMs,
  logStandardDeviation: 0.6,
  idempotent: true,
  meanResponseBytes: 0,
  meanSlotMs: meanServiceMs,
  deadlineMs: 2_000,
});

const transactionalLoad = (meanServiceMs: number): ServiceLoad => ({
  ...interactiveLoad(meanServiceMs),
  logStandardDeviation: 0.4,
  idempotent: false,
  deadlineMs: 10_000,
});

const packLoad: ServiceLoad = {
  meanServiceMs: RESPONSE_HEAD_MS,
  logStandardDeviation: 0.2,
  idempotent: true,
  meanResponseBytes: PACK_BYTES,
  meanSlotMs: PACK_SLOT_MS,
  deadlineMs: 60_000,
};

export const SERVICE_LOADS: Readonly<Record<string, ServiceLoad>> = {
  'room-availability': interactiveLoad(80),
  'booking-ledger': transactionalLoad(250),
  'welcome-packs': packLoad,
  'measurement-sheets': interactiveLoad(150),
  bookings: transactionalLoad(300),
  'pattern-library': packLoad,
};

/** Offered load as a fraction of the service's slots in the home region. */
export type LoadShape = (
  service: ServiceName,
  home: RegionName,
  atMs: number,
) => number;

/** Arrivals for one service from callers of one home region. */
export interface ArrivalStream {
  /** Next operation after the given time; undefined past the end of the run. */
  next(afterMs: number): Operation | undefined;
}

export interface StreamOptions {
  readonly configuration: Configuration;
  readonly workspace: WorkspaceName;
  readonly service: ServiceName;
  readonly home: RegionName;
  readonly shape: LoadShape;
  readonly untilMs: number;
  readonly random: RandomSource;
}

/**
 * Maximum of any load shape. Arrivals are generated at this rate and thinned
 * down to the shape.
 */
const PEAK_LOAD = 3;

export function createArrivalStream(options: StreamOptions): ArrivalStream {
  const {service, home, random} = options;
  const load = SERVICE_LOADS[service]!;
  const slots = slotsIn(options.configuration, service, home);
  const peakPerMs = (slots * PEAK_LOAD) / load.meanSlotMs;
  let count = 0;

  function next(afterMs: number): Operation | undefined {
    let atMs = afterMs;
    for (;;) {
      atMs += -Math.log(1 - random.next()) / peakPerMs;
      if (atMs > options.untilMs) {
        return undefined;
      }
      if (random.next() * PEAK_LOAD < options.shape(service, home, atMs)) {
        return operationAt(atMs);
      }
    }
  }

  function operationAt(startedMs: number): Operation {
    count += 1;
    return {
      id: `${service}.${home}.${count}`,
      workspace: options.workspace,
      service,
      callingTeam: teamName(
        options.configuration.approvals[0]?.callingTeam ?? 'none',
      ),
      homeRegion: home,
      cohort: random.below(CALLERS_PER_REGION),
      idempotent: load.idempotent,
      serviceMs: logNormal(
        random,
        load.meanServiceMs,
        load.logStandardDeviation,
      ),
      responseBytes:
        load.meanResponseBytes === 0
          ? 0
          : Math.round(
              logNormal(
                random,
                load.meanResponseBytes,
                load.logStandardDeviation,
              ),
            ),
      crashesTarget: false,
      startedMs,
      deadlineMs: startedMs + load.deadlineMs,
    };
  }

  return {next};
}

export function slotsIn(
  configuration: Configuration,
  service: ServiceName,
  region: RegionName,
): number {
  let slots = 0;
  for (const target of configuration.services.get(service)?.targets ?? []) {
    if (target.region === region) {
      slots += target.slots;
    }
  }
  return slots;
}

/**
 * Draws from a lognormal distribution with the given mean, using the Box-Muller
 * transform.
 */
function logNormal(random: RandomSource, mean: number, sigma: number): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  const normal = radius * Math.cos(2 * Math.PI * random.next());
  return mean * Math.exp(sigma * normal - (sigma * sigma) / 2);
}
