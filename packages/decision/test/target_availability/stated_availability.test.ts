import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import {
  MAXIMUM_PAUSE_MS,
  RESUME_SPAN_MS,
  type RegisteredTarget,
  type StatedAvailability,
  createStatedAvailability,
  poolAvailability,
} from '../../src/index.js';

const SLOTS = 4;
const PAUSE_MS = 3_000;

function createTarget(incarnation: string): RegisteredTarget {
  return {
    entry: {
      id: incarnation,
      service: 'rooms',
      host: '10.0.0.1',
      port: 80,
      zone: 'riga-a',
      slots: SLOTS,
      draining: false,
      coldRemainingMs: 0,
      startedAtWallMs: 1,
    },
    incarnation,
    region: 'riga',
    coldUntilMs: 0,
  };
}

function startVms(count: number): readonly StatedAvailability[] {
  const names = Array.from({length: count}, (_, index) => `edge-${index}`);
  return names.map(name => {
    const vm = createStatedAvailability(name);
    vm.setVms(names.filter(other => other !== name));
    return vm;
  });
}

/** Sends as many requests as are allowed; returns how many that were. */
function sendAll(
  stated: StatedAvailability,
  incarnation: string,
  nowMs: number,
): number {
  let sent = 0;
  while (sent < 1_000 && stated.allows(incarnation, nowMs)) {
    stated.recordSent(incarnation, nowMs);
    sent += 1;
  }
  return sent;
}

