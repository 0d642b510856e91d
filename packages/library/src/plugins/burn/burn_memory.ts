/** Counts of this VM by five minutes and by the hour, within fixed bounds. */
import {
  BURN_HOUR_MS,
  BURN_SLICE_MS,
  type BurnSlice,
  type RequestRecord,
  type ServiceCounts,
  createRequestCountRecorder,
  mergeServiceCounts,
} from '@ibisbeam/decision';

/** Six hours and the slice that still grows. */
const KEPT_SLICES = 6 * 12 + 1;
/** Three days and the hour that still grows. */
const KEPT_HOURS = 3 * 24 + 1;

export interface BurnMemory {
  record(
    record: RequestRecord,
    latencyThresholdMs: number | undefined,
    wallMs: number,
  ): void;
  /** Oldest first, with what still grows. */
  slices(): readonly BurnSlice[];
  hours(): readonly BurnSlice[];
}

export function createBurnMemory(): BurnMemory {
  const closedSlices: BurnSlice[] = [];
  const closedHours: BurnSlice[] = [];
  let recorder = createRequestCountRecorder();
  let sliceStartMs: number | undefined;

  function record(
    finished: RequestRecord,
    latencyThresholdMs: number | undefined,
    wallMs: number,
  ): void {
    const startMs = Math.floor(wallMs / BURN_SLICE_MS) * BURN_SLICE_MS;
    if (sliceStartMs !== undefined && startMs > sliceStartMs) {
      closeSlice(startMs);
    }
    sliceStartMs ??= startMs;
    recorder.record(finished, latencyThresholdMs);
  }

  function closeSlice(nextStartMs: number): void {
    const closed = growingSlice();
    if (!closed) {
      return;
    }
    closedSlices.push(closed);
    recorder = createRequestCountRecorder();
    sliceStartMs = nextStartMs;
    const hourMs = hourOf(closed.startMs);
    if (hourOf(nextStartMs) > hourMs) {
      closedHours.push(mergeHour(hourMs, slicesOfHour(hourMs)));
    }
    closedSlices.splice(0, closedSlices.length - KEPT_SLICES);
    closedHours.splice(0, closedHours.length - KEPT_HOURS);
  }

  function growingSlice(): BurnSlice | undefined {
    if (sliceStartMs === undefined) {
      return undefined;
    }
    return {
      startMs: sliceStartMs,
      spanMs: BURN_SLICE_MS,
      services: recorder.counts(),
    };
  }

  function slicesOfHour(hourMs: number): readonly BurnSlice[] {
    return closedSlices.filter(slice => hourOf(slice.startMs) === hourMs);
  }

  function slices(): readonly BurnSlice[] {
    const growing = growingSlice();
    return growing ? [...closedSlices, growing] : [...closedSlices];
  }

  function hours(): readonly BurnSlice[] {
    const growing = growingSlice();
    if (!growing) {
      return [];
    }
    const hourMs = hourOf(growing.startMs);
    const parts = [...slicesOfHour(hourMs), growing];
    return [...closedHours, mergeHour(hourMs, parts)];
  }

  return {record, slices, hours};
}

function hourOf(wallMs: number): number {
  return Math.floor(wallMs / BURN_HOUR_MS) * BURN_HOUR_MS;
}

function mergeHour(startMs: number, slices: readonly BurnSlice[]): BurnSlice {
  const byService = new Map<string, ServiceCounts[]>();
  for (const slice of slices) {
    for (const counts of slice.services) {
      const key = `${counts.workspace} ${counts.service}`;
      byService.set(key, [...(byService.get(key) ?? []), counts]);
    }
  }
  const services: ServiceCounts[] = [];
  for (const parts of byService.values()) {
    services.push(mergeServiceCounts(parts));
  }
  return {startMs, spanMs: BURN_HOUR_MS, services};
}
