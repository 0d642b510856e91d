/** Request counts of this VM in memory: five-minute slices and hours. */
import {
  BURN_HOUR_MS,
  BURN_SLICE_MS,
  type BurnSlice,
  type RequestRecord,
  type ServiceCounts,
  createRequestCountRecorder,
  mergeServiceCounts,
} from '@ibisbeam/decision';

/** Six hours and the current slice. */
const RETAINED_SLICES = 6 * 12 + 1;
/** Three days and the current hour. */
const RETAINED_HOURS = 3 * 24 + 1;

export interface BurnHistory {
  /** @param latencyThresholdMs Slower requests are counted as late. */
  record(
    record: RequestRecord,
    latencyThresholdMs: number | undefined,
    wallMs: number,
  ): void;
  /** Five-minute slices, oldest first; the last one is still open. */
  slices(): readonly BurnSlice[];
  /** Hours, oldest first; the last one is still open. */
  hours(): readonly BurnSlice[];
}

export function createBurnHistory(): BurnHistory {
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
    const closed = currentSlice();
    if (!closed) {
      return;
    }
    closedSlices.push(closed);
    recorder = createRequestCountRecorder();
    sliceStartMs = nextStartMs;
    const hourMs = startOfHour(closed.startMs);
    if (startOfHour(nextStartMs) > hourMs) {
      closedHours.push(mergeHour(hourMs, slicesOfHour(hourMs)));
    }
    closedSlices.splice(0, closedSlices.length - RETAINED_SLICES);
    closedHours.splice(0, closedHours.length - RETAINED_HOURS);
  }

  function currentSlice(): BurnSlice | undefined {
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
    return closedSlices.filter(slice => startOfHour(slice.startMs) === hourMs);
  }

  function slices(): readonly BurnSlice[] {
    const current = currentSlice();
    return current ? [...closedSlices, current] : [...closedSlices];
  }

  function hours(): readonly BurnSlice[] {
    const current = currentSlice();
    if (!current) {
      return [];
    }
    const hourMs = startOfHour(current.startMs);
    const parts = [...slicesOfHour(hourMs), current];
    return [...closedHours, mergeHour(hourMs, parts)];
  }

  return {record, slices, hours};
}

function startOfHour(wallMs: number): number {
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