describe('what targets say of themselves', () => {
  const one = createTarget('one');
  const two = createTarget('two');
  let stated: StatedAvailability;

  beforeEach(() => {
    stated = createStatedAvailability('edge-0');
  });

  describe('that they are leaving', () => {
    it('takes out this incarnation for good', () => {
      assert.ok(stated.recordLeaving('one', 0));
      assert.ok(!stated.recordLeaving('one', 1));
      stated.recordServed('one', 2);
      assert.equal(stated.availability('one', 1e9), 'leaving');
      assert.equal(stated.availability('two', 0), 'open');
    });

    it('is remembered while it is listed, and for ten minutes more', () => {
      stated.recordLeaving('one', 0);
      stated.expire(1e9, () => true);
      stated.expire(1e9 + 600_000, () => false);
      assert.ok(stated.isLeaving('one'));
      stated.expire(1e9 + 600_001, () => false);
      assert.ok(!stated.isLeaving('one'));
    });

    it('is told to other VMs once, and to those that connect later', () => {
      stated.recordLeaving('one', 0);
      stated.recordListedLeaving('two', 0);
      assert.deepEqual(stated.takeNews(5), [{incarnation: 'one', ageMs: 5}]);
      assert.deepEqual(stated.takeNews(6), []);
      assert.deepEqual(stated.reports(7), [{incarnation: 'one', ageMs: 7}]);
    });

    it('only discourages a VM that hears of it from another', () => {
      assert.ok(stated.recordReport({incarnation: 'one', ageMs: 10}, 100));
      assert.ok(!stated.recordReport({incarnation: 'one', ageMs: 10}, 100));
      assert.equal(stated.availability('one', 100), 'discouraged');
      assert.ok(stated.allows('one', 100));
      assert.deepEqual(stated.reports(100), []);
    });

    it('is no longer believed of others once the target serves, or after 30 s', () => {
      stated.recordReport({incarnation: 'one', ageMs: 0}, 0);
      stated.recordReport({incarnation: 'two', ageMs: 0}, 0);
      stated.recordServed('one', 10);
      assert.equal(stated.availability('one', 10), 'open');
      assert.equal(stated.availability('two', 29_999), 'discouraged');
      assert.equal(stated.availability('two', 30_000), 'open');
    });
  });

  describe('that they want no requests for a while', () => {
    it('holds for exactly that time', () => {
      assert.deepEqual(stated.recordPause(one, PAUSE_MS, 0), {
        pauseMs: PAUSE_MS,
      });
      assert.equal(stated.availability('one', PAUSE_MS - 1), 'pausing');
      assert.ok(!stated.allows('one', PAUSE_MS - 1));
      assert.equal(stated.availability('one', PAUSE_MS), 'resuming');
      assert.ok(stated.allows('one', PAUSE_MS));
    });

    it('is not shortened by an answer that states an earlier end', () => {
      stated.recordPause(one, PAUSE_MS, 0);
      assert.equal(stated.recordPause(one, 100, 10), undefined);
      assert.equal(stated.pauseLeftMs('one', 10), PAUSE_MS - 10);
      assert.deepEqual(stated.recordPause(one, PAUSE_MS, 1_000), {
        pauseMs: PAUSE_MS,
      });
      assert.equal(stated.pauseLeftMs('one', 1_000), PAUSE_MS);
    });

    it('has an upper bound', () => {
      stated.recordPause(one, Infinity, 0);
      assert.equal(stated.pauseLeftMs('one', 0), MAXIMUM_PAUSE_MS);
    });

    it('is ignored if the time is no duration', () => {
      for (const pauseMs of [0, -1, NaN]) {
        assert.equal(stated.recordPause(one, pauseMs, 0), undefined);
        assert.equal(stated.availability('one', 0), 'open');
      }
    });

    // Guards against a whole queue that meets a target at the end of its pause.
    it('is followed by one request, then more with each answer', () => {
      stated.recordPause(one, PAUSE_MS, 0);
      assert.equal(sendAll(stated, 'one', PAUSE_MS), 1);
      stated.recordServed('one', PAUSE_MS + 1);
      assert.equal(sendAll(stated, 'one', PAUSE_MS + 1), 2);
      stated.recordServed('one', PAUSE_MS + 2);
      stated.recordServed('one', PAUSE_MS + 2);
      assert.equal(sendAll(stated, 'one', PAUSE_MS + 2), 4);
    });

    it('is followed by more requests with time, and then by all', () => {
      stated.recordPause(one, PAUSE_MS, 0);
      sendAll(stated, 'one', PAUSE_MS);
      assert.equal(sendAll(stated, 'one', PAUSE_MS + 100), 1);
      const endsMs = PAUSE_MS + RESUME_SPAN_MS;
      assert.equal(stated.availability('one', endsMs), 'open');
      assert.deepEqual(
        stated.expire(endsMs, () => true),
        ['one'],
      );
    });

    // Guards against a stampede of VMs whose pauses end together.
    it('ends at few VMs at once if there are many', () => {
      let first = 0;
      let within500Ms = 0;
      for (const vm of startVms(40)) {
        vm.recordPause(one, PAUSE_MS, 0);
        first += sendAll(vm, 'one', PAUSE_MS);
        within500Ms += sendAll(vm, 'one', PAUSE_MS + 500);
      }
      assert.equal(first, SLOTS);
      assert.ok(within500Ms > SLOTS, `${within500Ms} within 500 ms`);
    });

    it('ends on time at every VM if there are no more than slots', () => {
      for (const vm of startVms(SLOTS)) {
        vm.recordPause(one, PAUSE_MS, 0);
        assert.ok(vm.allows('one', PAUSE_MS));
      }
    });
  });

  describe('makes a pool', () => {
    it('open while one target takes requests', () => {
      stated.recordLeaving('one', 0);
      assert.deepEqual(poolAvailability(stated, [one, two], 0), {kind: 'open'});
      assert.deepEqual(poolAvailability(stated, [], 0), {kind: 'open'});
    });

    it('pausing until the first target is back', () => {
      stated.recordPause(one, PAUSE_MS, 0);
      stated.recordPause(two, 2 * PAUSE_MS, 0);
      assert.deepEqual(poolAvailability(stated, [one, two], 1_000), {
        kind: 'pausing',
        leftMs: PAUSE_MS - 1_000,
      });
      assert.deepEqual(poolAvailability(stated, [one, two], PAUSE_MS), {
        kind: 'resuming',
      });
    });

    it('leaving if no target stays', () => {
      stated.recordLeaving('one', 0);
      stated.recordListedLeaving('two', 0);
      assert.deepEqual(poolAvailability(stated, [one, two], 0), {
        kind: 'leaving',
      });
    });
  });
});
