/** Writes what was sent, answered and run to `record.txt` of a case. */
import {openSync, writeSync} from 'node:fs';
import type {TimerService} from '@ibisbeam/library';

export interface CaseRecord {
  /** Adds a line that begins with the time since the start of the case. */
  add(text: string): void;
}

export function createCaseRecord(
  file: string,
  timers: Pick<TimerService, 'nowMs'>,
): CaseRecord {
  const descriptor = openSync(file, 'w');
  const startedMs = timers.nowMs();

  return {
    add: text => {
      const atMs = Math.round(timers.nowMs() - startedMs);
      writeSync(descriptor, `${String(atMs).padStart(6)} ms ${text}\n`);
    },
  };
}
