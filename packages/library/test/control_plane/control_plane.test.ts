import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  type ControlFleet,
  type ControlNode,
  createControlFleet,
} from '../fixtures/control_fleet.js';

const IN_FORCE_BOUND_MS = 11_000;
const MAXIMUM_BYTES_PER_SECOND = 3_000;
const SIMULATION_LIMIT_MS = 60_000;
/** Read rate that the platform's store accepts. */
const PLATFORM_READS_PER_SECOND = 2_000;
/** Part of that rate that the control plane may use. */
const CONTROL_PLANE_FRACTION = 0.05;
const DESIGN_REGION_COUNT = 30;
const DESIGN_VM_COUNT = 1_100;

function startSettledFleet(vmCount: number, regionCount: number): ControlFleet {
  const fleet = createControlFleet({vmCount, regionCount, seed: 7});
  const bootMs = fleet.advanceUntil(
    node => node.generation === 1,
    SIMULATION_LIMIT_MS,
  );
  assert.ok(bootMs !== undefined, 'the fleet did not start');
  // By then the links that were opened only for the start are closed.
  fleet.queue.advance(45_000);
  return fleet;
}

function callsPerSecond(fleet: ControlFleet, seconds: number): number {
  fleet.resetCounts();
  fleet.queue.advance(seconds * 1_000);
  let calls = 0;
  for (const node of fleet.nodes) {
    for (const count of node.storeCalls.values()) {
      calls += count;
    }
  }
  return calls / seconds;
}

function stateOf(
  observer: ControlNode,
  subject: ControlNode,
): string | undefined {
  return observer.view?.vms.get(subject.vm)?.state;
}

for (const [vmCount, regionCount] of [
  [7, 3],
  [70, 6],
] as const) {
  test(`a change is in force on ${vmCount} VMs within the bound while a region cannot reach the store`, () => {
    const fleet = startSettledFleet(vmCount, regionCount);
    const cut = fleet.nodes[0]!.region;
    for (const node of fleet.nodes) {
      node.storeUnreachable = node.region === cut;
    }
    fleet.queue.advance(5_000);
    const next = fleet.publish(20_000);
    const elapsedMs = fleet.advanceUntil(
      n => n.generation === next,
      SIMULATION_LIMIT_MS,
    );
    assert.ok(elapsedMs !== undefined && elapsedMs <= IN_FORCE_BOUND_MS);
    fleet.queue.advance(60_000);
    assert.ok(fleet.nodes.every(node => node.freshnessCause === 'current'));
  });

  test(`each of ${vmCount} VMs stays under its byte rate limit, idle and after a cut-off region reconnects`, () => {
    const fleet = startSettledFleet(vmCount, regionCount);
    fleet.resetCounts();
    fleet.queue.advance(10_000);
    assertBytes(fleet, 10);
    const cut = fleet.nodes[0]!.region;
    fleet.setRegionPartitioned(cut, true);
    fleet.queue.advance(120_000);
    assert.ok(fleet.nodes.every(n => (n.view?.silentRegions.size ?? 0) > 0));
    fleet.resetCounts();
    fleet.setRegionPartitioned(cut, false);
    fleet.queue.advance(10_000);
    assertBytes(fleet, 10);
    fleet.queue.advance(20_000);
    assert.ok(fleet.nodes.every(n => n.view?.silentRegions.size === 0));
  });
}

function assertBytes(fleet: ControlFleet, seconds: number): void {
  for (const node of fleet.nodes) {
    const perSecond = node.bytes / seconds;
    assert.ok(
      perSecond <= MAXIMUM_BYTES_PER_SECOND,
      `${node.vm} sent ${perSecond} bytes/s, more than ${MAXIMUM_BYTES_PER_SECOND}`,
    );
  }
}

test('store calls grow with the number of regions and fit the platform at design size', () => {
  const small = callsPerSecond(startSettledFleet(7, 3), 120);
  const large = callsPerSecond(startSettledFleet(70, 6), 120);
  const perRegion = (large - small) / 3;
  const atDesignSize = small + perRegion * (DESIGN_REGION_COUNT - 3);
  assert.ok(small <= PLATFORM_READS_PER_SECOND * CONTROL_PLANE_FRACTION);
  assert.ok(
    atDesignSize <= PLATFORM_READS_PER_SECOND * CONTROL_PLANE_FRACTION,
    `${atDesignSize} store calls/s at design size`,
  );
});

test('a store that recovers from a long outage is not overloaded', () => {
  const fleet = startSettledFleet(70, 6);
  fleet.setStoreDown(true);
  // Long enough for every backoff to reach its maximum.
  fleet.queue.advance(480_000);
  assert.ok(fleet.nodes.every(node => node.fresh));
  assert.ok(fleet.nodes.every(n => n.freshnessCause === 'store-away'));
  fleet.setStoreDown(false);
  const calls = callsPerSecond(fleet, 10);
  const callsPerSecondPerVm = calls / fleet.nodes.length;
  assert.ok(
    callsPerSecondPerVm * DESIGN_VM_COUNT <=
      PLATFORM_READS_PER_SECOND * CONTROL_PLANE_FRACTION,
  );
  fleet.queue.advance(60_000);
  assert.ok(fleet.nodes.every(n => n.freshnessCause === 'current'));
});

test('a lost VM is suspect on all VMs within 10 s and live again within 10 s of its replacement', () => {
  const fleet = startSettledFleet(70, 6);
  const lost = fleet.nodes[10]!;
  fleet.kill(lost);
  const suspectAfterMs = fleet.advanceUntil(
    n => stateOf(n, lost) === 'suspect',
    SIMULATION_LIMIT_MS,
  );
  assert.ok(suspectAfterMs !== undefined && suspectAfterMs <= 10_000);
  fleet.queue.advance(90_000);
  const runningNodes = fleet.nodes.filter(node => node.running);
  assert.ok(runningNodes.every(n => stateOf(n, lost) === 'gone'));
  fleet.restart(lost);
  const liveAfterMs = fleet.advanceUntil(
    n => stateOf(n, lost) === 'live',
    SIMULATION_LIMIT_MS,
  );
  assert.ok(liveAfterMs !== undefined && liveAfterMs <= 10_000);
});

test('a replaced VM has a configuration within 5 s while the store is unavailable', () => {
  const fleet = startSettledFleet(7, 3);
  fleet.setStoreDown(true);
  const replaced = fleet.nodes[3]!;
  fleet.kill(replaced);
  fleet.queue.advance(10_000);
  fleet.restart(replaced);
  const elapsedMs = fleet.advanceUntil(
    node => node.generation === 1,
    SIMULATION_LIMIT_MS,
  );
  assert.ok(elapsedMs !== undefined && elapsedMs <= 5_000);
});

test('a VM cut off from its peers and the store takes no new work until it reconnects', () => {
  const fleet = startSettledFleet(7, 3);
  // The only VM left in its region, so that the cut leaves it without peers.
  const isolated = fleet.nodes[1]!;
  for (const node of fleet.nodes) {
    if (node.region === isolated.region && node !== isolated) {
      fleet.kill(node);
    }
  }
  isolated.storeUnreachable = true;
  fleet.setRegionPartitioned(isolated.region, true);
  fleet.queue.advance(60_000);
  // A VM takes new work only while its configuration counts as fresh.
  assert.equal(isolated.freshnessCause, 'cut-off');
  assert.equal(isolated.fresh, false);
  fleet.setRegionPartitioned(isolated.region, false);
  fleet.queue.advance(30_000);
  assert.equal(isolated.fresh, true);
});
