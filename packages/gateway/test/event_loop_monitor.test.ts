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
});
