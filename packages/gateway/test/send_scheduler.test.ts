import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSendScheduler} from '../src/forwarding/send_scheduler.js';
import {createTurns} from './fixtures/turns.js';

describe('send scheduler', () => {
  it('sends only after the sockets have been read once more', () => {
    const turns = createTurns();
    const scheduler = createSendScheduler(turns.timers);
    const sent: string[] = [];
    scheduler.schedule(() => sent.push('first'));
    turns.endTurn();
    assert.equal(sent.length, 0);
    scheduler.schedule(() => sent.push('second'));
    turns.endTurn();
    assert.deepEqual(sent, ['first']);
    turns.endTurn();
    assert.deepEqual(sent, ['first', 'second']);
    assert.equal(scheduler.length(), 0);
    assert.ok(turns.isIdle());
  });

  it('runs what a send schedules within that send', () => {
    const turns = createTurns();
    const scheduler = createSendScheduler(turns.timers);
    const sent: string[] = [];
    scheduler.schedule(() => {
      scheduler.schedule(() => sent.push('attempt'));
      sent.push('request');
    });
    turns.endTurn();
    turns.endTurn();
    assert.deepEqual(sent, ['attempt', 'request']);
  });

  // Guards against turns that last so long under load that disconnects stay
  // unread.
  it('reads the sockets between slow sends, and keeps their order', () => {
    const turns = createTurns();
    const scheduler = createSendScheduler(turns.timers);
    const sent: number[] = [];
    for (const index of [0, 1, 2, 3, 4]) {
      scheduler.schedule(() => {
        turns.spend(6);
        sent.push(index);
      });
    }
    turns.endTurn();
    turns.endTurn();
    assert.deepEqual(sent, [0, 1]);
    turns.endTurn();
    assert.deepEqual(sent, [0, 1, 2, 3]);
    turns.endTurn();
    assert.deepEqual(sent, [0, 1, 2, 3, 4]);
    assert.ok(turns.isIdle());
  });

  it('goes on after a send that throws', () => {
    const turns = createTurns();
    const scheduler = createSendScheduler(turns.timers);
    const sent: string[] = [];
    scheduler.schedule(() => {
      throw new Error('defect');
    });
    scheduler.schedule(() => sent.push('next'));
    turns.endTurn();
    assert.throws(() => turns.endTurn(), /defect/);
    turns.endTurn();
    assert.deepEqual(sent, ['next']);
  });
});
