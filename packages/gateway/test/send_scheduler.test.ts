import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSendScheduler} from '../src/forwarding/send_scheduler.js';
import {createTurns} from './fixtures/turns.js';

describe('send scheduler', () => {
  function create() {
    const turns = createTurns();
    let hasConnections = false;
    const scheduler = createSendScheduler({
      timers: turns.timers,
      acceptBacklog: {mayHaveMore: () => hasConnections},
    });
    return {
      turns,
      scheduler,
      setConnectionsWaiting: (isWaiting: boolean) => {
        hasConnections = isWaiting;
      },
    };
  }

  it('sends only after the sockets have been read once more', () => {
    const {turns, scheduler} = create();
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
    const {turns, scheduler} = create();
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
    const {turns, scheduler} = create();
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
    const {turns, scheduler} = create();
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

  // Guards against connections that wait to be accepted, with their requests
  // unread, until their clients leave.
  it('lets waiting connections be accepted between sends', () => {
    const {turns, scheduler, setConnectionsWaiting} = create();
    const sent: number[] = [];
    for (const index of [0, 1, 2]) {
      scheduler.schedule(() => {
        turns.spend(10);
        sent.push(index);
      });
    }
    setConnectionsWaiting(true);
    turns.endTurn();
    turns.endTurn();
    assert.deepEqual(sent, [0]);
    for (let turn = 0; turn < 9; turn += 1) {
      turns.spend(1);
      turns.endTurn();
    }
    assert.deepEqual(sent, [0]);
    turns.spend(1);
    turns.endTurn();
    assert.deepEqual(sent, [0, 1]);
    setConnectionsWaiting(false);
    turns.endTurn();
    assert.deepEqual(sent, [0, 1, 2]);
  });
});
