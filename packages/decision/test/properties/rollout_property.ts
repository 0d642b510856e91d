/** Checks over generated schedules that generations only rise and converge. */
import fc from 'fast-check';
import type {PropertyRun} from './claims_property.js';
import {
  type CreateRollout,
  ROLLOUT_STEP_KINDS,
  type RolloutStep,
  type RolloutStepKind,
  createRolloutSimulation,
} from './rollout_simulation.js';

const MAXIMUM_STEPS = 150;
const MAXIMUM_CHOICE = 0xffff;

const WEIGHTS: Partial<Record<RolloutStepKind, number>> = {
  'store-answers': 6,
  'peer-delivers': 10,
  'link-opens': 5,
  tick: 6,
};

const kind = fc.oneof(
  ...ROLLOUT_STEP_KINDS.map(name => ({
    arbitrary: fc.constant(name),
    weight: WEIGHTS[name] ?? 1,
  })),
);

const schedule: fc.Arbitrary<RolloutStep[]> = fc.array(
  fc.tuple(kind, fc.nat(MAXIMUM_CHOICE)),
  {minLength: 10, maxLength: MAXIMUM_STEPS, size: 'max'},
);

export function checkRollout(
  seed: number,
  numRuns: number,
  createMachine?: CreateRollout,
): PropertyRun {
  const reached = new Map<string, number>();
  const details = fc.check(
    fc.property(schedule, steps => {
      const simulation = createRolloutSimulation(createMachine);
      for (const step of steps) {
        simulation.step(step);
      }
      simulation.settle();
      for (const [name, count] of simulation.reached) {
        reached.set(name, (reached.get(name) ?? 0) + count);
      }
    }),
    {seed, numRuns},
  );
  return {
    failed: details.failed,
    report: details.failed
      ? `${String(details.errorInstance)}\n${fc.defaultReportMessage(details)}`
      : '',
    reached,
  };
}
