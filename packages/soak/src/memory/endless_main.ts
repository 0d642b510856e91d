#!/usr/bin/env node
/**
 * `npm run bench:endless`: prints what targets and callers that send without
 * end cost the gateways, and how the requests beside them ended.
 */
import {createSystemTimerService} from '@ibisbeam/library';
import yargs from 'yargs';
import type {CallerKind, EndlessCall} from './endless_callers.js';
import {ENDLESS_SCENARIOS} from './endless_scenarios.js';
import {type EndlessMeasurement, measureEndless} from './measure_endless.js';

const SOUND_KINDS: readonly CallerKind[] = ['sound', 'three-ahead', 'steady'];
const PERCENTILE = 0.99;

const options = await yargs(process.argv.slice(2))
  .scriptName('bench:endless')
  .option('only', {
    type: 'string',
    default: '',
    describe: 'Text in the names of the scenarios to run',
  })
  .option('seconds', {
    type: 'number',
    default: 8,
    describe: 'Time for which callers send',
  })
  .option('program', {
    type: 'string',
    describe: 'Gateway program of another build',
  })
  .strict()
  .version(false)
  .parseAsync();

const timers = createSystemTimerService();
for (const scenario of ENDLESS_SCENARIOS) {
  if (!scenario.name.includes(options.only)) {
    continue;
  }
  const measured = await measureEndless({
    scenario,
    timers,
    seconds: options.seconds,
    ...(options.program === undefined ? {} : {program: options.program}),
  });
  process.stdout.write(`${scenario.name}: ${formatMeasurement(measured)}\n`);
}
process.exit();

function formatMeasurement({gateways, calls}: EndlessMeasurement): string {
  const ends = gateways.filter(({hasEnded}) => hasEnded).length;
  const peaks = gateways.map(({peak}) => peak).join(', ');
  const processorTimes = gateways.map(vm => vm.processorMs).join(', ');
  const sound = calls.filter(({kind}) => SOUND_KINDS.includes(kind));
  const others = calls.filter(({kind}) => !SOUND_KINDS.includes(kind));
  return [
    `${ends} own ends`,
    `peak ${peaks} MB`,
    `processor ${processorTimes} ms`,
    formatCalls(sound),
    ...(others.length > 0 ? [`they got ${formatStatuses(others)}`] : []),
  ].join('; ');
}

function formatCalls(calls: readonly EndlessCall[]): string {
  const served = calls.filter(isServed);
  const times = served.map(({tookMs}) => tookMs).sort((a, b) => a - b);
  const slow = times[Math.floor(times.length * PERCENTILE)] ?? 0;
  const refused = calls.filter(
    call => call.outcome === 'answered' && !isServed(call),
  );
  return [
    `served ${served.length}`,
    `refused ${refused.length}`,
    `cut ${countOf(calls, 'cut')}`,
    `behind ${countOf(calls, 'behind')}`,
    `unanswered ${countOf(calls, 'unanswered')}`,
    `p99 ${Math.round(slow)} ms`,
  ].join(', ');
}

function isServed({outcome, status}: EndlessCall): boolean {
  return outcome === 'answered' && status === 200;
}

function countOf(
  calls: readonly EndlessCall[],
  outcome: EndlessCall['outcome'],
): number {
  return calls.filter(call => call.outcome === outcome).length;
}

/** Status and count, in the order in which they came first; 0 for no answer. */
function formatStatuses(calls: readonly EndlessCall[]): string {
  const counts = new Map<number, number>();
  for (const {status} of calls) {
    counts.set(status, (counts.get(status) ?? 0) + 1);
  }
  return [...counts].map(([status, count]) => `${status}: ${count}`).join(', ');
}
