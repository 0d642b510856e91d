import type {Target} from '@ibisbeam/decision';
import type {Strategy} from '../types.js';
import {type Choose, type Sight, createBaseline} from './baseline.js';

const chooseRandom: Choose = (targets, sight) =>
  targets[sight.random.below(targets.length)]!;

const chooseInTurn: Choose = (targets, sight) =>
  targets[sight.turn % targets.length]!;

const chooseLeastReported: Choose = (targets, sight) => {
  let best = targets[sight.random.below(targets.length)]!;
  for (const target of targets) {
    if (reportedLoad(target, sight) < reportedLoad(best, sight)) {
      best = target;
    }
  }
  return best;
};

const chooseBetterOfTwo: Choose = (targets, sight) => {
  const one = targets[sight.random.below(targets.length)]!;
  const other = targets[sight.random.below(targets.length)]!;
  return sight.inFlight(other.id) < sight.inFlight(one.id) ? other : one;
};

function reportedLoad(target: Target, sight: Sight): number {
  return (sight.report(target.id)?.inFlight ?? 0) / target.slots;
}

export const BASELINES: readonly Strategy[] = [
  createBaseline('random', chooseRandom),
  createBaseline('round-robin', chooseInTurn),
  createBaseline('least-reported', chooseLeastReported),
  createBaseline('two-choices', chooseBetterOfTwo),
];
