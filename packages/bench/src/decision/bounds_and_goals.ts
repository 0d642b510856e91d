/**
 * Evaluates a run against bounds, which must hold in every run, and against
 * goals, which compare the strategy under test with the others.
 */
import type {CheckName} from '@ibisbeam/invariants';
import {type Figures, countViolations} from './measure.js';

export interface BoundViolation {
  readonly scenario: string;
  readonly seed: number;
  readonly bound: CheckName;
  readonly observed: string;
}

/** Summarizes the violations of a run, one entry per violated bound. */
export function findBoundViolations(
  scenario: string,
  seed: number,
  figures: Figures,
): readonly BoundViolation[] {
  const checks = new Set(figures.violations.map(one => one.check));
  const boundViolations: BoundViolation[] = [];
  for (const bound of checks) {
    const first = figures.violations.find(one => one.check === bound)!;
    const count = countViolations(figures, bound);
    boundViolations.push({
      scenario,
      seed,
      bound,
      observed: `${count} times, first at ${first.atMs.toFixed(0)} ms: ${first.subject} ${first.detail}`,
    });
  }
  return boundViolations;
}

export interface Goal {
  readonly scenario: string;
  readonly name: string;
  readonly reached: boolean;
  readonly observed: string;
}

export type FiguresByStrategy = ReadonlyMap<string, Figures>;

const LATENCY_RATIO_GOAL = 1.1;
const GOODPUT_RATIO_GOAL = 0.95;

export function evaluateGoals(
  scenario: string,
  subject: string,
  figures: FiguresByStrategy,
): readonly Goal[] {
  switch (scenario) {
    case 'steady':
    case 'steady-ceoltoiri':
      return [
        latencyAgainstOracle(scenario, subject, figures),
        latencyAgainstBaselines(scenario, subject, figures),
      ];
    case 'region-gone':
      return [goodputAgainstOracle(scenario, subject, figures)];
    case 'rush':
      return [headroomAgainstBaselines(scenario, subject, figures)];
    default:
      return [];
  }
}

function latencyAgainstOracle(
  scenario: string,
  subject: string,
  figures: FiguresByStrategy,
): Goal {
  const own = interactiveP99(figures.get(subject)!);
  const best = interactiveP99(figures.get('oracle')!);
  return {
    scenario,
    name: `p99 at most ${LATENCY_RATIO_GOAL} of the oracle's`,
    reached: own <= LATENCY_RATIO_GOAL * best,
    observed: `${own.toFixed(1)} ms, ${(own / best).toFixed(3)} of ${best.toFixed(1)} ms`,
  };
}

function latencyAgainstBaselines(
  scenario: string,
  subject: string,
  figures: FiguresByStrategy,
): Goal {
  const own = interactiveP99(figures.get(subject)!);
  const others = baselines(subject, figures).map(([name, one]) => ({
    name,
    value: interactiveP99(one),
  }));
  const best = others.reduce((a, b) => (b.value < a.value ? b : a));
  return {
    scenario,
    name: 'p99 below every baseline',
    reached: own < best.value,
    observed: `${own.toFixed(1)} ms; best is ${best.name} with ${best.value.toFixed(1)} ms`,
  };
}

function goodputAgainstOracle(
  scenario: string,
  subject: string,
  figures: FiguresByStrategy,
): Goal {
  const own = figures.get(subject)!.goodputPerSecond;
  const best = figures.get('oracle')!.goodputPerSecond;
  return {
    scenario,
    name: `goodput at least ${GOODPUT_RATIO_GOAL} of the oracle's`,
    reached: own >= GOODPUT_RATIO_GOAL * best,
    observed: `${own.toFixed(1)}/s, ${(own / best).toFixed(3)} of ${best.toFixed(1)}/s`,
  };
}

function headroomAgainstBaselines(
  scenario: string,
  subject: string,
  figures: FiguresByStrategy,
): Goal {
  const own = smallestHeadroom(figures.get(subject)!);
  const others = baselines(subject, figures).map(([name, one]) => ({
    name,
    value: smallestHeadroom(one),
  }));
  const best = others.reduce((a, b) => (b.value > a.value ? b : a));
  return {
    scenario,
    name: 'smallest headroom above every baseline',
    reached: own > best.value,
    observed: `${own.toFixed(3)}; best is ${best.name} with ${best.value.toFixed(3)}`,
  };
}

function baselines(
  subject: string,
  figures: FiguresByStrategy,
): readonly (readonly [string, Figures])[] {
  return [...figures].filter(([name]) => name !== subject && name !== 'oracle');
}

function interactiveP99(figures: Figures): number {
  const service = figures.services.find(
    one =>
      one.service === 'room-availability' ||
      one.service === 'measurement-sheets',
  );
  return service?.p99Ms ?? Infinity;
}

export function smallestHeadroom(figures: Figures): number {
  return Math.min(...figures.smallestHeadroom.values());
}
