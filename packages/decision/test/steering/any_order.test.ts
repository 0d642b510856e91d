import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
  type AttemptResult,
  type SteeringEvent,
  type SteeringPeerMessage,
  requestId,
} from '../../src/index.js';
import {
  KURZEME,
  REGIONS,
  RIGA,
  SERVICE,
  buildConfiguration,
  targetName,
  vmName,
} from '../support/configuration_fixture.js';
import {
  buildMembershipView,
  createSteeringDriver,
} from '../support/steering_driver.js';

const smallInteger = fc.integer({min: 0, max: 4});
const request = fc.integer({min: 0, max: 6}).map(n => requestId(`r-${n}`));
const target = fc
  .tuple(smallInteger, smallInteger)
  .map(([r, n]) => targetName(r % 3, n));
const vm = fc
  .tuple(smallInteger, smallInteger)
  .map(([r, n]) => vmName(r % 3, n));
const result = fc.constantFrom<AttemptResult>(
  {kind: 'answered', status: 200},
  {kind: 'answered', status: 500},
  {kind: 'shed'},
  {kind: 'not-sent', cause: 'refused'},
  {kind: 'broken', cause: 'reset'},
  {kind: 'timed-out'},
  {kind: 'cancelled', sent: true},
  {kind: 'cancelled', sent: false},
);
const message: fc.Arbitrary<SteeringPeerMessage> = fc.oneof(
  fc.record({
    kind: fc.constant('slots-wanted' as const),
    ask: smallInteger,
    service: fc.constant(SERVICE),
    slots: fc.integer({min: 1, max: 9}),
  }),
  fc.record({
    kind: fc.constant('slots-granted' as const),
    ask: smallInteger,
    service: fc.constant(SERVICE),
    slots: fc.array(fc.tuple(target, fc.integer({min: 1, max: 3}))),
    leaseMs: fc.integer({min: 1, max: 9_000}),
  }),
  fc.record({
    kind: fc.constant('slots-returned' as const),
    ask: smallInteger,
    service: fc.constant(SERVICE),
  }),
  fc.record({kind: fc.constant('target-leaving' as const), target}),
  fc.record({
    kind: fc.constant('crash-suspected' as const),
    fingerprint: fc.constantFrom('one', 'other'),
    targets: fc.array(target, {maxLength: 8}),
    ageMs: fc.nat(),
  }),
  fc.record({
    kind: fc.constant('failover-known' as const),
    from: fc.constantFrom(...REGIONS),
    startedAtWallMs: fc.integer(),
    endedAtWallMs: fc.option(fc.integer(), {nil: undefined}),
  }),
  fc.constant({kind: 'failovers-wanted' as const, incarnation: 'other'}),
);
const event: fc.Arbitrary<SteeringEvent> = fc.oneof(
  fc.record({
    kind: fc.constant('configuration-accepted' as const),
    configuration: fc
      .record({generation: smallInteger, slots: smallInteger})
      .map(drawn =>
        buildConfiguration({
          generation: drawn.generation,
          slots: [[drawn.slots + 1, 3], [4], [2]],
        }),
      ),
  }),
  fc.record({
    kind: fc.constant('membership-changed' as const),
    view: fc
      .subarray([...REGIONS])
      .map(silent => buildMembershipView(buildConfiguration(), {silent})),
  }),
  fc.record({
    kind: fc.constant('attempt-finished' as const),
    request,
    attempt: smallInteger,
    result,
  }),
  fc.record({
    kind: fc.constant('attempt-sent' as const),
    request,
    attempt: smallInteger,
  }),
  fc.record({
    kind: fc.constant('attempt-answering' as const),
    request,
    attempt: smallInteger,
    status: fc.constant(200),
    contentLength: fc.nat(),
  }),
  fc.record({kind: fc.constant('request-cancelled' as const), request}),
  fc.record({
    kind: fc.constant('target-leaving' as const),
    target,
    source: fc.constantFrom('refusal' as const, 'peer' as const),
  }),
  fc.record({
    kind: fc.constant('peer-message' as const),
    from: vm,
    message,
  }),
  fc.constant({kind: 'tick' as const}),
);
const step = fc.oneof(
  fc.record({event}),
  fc.record({
    arrival: fc.record({
      id: request,
      idempotent: fc.boolean(),
      fingerprint: fc.constantFrom('one', 'other', 'third'),
      homeRegion: fc.constantFrom(RIGA, KURZEME),
      cohort: fc.integer({min: 0, max: 999}),
    }),
  }),
  fc.record({passMs: fc.integer({min: 1, max: 30_000})}),
);

test('accepts events in any order and leaks no slot', () => {
  fc.assert(
    fc.property(fc.array(step, {maxLength: 80}), steps => {
      const driver = createSteeringDriver({incarnation: 'one'});
      for (const next of steps) {
        if ('event' in next) {
          driver.step(next.event);
        } else if ('arrival' in next) {
          driver.request(next.arrival);
        } else {
          driver.advance(next.passMs);
        }
      }
      driver.advance(400_000);
      driver.advance(400_000);
      const {pools} = driver.steering.status(driver);
      for (const pool of pools) {
        assert.equal(pool.inFlight, 0);
        assert.equal(pool.queued, 0);
      }
    }),
    {numRuns: 1_000, seed: 6},
  );
});
