import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type SharingVm, createColdStartLimiter} from '../../src/index.js';

const REQUESTS_PER_SECOND = 19;
const TARGET = {incarnation: 'target', region: 'riga'};
/** Requests per second that a cold target tolerates: 1.5 times its rate + 5. */
const MAXIMUM_REQUESTS_PER_SECOND = REQUESTS_PER_SECOND * 1.5 + 5;

/**
 * Largest number of requests in any second that VMs with these views of the
 * fleet send to a cold target.
 */
function maximumRequestsPerSecond(
  views: ReadonlyMap<SharingVm, readonly SharingVm[]>,
) {
  const sentAtMs: number[] = [];
  const vms = [...views].map(([self, view]) => {
    const limiter = createColdStartLimiter(self);
    limiter.setVms(view);
    return limiter;
  });
  for (let nowMs = 0; nowMs < 4_000; nowMs += 5) {
    for (const vm of vms) {
      if (vm.allows(TARGET, REQUESTS_PER_SECOND, nowMs)) {
        vm.takeToken(TARGET, REQUESTS_PER_SECOND, nowMs);
        sentAtMs.push(nowMs);
      }
    }
  }
  let most = 0;
  for (const fromMs of sentAtMs) {
    const inside = sentAtMs.filter(
      atMs => atMs >= fromMs && atMs < fromMs + 1_000,
    );
    most = Math.max(most, inside.length);
  }
  return most;
}

describe('requests to a cold target', () => {
  const vms: readonly SharingVm[] = Array.from(
    {length: 32},
    (_unused, index) => ({
      id: `vm-${index}`,
      region: index < 2 ? 'riga' : 'kurzeme',
    }),
  );

  it('from a whole fleet are sent, but stay below the bound', () => {
    const most = maximumRequestsPerSecond(new Map(vms.map(vm => [vm, vms])));
    assert.ok(most <= MAXIMUM_REQUESTS_PER_SECOND, `${most} in a second`);
    assert.ok(most >= 3);
  });

  it('stay below the bound during a partition of the fleet', () => {
    const views = new Map(
      vms.map((vm, index) => [
        vm,
        vms.filter((_other, other) => other % 2 === index % 2),
      ]),
    );
    const most = maximumRequestsPerSecond(views);
    assert.ok(most <= MAXIMUM_REQUESTS_PER_SECOND, `${most} in a second`);
  });

  it('may come from every VM of its region, whatever the hash', () => {
    for (let number = 0; number < 50; number += 1) {
      const target = {incarnation: `target-${number}`, region: 'riga'};
      for (const vm of vms.slice(0, 2)) {
        const limiter = createColdStartLimiter(vm);
        limiter.setVms(vms);
        assert.ok(limiter.allows(target, REQUESTS_PER_SECOND, 0));
      }
    }
  });
});
