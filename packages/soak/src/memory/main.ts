#!/usr/bin/env node
/** `npm run bench:memory`: prints the resident memory of each scenario. */
import {createSystemTimerService} from '@ibisbeam/library';
import yargs from 'yargs';
import {measureScenario} from './measure_scenario.js';
import {MEMORY_SCENARIOS} from './scenarios.js';

const options = await yargs(process.argv.slice(2))
  .scriptName('bench:memory')
  .option('memory', {
    type: 'number',
    array: true,
    default: [350, 202],
    describe: 'Memory of the VM in its settings, in megabytes',
  })
  .option('scenario', {
    type: 'number',
    array: true,
    default: MEMORY_SCENARIOS.map((_, index) => index),
    describe: 'Numbers of the scenarios, from 0',
  })
  .option('program', {
    type: 'string',
    describe: 'Gateway program of another build',
  })
  .strict()
  .version(false)
  .parseAsync();

const timers = createSystemTimerService();
for (const memoryMegabytes of options.memory) {
  for (const index of options.scenario) {
    const scenario = MEMORY_SCENARIOS[index];
    if (!scenario) {
      continue;
    }
    const result = await measureScenario({
      scenario,
      memoryMegabytes,
      timers,
      ...(options.program === undefined ? {} : {program: options.program}),
    });
    const answers = [...result.answersByStatus]
      .map(([status, count]) => `${status}: ${count}`)
      .join(', ');
    process.stdout.write(
      `${memoryMegabytes} MB, ${scenario.name}: ${result.before} MB before, ` +
        `peak ${result.peak}, after ${result.after}; ` +
        `answers ${answers} of ${result.requests}, ` +
        `${result.inOrder ? 'in order' : 'OUT OF ORDER'}, ` +
        `${result.runs} runs, ${Math.round(result.tookMs)} ms, ` +
        `processor ${result.processorMs} ms` +
        `${result.hasEnded ? ', PROCESS ENDED' : ''}\n`,
    );
  }
}
process.exit();
