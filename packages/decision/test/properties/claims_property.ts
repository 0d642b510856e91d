/** Checks at-most-once execution over generated schedules of steps. */
import fc from 'fast-check';
import {
  type CreateClaims,
  STEP_KINDS,
  type Step,
  type StepKind,
  createClaimsSimulation,
} from './claims_simulation.js';

const MAXIMUM_STEPS = 120;
const MAXIMUM_CHOICE = 0xffff;

/** Progress is more frequent than faults, so that claims reach their ends. */
const WEIGHTS: Partial<Record<StepKind, number>> = {
  request: 4,
  'request-with-ticket': 2,
  resend: 4,
  'store-answers': 8,
  'peer-delivers': 4,
  'send-and-answer': 3,
  tick: 4,
};

const kind = fc.oneof(
  ...STEP_KINDS.map(name => ({
    arbitrary: fc.constant(name),
    weight: WEIGHTS[name] ?? 1,
  })),
);

export const schedule: fc.Arbitrary<Step[]> = fc.array(
  fc.tuple(kind, fc.nat(MAXIMUM_CHOICE)),
  {minLength: 10, maxLength: MAXIMUM_STEPS, size: 'max'},
);

export interface PropertyRun {
  readonly failed: boolean;
  readonly report: string;
  /** Number of times that the schedules reached each decision or state. */
  readonly reached: ReadonlyMap<string, number>;
}

export function checkClaims(
  seed: number,
  numRuns: number,
  createMachine?: CreateClaims,
): PropertyRun {
  const reached = new Map<string, number>();
  const details = fc.check(
    fc.property(schedule, steps => {
      const simulation = createClaimsSimulation(createMachine);
      for (const step of steps) {
        simulation.step(step);
      }
      for (const [name, count] of simulation.decisions) {
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
