#!/usr/bin/env node
/** `npm run soak -- --seed N --seconds S`: prints the result of each seed. */
import {createSystemTimerService} from '@ibisbeam/library';
import yargs from 'yargs';
import {readKnownInvariants} from './known_failures.js';
import {REGRESSIONS} from './regressions.js';
import {runSoak} from './run_soak.js';

const MAXIMUM_PRINTED_VIOLATIONS = 10;

const options = await yargs(process.argv.slice(2))
  .scriptName('soak')
  .option('seed', {type: 'number', default: 1, describe: 'First seed'})
  .option('seeds', {
    type: 'number',
    default: 1,
    describe: 'Number of consecutive seeds',
  })
  .option('seconds', {
    type: 'number',
    default: 20,
    describe: 'Duration of fault injection per seed, in seconds',
  })
  .option('gateways', {
    type: 'number',
    default: 4,
    describe: 'Number of gateway processes',
  })
  .option('beside', {
    type: 'string',
    describe:
      'Gateway program of another build (its platform/dist/src/main.js), which every second gateway runs',
  })
  .option('regressions', {
    type: 'boolean',
    default: false,
    describe: 'Runs only the seeds that once exposed a fault',
  })
  .strict()
  .version(false)
  .parseAsync();

const timers = createSystemTimerService();
const knownInvariants = readKnownInvariants('KNOWN-RED.txt');
let failed = 0;

async function runSeed(seed: number, seconds: number): Promise<void> {
  const {gateways, beside} = options;
  const result = await runSoak({
    seed,
    seconds,
    gateways,
    otherProgram: beside,
    timers,
  });
  const {violations, calls, answered, events, peakMegabytes} = result;
  const isKnown = violations.every(({invariant}) =>
    knownInvariants.has(invariant),
  );
  const verdictOnViolations = isKnown ? 'KNOWN RED' : 'FAILED';
  const verdict = violations.length === 0 ? 'passed' : verdictOnViolations;
  process.stdout.write(
    `seed ${seed}: ${verdict}; ${answered} of ${calls} calls answered, ${events.length} faults, at most ${peakMegabytes} MB resident\n`,
  );
  if (violations.length === 0) {
    return;
  }
  failed += isKnown ? 0 : 1;
  for (const {invariant, detail} of violations.slice(
    0,
    MAXIMUM_PRINTED_VIOLATIONS,
  )) {
    process.stdout.write(`  ${invariant}: ${detail}\n`);
  }
  for (const event of events) {
    process.stdout.write(`    ${event}\n`);
  }
  process.stdout.write(`  logs: ${result.folder}\n`);
}

if (options.regressions) {
  for (const {seed, seconds, cause} of REGRESSIONS) {
    process.stdout.write(`seed ${seed} regression test for: ${cause}\n`);
    await runSeed(seed, seconds);
  }
} else {
  for (let offset = 0; offset < options.seeds; offset += 1) {
    await runSeed(options.seed + offset, options.seconds);
  }
}
process.exit(failed > 0 ? 1 : 0);
