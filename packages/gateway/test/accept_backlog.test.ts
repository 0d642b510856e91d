import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createAcceptBacklog} from '../src/forwarding/accept_backlog.js';
import {createTurns} from './fixtures/turns.js';

describe('accept backlog', () => {
  function create() {
    const turns = createTurns();
    const spans: number[] = [];
    const logged: unknown[] = [];
    const backlog = createAcceptBacklog({
      timers: turns.timers,
      log: {log: (_level, event, fields) => logged.push({event, ...fields})},
      recordSpan: spanMs => spans.push(spanMs),
    });
    return {turns, spans, logged, backlog};
  }

  it('ends with the first turn that accepts no connection', () => {
    const {turns, spans, logged, backlog} = create();
    backlog.recordAccept();
    turns.endTurn();
    assert.ok(backlog.mayHaveMore());
    turns.endTurn();
    assert.ok(!backlog.mayHaveMore());
    assert.deepEqual(spans, [0]);
    assert.deepEqual(logged, []);
    assert.ok(turns.isIdle());
  });

  it('logs how long every turn found a connection to accept', () => {
    const {turns, spans, logged, backlog} = create();
    for (let turn = 0; turn < 30; turn += 1) {
      backlog.recordAccept();
      turns.spend(5);
      turns.endTurn();
    }
    turns.endTurn();
    assert.deepEqual(spans, [150]);
    assert.deepEqual(logged, [
      {event: 'accept-backlog', count: 30, tookMs: 150},
    ]);
  });
});
