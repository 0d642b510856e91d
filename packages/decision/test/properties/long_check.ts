/**
 * Runs the property checks over more schedules:
 * `npm run check:long -- --seed 7 --schedules 50000`. The same seed and number
 * of schedules repeat a run.
 */
import {parseArgs} from 'node:util';
import {type PropertyRun, checkClaims} from './claims_property.js';
import {checkRollout} from './rollout_property.js';

const DEFAULT_SCHEDULES = 50_000;

const {values} = parseArgs({
  options: {
    seed: {type: 'string', default: '1'},
    schedules: {type: 'string', default: String(DEFAULT_SCHEDULES)},
  },
});
const seed = Number(values.seed);
const schedules = Number(values.schedules);

const properties: readonly [string, () => PropertyRun][] = [
  ['claims', () => checkClaims(seed, schedules)],
  ['rollout', () => checkRollout(seed, Math.ceil(schedules / 5))],
];

let failed = false;
for (const [name, check] of properties) {
  const run = check();
  failed ||= run.failed;
  const verdict = run.failed ? 'FAILED' : 'held';
  process.stdout.write(`${name}: ${verdict} (seed ${seed})\n`);
  for (const [what, count] of run.reached) {
    process.stdout.write(`  ${what}: ${count}\n`);
  }
  process.stdout.write(run.report);
}
process.exitCode = failed ? 1 : 0;
