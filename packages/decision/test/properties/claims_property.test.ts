import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  type Claims,
  type ClaimsAction,
  type ClaimsOptions,
  type ClaimsEvent,
  createClaims,
} from '../../src/index.js';
import {checkClaims} from './claims_property.js';

const SEED = 20_261_203;
const SCHEDULES = 2_000;
const MUTANT_SCHEDULES = 4_000;

test('in 2,000 schedules no key runs twice and no decision is wrong', () => {
  const run = checkClaims(SEED, SCHEDULES);
  assert.equal(run.failed, false, run.report);
  const reached = ['run', 'replay', 'in-progress', 'outcome-unknown'];
  for (const kind of [...reached, 'key-reused', 'unavailable']) {
    const count = run.reached.get(kind) ?? 0;
    assert.ok(count > SCHEDULES / 20, `${kind} was reached ${count} times`);
  }
});

/** Creates state machines that receive each event after `change`. */
function mutate(change: (event: ClaimsEvent) => ClaimsEvent) {
  return (options: ClaimsOptions): Claims => {
    const claims = createClaims(options);
    return {
      ...claims,
      step: (event, time) => claims.step(change(event), time),
    };
  };
}

test('the schedules detect a state machine that skips the read-back', () => {
  const run = checkClaims(
    SEED,
    MUTANT_SCHEDULES,
    mutate(event =>
      event.kind === 'store-answered' && event.result.kind === 'lost-answer'
        ? {...event, result: {kind: 'written', version: 0}}
        : event,
    ),
  );
  assert.match(run.report, /ran 2 times/);
});

test('the schedules detect a state machine that sends before the claim', () => {
  const run = checkClaims(SEED, MUTANT_SCHEDULES, options => {
    const claims = createClaims(options);
    const alreadySent = new Set<number>();
    return {
      ...claims,
      step: (event, time) => {
        const actions = claims.step(event, time);
        if (event.kind === 'begin' && asksStore(actions)) {
          const {correlationId, request} = event;
          alreadySent.add(correlationId);
          const decision = {kind: 'run', token: request.request} as const;
          return [...actions, {kind: 'decide', correlationId, decision}];
        }
        return actions.filter(
          action =>
            action.kind !== 'decide' || !alreadySent.has(action.correlationId),
        );
      },
    };
  });
  assert.match(run.report, /ran 2 times/);
});

function asksStore(actions: readonly ClaimsAction[]): boolean {
  return actions.some(({kind}) => kind === 'call-store');
}

test('the schedules detect a state machine that treats a failed create as a claim', () => {
  const run = checkClaims(
    SEED,
    MUTANT_SCHEDULES,
    mutate(event =>
      event.kind === 'store-answered' && event.result.kind === 'unavailable'
        ? {...event, result: {kind: 'written', version: 0}}
        : event,
    ),
  );
  assert.match(run.report, /ran 2 times/);
});
