/**
 * The parts of a planned stop of a VM, and which requests it may still send to
 * targets or peers. Answers the load of clients that go on using their open
 * connections after the VM has left the directory.
 */

/**
 * - `serving`: no stop has begun.
 * - `announced`: the VM has left the directory. Clients that keep an earlier
 *   response still open connections.
 * - `closed`: the listener closes once no connection waits to be accepted; open
 *   connections may bring requests.
 * - `finishing`: nothing is sent to targets or peers any more; what has been sent
 *   is answered.
 * - `ending`: what has no answer by now gets one of the VM itself.
 */
export type StopPhase =
  'serving' | 'announced' | 'closed' | 'finishing' | 'ending';

/** Beginnings of the phases, in milliseconds since the stop began. */
export interface StopSchedule {
  readonly closedMs: number;
  readonly finishingMs: number;
  readonly endingMs: number;
}

/** Reserved from the grace period for last answers and the exit. */
const EXIT_MARGIN_MS = 400;
/** Clients keep a directory response for up to 2 s before they ask again. */
const ANNOUNCEMENT_MS = 2_200;
/** Time for connections that have not brought their first request. */
const FIRST_REQUEST_GRACE_MS = 600;
/** Leaves the other half to the runs that have begun. */
const MAXIMUM_BEGINNING_SHARE = 0.5;
/** Runs may take this multiple of the time that is expected of them. */
const RUN_TIME_FACTOR = 2;

/** @param graceMs Longest time from the signal to the exit of the process. */
export function planStop(graceMs: number): StopSchedule {
  const endingMs = Math.max(graceMs - EXIT_MARGIN_MS, 0);
  const finishingMs = Math.min(
    ANNOUNCEMENT_MS + FIRST_REQUEST_GRACE_MS,
    endingMs * MAXIMUM_BEGINNING_SHARE,
  );
  return {
    closedMs: Math.min(ANNOUNCEMENT_MS, finishingMs),
    finishingMs,
    endingMs,
  };
}

export function stopPhaseAt(
  schedule: StopSchedule,
  sinceStopMs: number,
): Exclude<StopPhase, 'serving'> {
  if (sinceStopMs >= schedule.endingMs) {
    return 'ending';
  }
  if (sinceStopMs >= schedule.finishingMs) {
    return 'finishing';
  }
  return sinceStopMs >= schedule.closedMs ? 'closed' : 'announced';
}

/**
 * Whether a request may be sent to a target or a peer: what cannot end within
 * the grace period is not begun, so that its client can go elsewhere at once.
 *
 * @param expectedMs Time until its answer.
 */
export function mayBegin(
  schedule: StopSchedule,
  sinceStopMs: number,
  expectedMs: number,
): boolean {
  const leftMs = schedule.endingMs - sinceStopMs;
  return (
    sinceStopMs < schedule.finishingMs && expectedMs * RUN_TIME_FACTOR <= leftMs
  );
}
