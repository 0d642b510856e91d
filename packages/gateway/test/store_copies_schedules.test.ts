import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import * as fc from 'fast-check';
import {
  DAY_MS,
  type Disruption,
  VM_IDS,
  type VmDisruptionKind,
  simulateCopies,
} from './fixtures/copies_simulation.js';

const SEED = Number(process.env['SCHEDULE_SEED'] ?? 20_261_205);
const SCHEDULES = Number(process.env['SCHEDULES'] ?? 40);
const FIRST_DISRUPTION_MS = 2_000;
const LAST_DISRUPTION_MS = DAY_MS - 8_000;

const VM_DISRUPTIONS: readonly VmDisruptionKind[] = [
  'freeze',
  'suspend',
  'restart',
  'cut-from-peers',
  'unheard',
  'cut-from-store',
  'clock-step',
];

const atMs = fc.integer({min: FIRST_DISRUPTION_MS, max: LAST_DISRUPTION_MS});
const forMs = fc.integer({min: 100, max: 6_000});

const disruption: fc.Arbitrary<Disruption> = fc.oneof(
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constantFrom(...VM_DISRUPTIONS),
      vm: fc.nat({max: VM_IDS.length - 1}),
      atMs,
      forMs,
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('configuration-change' as const),
      atMs,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('store-away' as const),
      atMs,
      forMs,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({kind: fc.constant('history-lost' as const), atMs}),
  },
);

describe('copies of the store under schedules of disruptions', () => {
  // Guards against a replaced configuration that is acted on long after a VM is
  // back, in whatever way it was away, and whoever passes changes on.
  it('are current at every VM that was left alone, or not acted on', async () => {
    const property = fc.asyncProperty(
      fc.array(disruption, {minLength: 2, maxLength: 12}),
      async disruptions => {
        assert.equal(await simulateCopies(disruptions), undefined);
      },
    );
    await fc.assert(property, {
      seed: SEED,
      numRuns: SCHEDULES,
      // A schedule takes a third of a second, and shrinking plays hundreds.
      endOnFailure: true,
    });
  });
});
