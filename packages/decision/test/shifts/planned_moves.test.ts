import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
  type Drain,
  type RegionName,
  type Shift,
  schedulePlannedMoves,
  findRegionAfterMoves,
} from '../../src/index.js';
import {
  KURZEME,
  LATGALE,
  POLICY,
  REGIONS,
  RIGA,
  SERVICE,
  WORKSPACE,
  buildConfiguration,
} from '../support/configuration_fixture.js';

const START_MS = 1_000_000;
const {intervalMs, capFraction} = POLICY.shift;
const COHORTS = 1_000;

const shift = (change: Partial<Shift> = {}): Shift => ({
  id: 'one',
  workspace: WORKSPACE,
  from: RIGA,
  to: KURZEME,
  fraction: 1,
  startAtMs: START_MS,
  plannedBy: 'operator',
  ...change,
});

function regionsAt(
  shifts: readonly Shift[],
  drains: readonly Drain[],
  wallMs: number,
): readonly RegionName[] {
  const configuration = buildConfiguration({shifts, drains});
  const moves = schedulePlannedMoves(
    configuration,
    WORKSPACE,
    SERVICE,
    POLICY.shift,
    1,
  );
  return Array.from({length: COHORTS}, (_, cohort) =>
    findRegionAfterMoves(configuration, moves, RIGA, cohort, wallMs),
  );
}

function countMoved(
  before: readonly RegionName[],
  after: readonly RegionName[],
): number {
  return before.filter((region, cohort) => region !== after[cohort]).length;
}

const shifts = fc.array(
  fc.record({
    to: fc.constantFrom(KURZEME, LATGALE),
    fraction: fc.double({min: 0, max: 1, noNaN: true}),
    startAfterMs: fc.integer({min: 0, max: 10 * intervalMs}),
    abortedAfterMs: fc.option(fc.integer({min: 0, max: 20 * intervalMs})),
  }),
  {minLength: 1, maxLength: 4},
);

test('all moves together stay within the cap in any interval', () => {
  fc.assert(
    fc.property(shifts, fc.integer({min: 0, max: 500}), (drawn, step) => {
      const planned = drawn.map((one, index) =>
        shift({
          id: `shift-${index}`,
          to: one.to,
          fraction: one.fraction,
          startAtMs: START_MS + one.startAfterMs,
          abortedAtMs:
            one.abortedAfterMs === null
              ? undefined
              : START_MS + one.startAfterMs + one.abortedAfterMs,
        }),
      );
      const atMs = START_MS + (step / 10) * intervalMs;
      const moved = countMoved(
        regionsAt(planned, [], atMs),
        regionsAt(planned, [], atMs + intervalMs),
      );
      assert.ok(moved <= COHORTS * capFraction + 1, `${moved} moved`);
    }),
    {numRuns: 60, seed: 5},
  );
});

test('runs two moves with the same start time one after the other', () => {
  const both = [shift(), shift({id: 'other', to: LATGALE})];
  const moved = countMoved(
    regionsAt(both, [], START_MS),
    regionsAt(both, [], START_MS + intervalMs),
  );
  assert.equal(moved, COHORTS * capFraction);
});

test('gives the same regions when recomputed from the same configuration', () => {
  const atMs = START_MS + 3.5 * intervalMs;
  assert.deepEqual(
    regionsAt([shift()], [], atMs),
    regionsAt([shift()], [], atMs),
  );
  assert.ok(
    countMoved(regionsAt([], [], atMs), regionsAt([shift()], [], atMs)),
  );
});

test('moves all cohorts out of a drained region at the rate of the cap', () => {
  const drain: Drain = {
    id: 'drain',
    scope: {kind: 'region', region: RIGA},
    startAtMs: START_MS,
    rampMs: 1_000,
    plannedBy: 'operator',
  };
  const early = regionsAt([], [drain], START_MS + intervalMs);
  const late = regionsAt([], [drain], START_MS + 11 * intervalMs);
  assert.equal(early.filter(region => region !== RIGA).length, 100);
  assert.equal(late.filter(region => region === RIGA).length, 0);
  assert.deepEqual(
    new Set(late),
    new Set(REGIONS.filter(region => region !== RIGA)),
  );
});
