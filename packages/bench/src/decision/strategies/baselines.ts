import type {Target} from '@ibisbeam/decision';
import type {Strategy} from '../types.js';
import {
  type ChooseTarget,
  type ChoiceContext,
  createBaseline,
} from './baseline.js';

const chooseRandom: ChooseTarget = (targets, sight) =>
  targets[sight.random.below(targets.length)]!;

const chooseRoundRobin: ChooseTarget = (targets, sight) =>
  targets[sight.choiceCount % targets.length]!;

const chooseLeastReportedLoad: ChooseTarget = (targets, sight) => {
  let best = targets[sight.random.below(targets.length)]!;
  for (const target of targets) {
    if (reportedLoad(target, sight) < reportedLoad(best, sight)) {
      best = target;
    }
  }
  return best;
};

const chooseLessLoadedOfTwo: ChooseTarget = (targets, sight) => {
  const one = targets[sight.random.below(targets.length)]!;
  const other = targets[sight.random.below(targets.length)]!;
  return sight.inFlight(other.id) < sight.inFlight(one.id) ? other : one;
};

function reportedLoad(target: Target, sight: ChoiceContext): number {
  return (sight.report(target.id)?.inFlight ?? 0) / target.slots;
}

export const BASELINES: readonly Strategy[] = [
  createBaseline('random', chooseRandom),
  createBaseline('round-robin', chooseRoundRobin),
  createBaseline('least-reported', chooseLeastReportedLoad),
  createBaseline('two-choices', chooseLessLoadedOfTwo),
];
