/** Invariants about requests that crash targets, and about those that don't. */
import {findCrashViolation} from '@ibisbeam/stand-ins';
import {isDisrupted} from './disruptions.js';
import type {CrashingRun, Observations, Violation} from './records.js';

/** Counts only what VMs without a disruption sent to targets. */
export function findRepeatedCrashes({
  calls,
  crashingRuns,
  disruptions,
}: Observations): readonly Violation[] {
  const vms = new Map(calls.map(call => [call.attemptId, call.vm]));
  const counted = crashingRuns.map((run): CrashingRun => {
    const vm = vms.get(run.attemptId);
    // Its crash counts among the first three, but not its arrival.
    return isDisrupted(disruptions, vm, run.atMs, run.atMs)
      ? {...run, atMs: -Infinity}
      : run;
  });
  const violation = findCrashViolation(counted);
  if (!violation) {
    return [];
  }
  const {targetsCrashed, lateArrivals} = violation;
  return [
    {
      invariant: 'a request that crashes targets reaches no more of them',
      detail: `it crashed ${targetsCrashed} targets and was sent ${lateArrivals} times later than 3 s after the third`,
    },
  ];
}

/** Requests that crash nothing are served, whatever their targets die of. */
export function findInnocentsRefused({
  calls,
}: Observations): readonly Violation[] {
  return calls
    .filter(call => call.isQuarantined && !call.isCrashing)
    .map(call => ({
      invariant: 'requests that crash no targets are not quarantined',
      detail: `${call.attemptId} was refused by ${call.vm} as one that crashed targets`,
    }));
}
