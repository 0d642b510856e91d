import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
  chooseHolders,
  divideSlots,
  targetsOfRegion,
  vmsOfRegion,
} from '../../src/index.js';
import {
  RIGA,
  SERVICE,
  buildConfiguration,
} from '../support/configuration_fixture.js';

const slotCounts = fc.array(fc.integer({min: 1, max: 12}), {
  minLength: 1,
  maxLength: 24,
});

test('divides exactly the slots of each target among the VMs', () => {
  fc.assert(
    fc.property(slotCounts, fc.integer({min: 1, max: 9}), (slots, vmCount) => {
      const configuration = buildConfiguration({
        vms: [vmCount, 1, 1],
        slots: [slots, [1], [1]],
      });
      const targets = targetsOfRegion(configuration, SERVICE, RIGA);
      const vms = vmsOfRegion(configuration, RIGA);
      const shares = divideSlots(targets, vms, 'key', 4);
      for (const target of targets) {
        let sum = 0;
        for (const share of shares.values()) {
          sum += share.get(target.id) ?? 0;
        }
        assert.equal(sum, target.slots);
      }
    }),
  );
});

test('divides slots so that shares differ by at most one', () => {
  const configuration = buildConfiguration({
    vms: [3, 1, 1],
    slots: [[4, 4, 4, 4], [1], [1]],
  });
  const shares = divideSlots(
    targetsOfRegion(configuration, SERVICE, RIGA),
    vmsOfRegion(configuration, RIGA),
    'key',
    4,
  );
  const sums = [...shares.values()].map(share =>
    [...share.values()].reduce((total, slots) => total + slots, 0),
  );
  assert.ok(Math.max(...sums) - Math.min(...sums) <= 1);
});

test('divides a small pool among VMs of both zones', () => {
  const configuration = buildConfiguration({
    vms: [6, 1, 1],
    slots: [[8], [1], [1]],
  });
  const vms = vmsOfRegion(configuration, RIGA);
  const holders = chooseHolders(
    targetsOfRegion(configuration, SERVICE, RIGA),
    vms,
    'key',
    4,
  );
  const zones = vms.filter(vm => holders.includes(vm.id)).map(vm => vm.zone);
  assert.equal(holders.length, 2);
  assert.equal(new Set(zones).size, 2);
});
