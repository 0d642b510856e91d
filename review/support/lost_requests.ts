/**
 * The rule LOST: a machine passes a request from a kept connection on to a sound
 * worker and closes that connection without an answer, more than three times.
 */
import type {ClientCall} from './client.js';
import type {CaseRecord} from './record.js';
import type {Worker} from './worker.js';

const ALLOWED = 3;

/**
 * Returns whether the rule held at every entry VM.
 *
 * @param soundWorkers Those that did what they should in the whole case.
 */
export function holdsRuleLost(
  calls: readonly ClientCall[],
  soundWorkers: readonly Worker[],
  record: CaseRecord,
): boolean {
  const run = new Set<string>();
  for (const worker of soundWorkers) {
    for (const {attemptId} of worker.runs) {
      run.add(attemptId);
    }
  }
  const lostByVm = new Map<string, number>();
  for (const call of calls) {
    const isLost = call.isKeptConnection && call.isCut && !call.isWhole;
    if (isLost && run.has(call.attemptId)) {
      record.add(`${call.attemptId} was run, and its connection closed`);
      lostByVm.set(call.vm, (lostByVm.get(call.vm) ?? 0) + 1);
    }
  }
  for (const [vm, lost] of lostByVm) {
    record.add(`${vm} closed ${lost} kept connections of passed-on requests`);
  }
  return [...lostByVm.values()].every(lost => lost <= ALLOWED);
}
