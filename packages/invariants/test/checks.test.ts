import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  type Outcome,
  type RefusalReason,
  generation,
  regionName,
  requestId,
  serviceName,
  targetId,
  vmId,
} from '@ibisbeam/decision';
import {
  CHECKS,
  type CheckName,
  type TraceEvent,
  type TraceSetup,
  checkTrace,
} from '../src/index.js';

const riga = regionName('riga');
const kurzeme = regionName('kurzeme');
const ledger = serviceName('booking-ledger');
const homeTarget = targetId('booking-ledger-1');
const awayTarget = targetId('booking-ledger-2');
const vm = vmId('riga-a-1');

const setup: TraceSetup = {
  targets: new Map([
    [homeTarget, {service: ledger, region: riga, slots: 1}],
    [awayTarget, {service: ledger, region: kurzeme, slots: 1}],
  ]),
  links: [{from: kurzeme, to: riga, usableBitsPerSecond: 2e9}],
  shiftCaps: new Map([[ledger, {capFraction: 0.001, intervalMs: 1_000}]]),
  cohorts: 1_000,
};

function sent(name: string, atMs: number, cohort = 1): TraceEvent {
  return {
    kind: 'request-sent',
    atMs,
    request: requestId(name),
    operation: 'deposit-1',
    service: ledger,
    homeRegion: riga,
    cohort,
    idempotent: false,
    first: true,
  };
}

function atTarget(
  kind: 'target-entered' | 'target-left' | 'run-started',
  name: string,
  atMs: number,
  target = homeTarget,
): TraceEvent {
  return {kind, atMs, request: requestId(name), target};
}

function attempt(name: string, atMs: number): TraceEvent {
  return {
    kind: 'attempt-sent',
    atMs,
    vm,
    request: requestId(name),
    target: homeTarget,
  };
}

const answered = (
  name: string,
  answerTo: string,
  whole = true,
): TraceEvent => ({
  kind: 'request-ended',
  atMs: 50,
  request: requestId(name),
  end: {kind: 'answered', answerTo: requestId(answerTo), whole},
});

function refusedAs(
  name: string,
  atMs: number,
  reason: RefusalReason,
  outcome: Outcome,
): TraceEvent {
  return {
    kind: 'request-ended',
    atMs,
    request: requestId(name),
    end: {kind: 'refused', reason, outcome},
  };
}

const cohortAtHome = (name: string, cohort: number, atMs: number) => [
  sent(name, atMs, cohort),
  atTarget('run-started', name, atMs, homeTarget),
];

const cohortAway = (name: string, cohort: number, atMs: number) => [
  sent(name, atMs, cohort),
  atTarget('run-started', name, atMs, awayTarget),
];

/** One moved cohort with served and refused requests after VMs converged. */
function movedCohort(served: number, refused: number): TraceEvent[] {
  const events: TraceEvent[] = [...cohortAway('first', 1, 0)];
  for (let index = 0; index < served; index += 1) {
    events.push(...cohortAway(`served-${index}`, 1, 3_001));
  }
  for (let index = 0; index < refused; index += 1) {
    const name = `refused-${index}`;
    events.push(sent(name, 3_002));
    events.push(refusedAs(name, 3_002, 'shift-cap-reached', 'not-run'));
  }
  return events;
}

const accepted = (atMs: number, number: number): TraceEvent => ({
  kind: 'configuration-accepted',
  atMs,
  generation: generation(number),
});

const inForce = (atMs: number, number: number): TraceEvent => ({
  kind: 'configuration-in-force',
  atMs,
  vm,
  generation: generation(number),
});

const abortedByStop: TraceEvent = {
  kind: 'request-cut',
  atMs: 9,
  vm,
  request: requestId('a'),
  cause: 'stop',
};

const leavingAnnounced: TraceEvent = {
  kind: 'leaving-signed',
  atMs: 0,
  target: homeTarget,
};

const crashedTarget = (target: number): TraceEvent => ({
  kind: 'target-lost',
  atMs: target,
  target: targetId(`booking-ledger-${target}`),
  fingerprint: 'poison',
});

const sentMany: readonly TraceEvent[] = Array.from({length: 100}, (_, index) =>
  sent(`many-${index}`, 0),
);

