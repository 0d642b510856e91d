import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  type FleetRateLimiter,
  type SharingVm,
  createColdStartLimiter,
  createStatedRateLimiter,
  vmsThatShare,
} from '../../src/index.js';

const ZONE_REGIONS = new Map([
  ['riga-a', 'riga'],
  ['riga-b', 'riga'],
  ['kurz-a', 'kurzeme'],
  ['kurz-b', 'kurzeme'],
  ['latg-a', 'latgale'],
  ['latg-b', 'latgale'],
]);
const REGIONS = ['riga', 'kurzeme', 'latgale'];
const TARGET = {incarnation: 'target', region: 'riga'};
const COLD_PER_SECOND = 19;
const STATED_PER_SECOND = 7;

function createFleet(vmCount: number): readonly SharingVm[] {
  return Array.from({length: vmCount}, (_unused, index) => ({
    id: `vm-${index}`,
    region: REGIONS[index % REGIONS.length] ?? 'riga',
  }));
}

interface Phase {
  readonly untilMs: number;
  readonly uptimeMs: number;
  /** VMs that the VM hears from, and those that it heard of at all. */
  readonly heard: (vm: SharingVm) => readonly SharingVm[];
  readonly known: (vm: SharingVm) => readonly SharingVm[];
}

/** Largest number of requests in any span from VMs that always have one. */
function maximumPerSpan(
  vms: readonly SharingVm[],
  phases: readonly Phase[],
  createLimiter: (self: SharingVm) => FleetRateLimiter,
  perSecond: number,
  spanMs: number,
): number {
  const limiters = vms.map(vm => createLimiter(vm));
  const sentAtMs: number[] = [];
  let nowMs = 0;
  for (const phase of phases) {
    for (const [index, self] of vms.entries()) {
      const known = phase.known(self);
      const sharing = vmsThatShare({
        self,
        zoneRegions: ZONE_REGIONS,
        live: phase.heard(self),
        recent: known,
        known,
        uptimeMs: phase.uptimeMs,
      });
      limiters[index]?.setVms(sharing);
    }
    for (; nowMs < phase.untilMs; nowMs += 5) {
      for (const limiter of limiters) {
        if (limiter.allows(TARGET, perSecond, nowMs)) {
          limiter.takeToken(TARGET, perSecond, nowMs);
          sentAtMs.push(nowMs);
        }
      }
    }
  }
  let most = 0;
  for (const fromMs of sentAtMs) {
    const inSpan = sentAtMs.filter(
      atMs => atMs >= fromMs && atMs < fromMs + spanMs,
    );
    most = Math.max(most, inSpan.length);
  }
  return most;
}

describe('VMs that share the bounds of the fleet', () => {
  for (const vmCount of [7, 24, 32]) {
    const vms = createFleet(vmCount);
    const others = (self: SharingVm) => vms.filter(vm => vm !== self);

    function assertBounds(phases: readonly Phase[]): void {
      const cold = maximumPerSpan(
        vms,
        phases,
        createColdStartLimiter,
        COLD_PER_SECOND,
        1_000,
      );
      const coldBound = COLD_PER_SECOND * 1.5 + 5;
      assert.ok(cold <= coldBound, `${cold} to a cold target`);
      const stated = maximumPerSpan(
        vms,
        phases,
        createStatedRateLimiter,
        STATED_PER_SECOND,
        4_000,
      );
      const statedBound = STATED_PER_SECOND * 1.5 * 4 + 5;
      assert.ok(stated <= statedBound, `${stated} at a stated limit`);
    }

    // Guards against VMs that take the whole bound because each is alone.
    it(`keep to them when all ${vmCount} are cut off from each other`, () => {
      assertBounds([
        {untilMs: 2_000, uptimeMs: 60_000, heard: others, known: others},
        {untilMs: 8_000, uptimeMs: 62_000, heard: () => [], known: others},
      ]);
    });

    it(`keep to them when ${vmCount} are cut into two groups`, () => {
      const sameHalf = (self: SharingVm) =>
        others(self).filter(
          vm => vms.indexOf(vm) % 2 === vms.indexOf(self) % 2,
        );
      assertBounds([
        {untilMs: 2_000, uptimeMs: 60_000, heard: others, known: others},
        {untilMs: 8_000, uptimeMs: 62_000, heard: sameHalf, known: others},
      ]);
    });
  }

  // Guards against VMs that start together and each count themselves alone.
  it('keep to them when seven start before they have heard of each other', () => {
    const vms = createFleet(7);
    const others = (self: SharingVm) => vms.filter(vm => vm !== self);
    const most = maximumPerSpan(
      vms,
      [
        {untilMs: 600, uptimeMs: 0, heard: () => [], known: () => []},
        {untilMs: 4_000, uptimeMs: 600, heard: others, known: others},
      ],
      createColdStartLimiter,
      COLD_PER_SECOND,
      1_000,
    );
    assert.ok(most <= COLD_PER_SECOND * 1.5 + 5, `${most} in a second`);
  });

  it('are those alive, when a few of many are gone', () => {
    const [self, ...rest] = createFleet(7);
    assert.ok(self);
    const live = rest.slice(2);
    const sharing = vmsThatShare({
      self,
      zoneRegions: ZONE_REGIONS,
      live,
      recent: rest,
      known: rest,
      uptimeMs: 60_000,
    });
    assert.deepEqual(sharing, live);
  });

  it('is the VM alone in a fleet of one', () => {
    const [self] = createFleet(1);
    assert.ok(self);
    const sharing = vmsThatShare({
      self,
      zoneRegions: ZONE_REGIONS,
      live: [],
      recent: [],
      known: [],
      uptimeMs: 60_000,
    });
    assert.deepEqual(sharing, []);
  });
});
