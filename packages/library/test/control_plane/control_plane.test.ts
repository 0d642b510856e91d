import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  type ControlFleet,
  type ControlNode,
  createControlFleet,
} from '../fixtures/control_fleet.js';

const IN_FORCE_BOUND_MS = 11_000;
const BYTES_PER_SECOND_BOUND = 3_000;
const LIMIT_MS = 60_000;
/** Reads that the platform takes, and the part that control may use. */
const PLATFORM_READS_PER_SECOND = 2_000;
const CONTROL_FRACTION = 0.05;
const DESIGN_REGIONS = 30;

function settled(vmCount: number, regionCount: number): ControlFleet {
  const fleet = createControlFleet({vmCount, regionCount, seed: 7});
  const bootMs = fleet.advanceUntil(node => node.generation === 1, LIMIT_MS);
  assert.ok(bootMs !== undefined, 'the fleet did not start');
  // Links that were opened only to start from are closed by then.
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

function stateOf(node: ControlNode, of: ControlNode): string | undefined {
  return node.view?.vms.get(of.vm)?.state;
}

for (const [vmCount, regionCount] of [
  [7, 3],
  [70, 6],
] as const) {
  test(`a change is in force on ${vmCount} VMs within the bound, a region cut from the store`, () => {
    const fleet = settled(vmCount, regionCount);
    const cut = fleet.nodes[0]!.region;
    for (const node of fleet.nodes) {
      node.storeUnreachable = node.region === cut;
    }
    fleet.queue.advance(5_000);
    const next = fleet.publish(20_000);
    const tookMs = fleet.advanceUntil(n => n.generation === next, LIMIT_MS);
    assert.ok(tookMs !== undefined && tookMs <= IN_FORCE_BOUND_MS);
    fleet.queue.advance(60_000);
    assert.ok(fleet.nodes.every(node => node.freshnessCause === 'current'));
  });

  test(`each of ${vmCount} VMs stays under its bytes, at rest and when a region returns`, () => {
    const fleet = settled(vmCount, regionCount);
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
      perSecond <= BYTES_PER_SECOND_BOUND,
      `${node.vm} sent ${perSecond} bytes a second`,
    );
  }
}

test('calls to the store grow with the regions and fit the platform at design size', () => {
  const small = callsPerSecond(settled(7, 3), 120);
  const large = callsPerSecond(settled(70, 6), 120);
  const perRegion = (large - small) / 3;
  const atDesignSize = small + perRegion * (DESIGN_REGIONS - 3);
  assert.ok(small <= PLATFORM_READS_PER_SECOND * CONTROL_FRACTION);
  assert.ok(
    atDesignSize <= PLATFORM_READS_PER_SECOND * CONTROL_FRACTION,
    `${atDesignSize} calls a second`,
  );
});

test('a store that comes back after a long outage is not flooded', () => {
  const fleet = settled(70, 6);
  fleet.setStoreDown(true);
  // Every backoff has reached its longest well before this.
  fleet.queue.advance(480_000);
  assert.ok(fleet.nodes.every(node => node.fresh));
  assert.ok(fleet.nodes.every(n => n.freshnessCause === 'store-away'));
  fleet.setStoreDown(false);
  const calls = callsPerSecond(fleet, 10);
  const slope = calls / fleet.nodes.length;
  assert.ok(slope * 1_100 <= PLATFORM_READS_PER_SECOND * CONTROL_FRACTION);
  fleet.queue.advance(60_000);
  assert.ok(fleet.nodes.every(n => n.freshnessCause === 'current'));
});

test('a lost VM is suspect everywhere within seconds, and live again when replaced', () => {
  const fleet = settled(70, 6);
  const lost = fleet.nodes[10]!;
  fleet.kill(lost);
  const lostMs = fleet.advanceUntil(
    n => stateOf(n, lost) === 'suspect',
    LIMIT_MS,
  );
  assert.ok(lostMs !== undefined && lostMs <= 10_000);
  fleet.queue.advance(90_000);
  const watchers = fleet.nodes.filter(node => node.running);
  assert.ok(watchers.every(n => stateOf(n, lost) === 'gone'));
  fleet.restart(lost);
  const backMs = fleet.advanceUntil(n => stateOf(n, lost) === 'live', LIMIT_MS);
  assert.ok(backMs !== undefined && backMs <= 10_000);
});

test('a replaced VM has a configuration within seconds while the store is away', () => {
  const fleet = settled(7, 3);
  fleet.setStoreDown(true);
  const replaced = fleet.nodes[3]!;
  fleet.kill(replaced);
  fleet.queue.advance(10_000);
  fleet.restart(replaced);
  const tookMs = fleet.advanceUntil(node => node.generation === 1, LIMIT_MS);
  assert.ok(tookMs !== undefined && tookMs <= 5_000);
});

test('a VM that hears neither peers nor the store takes no new work', () => {
  const fleet = settled(7, 3);
  // Alone in its region, so that the cut leaves it without any peer.
  const alone = fleet.nodes[1]!;
  for (const node of fleet.nodes) {
    if (node.region === alone.region && node !== alone) {
      fleet.kill(node);
    }
  }
  alone.storeUnreachable = true;
  fleet.setRegionPartitioned(alone.region, true);
  fleet.queue.advance(60_000);
  assert.equal(alone.freshnessCause, 'cut-off');
  assert.equal(alone.fresh, false);
  fleet.setRegionPartitioned(alone.region, false);
  fleet.queue.advance(30_000);
  assert.equal(alone.fresh, true);
});