/** A trace that violates the check and a nearly identical one that passes. */
const cases: readonly {
  readonly check: CheckName;
  readonly name: string;
  readonly broken: readonly TraceEvent[];
  readonly kept: readonly TraceEvent[];
}[] = [
  {
    check: 'overload',
    name: 'a second request enters a target of one slot',
    broken: [
      atTarget('target-entered', 'a', 1),
      atTarget('target-entered', 'b', 2),
      atTarget('target-left', 'a', 3),
    ],
    kept: [
      atTarget('target-entered', 'a', 1),
      atTarget('target-left', 'a', 2),
      atTarget('target-entered', 'b', 2),
    ],
  },
  {
    check: 'shift-cap',
    name: 'two cohorts move within an interval that allows one',
    broken: [
      ...cohortAtHome('a', 1, 10),
      ...cohortAtHome('b', 2, 11),
      ...cohortAway('c', 1, 12),
      ...cohortAway('d', 2, 1_009),
    ],
    kept: [
      ...cohortAtHome('a', 1, 10),
      ...cohortAtHome('b', 2, 11),
      ...cohortAway('c', 1, 12),
      ...cohortAway('d', 2, 1_012),
    ],
  },
  {
    check: 'shift-cap',
    name: 'three cohorts have moved when two intervals have begun',
    broken: [
      ...cohortAway('a', 1, 0),
      ...cohortAway('b', 2, 500),
      ...cohortAway('c', 3, 999),
    ],
    kept: [
      ...cohortAway('a', 1, 0),
      ...cohortAway('b', 2, 500),
      ...cohortAway('c', 3, 1_001),
    ],
  },
  {
    check: 'shift-progress',
    name: 'three of fifty requests of moved cohorts are refused under the cap',
    broken: movedCohort(47, 3),
    kept: movedCohort(48, 2),
  },
  {
    check: 'link-budget',
    name: 'traffic exceeds the usable rate of a link',
    broken: [
      {
        kind: 'link-rate',
        atMs: 1,
        from: kurzeme,
        to: riga,
        bitsPerSecond: 2.1e9,
      },
    ],
    kept: [
      {kind: 'link-rate', atMs: 1, from: kurzeme, to: riga, bitsPerSecond: 2e9},
    ],
  },
  {
    check: 'truthful-refusal',
    name: 'a request that ran is refused as not run',
    broken: [
      sent('a', 0),
      atTarget('run-started', 'a', 1),
      refusedAs('a', 2, 'target-failed', 'not-run'),
    ],
    kept: [
      sent('a', 0),
      atTarget('run-started', 'a', 1),
      refusedAs('a', 2, 'target-failed', 'unknown'),
    ],
  },
  {
    check: 'truthful-refusal',
    name: 'a resend of a deposit that ran is refused as not run',
    broken: [
      sent('a', 0),
      atTarget('run-started', 'a', 1),
      sent('b', 2),
      refusedAs('b', 3, 'region-full', 'not-run'),
    ],
    kept: [
      sent('a', 0),
      sent('b', 2),
      refusedAs('b', 3, 'region-full', 'not-run'),
      atTarget('run-started', 'a', 4),
    ],
  },
  {
    check: 'at-most-once',
    name: 'a resend of a deposit runs again',
    broken: [
      sent('a', 0),
      sent('b', 1),
      atTarget('run-started', 'a', 2),
      atTarget('run-started', 'b', 3),
    ],
    kept: [sent('a', 0), sent('b', 1), atTarget('run-started', 'a', 2)],
  },
  {
    check: 'own-whole-answer',
    name: 'a caller receives the response to another request',
    broken: [answered('a', 'b')],
    kept: [answered('a', 'a')],
  },
  {
    check: 'own-whole-answer',
    name: 'a truncated response is accepted as complete',
    broken: [answered('a', 'a', false)],
    kept: [answered('a', 'a')],
  },
  {
    check: 'leaving-target',
    name: 'an attempt is sent 3,001 ms after the target started leaving',
    broken: [leavingAnnounced, attempt('a', 3_001)],
    kept: [leavingAnnounced, attempt('a', 3_000)],
  },
  {
    check: 'graceful-stop',
    name: 'a planned stop aborts an in-flight request',
    broken: [abortedByStop],
    kept: [{...abortedByStop, cause: 'crash'} as TraceEvent],
  },
  {
    check: 'configuration',
    name: 'a VM returns to an earlier generation',
    broken: [inForce(1, 2), inForce(2, 1)],
    kept: [inForce(1, 1), inForce(2, 2)],
  },
  {
    check: 'configuration',
    name: 'a VM still runs the earlier generation after the bound',
    broken: [inForce(0, 1), accepted(1, 2), inForce(11_002, 2)],
    kept: [inForce(0, 1), accepted(1, 2), inForce(11_001, 2)],
  },
  {
    check: 'crashing-request',
    name: 'one request crashes a fourth target',
    broken: [
      crashedTarget(1),
      crashedTarget(2),
      crashedTarget(3),
      crashedTarget(4),
    ],
    kept: [crashedTarget(1), crashedTarget(2), crashedTarget(3)],
  },
  {
    check: 'amplification',
    name: '111 attempts are sent for 100 requests',
    broken: [
      ...sentMany,
      ...Array.from({length: 111}, () => attempt('many-1', 0)),
    ],
    kept: [
      ...sentMany,
      ...Array.from({length: 110}, () => attempt('many-1', 0)),
    ],
  },
];

describe('each check', () => {
  for (const {check, name, broken, kept} of cases) {
    it(`${check} fails when ${name}`, () => {
      assert.notEqual(CHECKS[check]({setup, events: broken}).length, 0);
    });

    it(`${check} passes a trace that differs only in that`, () => {
      assert.deepEqual(CHECKS[check]({setup, events: kept}), []);
    });
  }

  it('has a case in this file', () => {
    const covered = new Set(cases.map(one => one.check));
    assert.deepEqual(new Set(Object.keys(CHECKS)), covered);
  });
});

describe('checkTrace', () => {
  it('returns the violations of all checks', () => {
    const found = checkTrace({
      setup,
      events: [abortedByStop, answered('a', 'b')],
    });
    const checks = found.map(violation => violation.check).sort();
    assert.deepEqual(checks, ['graceful-stop', 'own-whole-answer']);
  });
});
