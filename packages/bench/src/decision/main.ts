/**
 * `npm run bench`: runs the scenarios with all strategies and checks the bounds
 * and goals.
 */
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {findKnownFailure, readKnownFailures} from './known_failures.js';
import {type Figures, measure} from './measure.js';
import {formatScenario} from './report.js';
import {type RunResult, type Scenario, runScenario} from './run_scenario.js';
import {SCENARIOS} from './scenarios.js';
import {STRATEGIES} from './strategies/index.js';
import {
  type BoundViolation,
  type Goal,
  findBoundViolations,
  evaluateGoals,
} from './bounds_and_goals.js';

const DEFAULT_SEED = 1;

interface Evaluation {
  readonly violations: BoundViolation[];
  readonly goals: Goal[];
}

function main(): void {
  const options = yargs(hideBin(process.argv))
    .option('scenario', {
      type: 'array',
      string: true,
      choices: SCENARIOS.map(scenario => scenario.name),
      describe: 'Scenarios to run; all if absent',
    })
    .option('seed', {
      type: 'array',
      number: true,
      default: [DEFAULT_SEED],
      describe: 'Seeds to run each scenario with',
    })
    .option('strategy', {
      type: 'array',
      string: true,
      describe: 'Strategies to run; all if absent',
    })
    .strict()
    .parseSync();
  const selected = SCENARIOS.filter(
    scenario => options.scenario?.includes(scenario.name) ?? true,
  );
  const evaluation: Evaluation = {violations: [], goals: []};
  for (const scenario of selected) {
    for (const seed of options.seed) {
      runOne(scenario, seed, options.strategy, evaluation);
    }
  }
  process.exitCode = printEvaluation(evaluation);
}

function runOne(
  scenario: Scenario,
  seed: number,
  only: readonly string[] | undefined,
  evaluation: Evaluation,
): void {
  const figures = new Map<string, Figures>();
  let last: RunResult | undefined;
  for (const strategy of STRATEGIES) {
    if (only && !only.includes(strategy.name)) {
      continue;
    }
    last = runScenario(scenario, strategy, seed);
    const measured = measure(last);
    figures.set(strategy.name, measured);
    if (strategy.boundsApply) {
      evaluation.violations.push(
        ...findBoundViolations(scenario.name, seed, measured),
      );
    }
  }
  if (last) {
    process.stdout.write(`${formatScenario(last, seed, figures)}\n\n`);
  }
  const subject = STRATEGIES.find(strategy => strategy.boundsApply);
  if (subject && figures.size === STRATEGIES.length) {
    evaluation.goals.push(
      ...evaluateGoals(scenario.name, subject.name, figures),
    );
  }
}

/** Prints the goals and violated bounds; returns the exit code. */
function printEvaluation({violations, goals}: Evaluation): number {
  for (const goal of goals) {
    const word = goal.reached ? 'reached' : 'GAP';
    print(`goal ${word}: ${goal.scenario}: ${goal.name}: ${goal.observed}`);
  }
  const knownFailures = readKnownFailures();
  let unexpected = 0;
  for (const violation of violations) {
    const known = findKnownFailure(knownFailures, violation);
    unexpected += known ? 0 : 1;
    const word = known ? 'KNOWN RED' : 'BROKEN';
    print(
      `bound ${word}: ${violation.scenario} seed ${violation.seed}: ${violation.bound}: ${violation.observed}`,
    );
  }
  print(unexpected === 0 ? 'bounds hold' : `${unexpected} bounds are broken`);
  return unexpected === 0 ? 0 : 1;
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

main();
