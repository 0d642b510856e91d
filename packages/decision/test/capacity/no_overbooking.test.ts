import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import type {Configuration} from '../../src/index.js';
import {buildConfiguration} from '../support/configuration_fixture.js';
import {type FleetCommand, createRegionFleet} from '../support/region_fleet.js';

const policy = {defaultDeadlineMs: 500, maximumDeadlineMs: 3_000};

/** They differ in targets and VMs; each target has the same slots in all. */
const configurations: readonly Configuration[] = [
  buildConfiguration({vms: [3, 0, 0], slots: [[3, 4, 5], [], []], policy}),
  buildConfiguration({vms: [2, 0, 0], slots: [[3, 4, 5], [], []], policy}),
  buildConfiguration({vms: [3, 0, 0], slots: [[3, 4], [], []], policy}),
  buildConfiguration({vms: [1, 0, 0], slots: [[3], [], []], policy}),
];

const vm = fc.integer({min: 0, max: 2});
const command: fc.Arbitrary<FleetCommand> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('saturate' as const),
      count: fc.integer({min: 1, max: 10}),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('answer' as const),
      fraction: fc.double({min: 0.1, max: 1, noNaN: true}),
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('pass' as const),
      forMs: fc.oneof(
        fc.integer({min: 50, max: 1_000}),
        fc.integer({min: 1_000, max: 4_000}),
      ),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('pause' as const),
      vm,
      forMs: fc.integer({min: 500, max: 20_000}),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('replace' as const),
      vm,
      afterMs: fc.integer({min: 50, max: 3_000}),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('configure' as const),
      choice: fc.integer({min: 0, max: 3}),
    }),
  },
);

test('no target ever runs more requests than it has slots', () => {
  let timesFull = 0;
  let borrowed = 0;
  fc.assert(
    fc.property(
      fc.integer(),
      fc.array(command, {minLength: 30, maxLength: 80}),
      (seed, commands) => {
        const fleet = createRegionFleet(configurations, seed);
        for (const next of commands) {
          fleet.apply(next);
          assert.deepEqual(fleet.checkOverbookedTargets(), []);
        }
        timesFull += fleet.countFullChecks();
        borrowed += fleet.countBorrowedLeases();
      },
    ),
    {numRuns: 400, seed: 4},
  );
  assert.ok(
    timesFull > 0 && borrowed > 0,
    `targets full ${timesFull} times, ${borrowed} slots borrowed`,
  );
});
