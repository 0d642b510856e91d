/** Runs a case and ends the process with the status that its result asks for. */
import {type TimerService, createSystemTimerService} from '@ibisbeam/library';
import {join} from 'node:path';
import {type CaseRecord, createCaseRecord} from './record.js';

/** `true` if the rule held. */
export type Case = (surroundings: CaseSurroundings) => Promise<boolean>;

export interface CaseSurroundings {
  readonly timers: TimerService;
  readonly record: CaseRecord;
  /** False for the same course of events without the disruption. */
  readonly hasTrouble: boolean;
}

const STATUS_HELD = 0;
const STATUS_BROKEN = 1;
const STATUS_NOT_RUN = 2;
const LONGEST_MS = 118_000;

/** The first argument of the process is the folder of the case. */
export async function runCase(play: Case): Promise<void> {
  const timers = createSystemTimerService();
  const record = createCaseRecord(
    join(process.argv[2] ?? '.', 'record.txt'),
    timers,
  );
  const hasTrouble = process.env['TROUBLE'] !== '0';
  record.add(hasTrouble ? 'with the disruption' : 'without the disruption');
  const giveUp = (): void => {
    record.add('the case was ended early');
    process.exit(STATUS_NOT_RUN);
  };
  process.on('SIGTERM', giveUp);
  process.on('SIGINT', giveUp);
  process.on('SIGHUP', giveUp);
  // Node.js would end with the status of a broken rule.
  process.on('uncaughtException', error => {
    record.add(`the case failed: ${error.stack?.split('\n')[0]}`);
    process.exit(STATUS_NOT_RUN);
  });
  timers.after(LONGEST_MS, giveUp);
  try {
    const held = await play({timers, record, hasTrouble});
    record.add(held ? 'the rule held' : 'the rule was broken');
    process.exit(held ? STATUS_HELD : STATUS_BROKEN);
  } catch (error) {
    record.add(`the case could not run: ${String(error)}`);
    process.exit(STATUS_NOT_RUN);
  }
}
