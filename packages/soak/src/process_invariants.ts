/** What holds of the gateway processes themselves. Pure functions. */
import type {Observations, Violation} from './records.js';

/** Of the run line and the settings that the soak gives them. */
export const MAXIMUM_RESIDENT_MEGABYTES = 200;

export function findUnexpectedExits({
  processes,
}: Observations): readonly Violation[] {
  return processes
    .filter(({unexpectedExits}) => unexpectedExits > 0)
    .map(({vm, unexpectedExits}) => ({
      invariant: 'no process exits unexpectedly',
      detail: `${vm} exited unexpectedly ${unexpectedExits} times`,
    }));
}

export function findMemoryExcess({
  processes,
}: Observations): readonly Violation[] {
  return processes
    .filter(({peakMegabytes}) => peakMegabytes > MAXIMUM_RESIDENT_MEGABYTES)
    .map(({vm, peakMegabytes}) => ({
      invariant: 'resident memory of processes stays within its bound',
      detail: `${vm} had ${peakMegabytes} MB, allowed ${MAXIMUM_RESIDENT_MEGABYTES}`,
    }));
}
