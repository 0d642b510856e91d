import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createManualTimerService} from '@ibisbeam/library';
import {startEventLoopMonitor} from '../src/core/event_loop_monitor.js';

describe('event loop monitor', () => {
  function start() {
    const timers = createManualTimerService();
    const delays: number[] = [];
    const logged: unknown[] = [];
    const handle = startEventLoopMonitor({
      timers,
      log: {log: (_level, event, fields) => logged.push({event, ...fields})},
      recordDelay: delayMs => delays.push(delayMs),
    });
    return {timers, delays, logged, handle};
  }

  it('records no delay while timers run when they are due', async () => {
    const {timers, delays, logged} = start();
    await timers.advance(200);
    assert.deepEqual(delays, [0, 0, 0, 0]);
    assert.deepEqual(logged, []);
  });

  it('records and logs how long the process was busy', async () => {
    const {timers, delays, logged, handle} = start();
    timers.advanceWithoutTimers(650);
    await timers.advance(0);
    assert.deepEqual(delays, [600]);
    assert.deepEqual(logged, [{event: 'event-loop-delayed', delayMs: 600}]);
    handle.cancel();
    assert.equal(timers.pendingCount(), 0);
  });

  // Guards against pauses of the machine that leave no trace in the log, since
  // the monotonic clock stands still meanwhile.
  it('logs how far the time of day has moved on by itself', async () => {
    const {timers, delays, logged} = start();
    timers.advanceWallClock(6_000);
    await timers.advance(50);
    timers.advanceWallClock(-2_000);
    await timers.advance(50);
    assert.deepEqual(delays, [0, 0]);
    assert.deepEqual(logged, [
      {event: 'clocks-diverged', byMs: 6_000},
      {event: 'clocks-diverged', byMs: -2_000},
    ]);
  });
});
