import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type ColdSender, createColdStartLimiter} from '../../src/index.js';

const PER_SECOND = 19;
const TARGET = {incarnation: 'target', region: 'riga'};
/** 1.5 times the rate and 5 more: what a cold target stands in a second. */
const BOUND = PER_SECOND * 1.5 + 5;

/** Most requests that VMs with these views send to one cold target in 1 s. */
function mostInOneSecond(
  views: ReadonlyMap<ColdSender, readonly ColdSender[]>,
) {
  const sentAtMs: number[] = [];
  const vms = [...views].map(([self, view]) => {
    const allowance = createColdStartLimiter(self);
    allowance.setVms(view);
    return allowance;
  });
  for (let nowMs = 0; nowMs < 4_000; nowMs += 5) {
    for (const vm of vms) {
      if (vm.allows(TARGET, PER_SECOND, nowMs)) {
        vm.sent(TARGET, PER_SECOND, nowMs);
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
  const vms: readonly ColdSender[] = Array.from(
    {length: 32},
    (_unused, index) => ({
      id: `vm-${index}`,
      region: index < 2 ? 'riga' : 'kurzeme',
    }),
  );

  it('stay below its bound from a whole fleet, and come', () => {
    const most = mostInOneSecond(new Map(vms.map(vm => [vm, vms])));
    assert.ok(most <= BOUND, `${most} in a second`);
    assert.ok(most >= 3);
  });

  it('stay below it when the fleet is cut in two', () => {
    const views = new Map(
      vms.map((vm, index) => [
        vm,
        vms.filter((_other, other) => other % 2 === index % 2),
      ]),
    );
    const most = mostInOneSecond(views);
    assert.ok(most <= BOUND, `${most} in a second`);
  });

  it('may come from the VMs near it, whatever the hash', () => {
    for (let number = 0; number < 50; number += 1) {
      const target = {incarnation: `target-${number}`, region: 'riga'};
      for (const vm of vms.slice(0, 2)) {
        const allowance = createColdStartLimiter(vm);
        allowance.setVms(vms);
        assert.ok(allowance.allows(target, PER_SECOND, 0));
      }
    }
  });
});
