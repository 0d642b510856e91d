/**
 * Prints what the control plane costs at growing counts, in virtual time:
 * `node packages/library/dist/test/control_plane/measure.js 7 70 300 1100`.
 */
import {
  type ControlNode,
  createControlFleet,
} from '../fixtures/control_fleet.js';

const SETTLE_MS = 30_000;
const MEASURE_MS = 30_000;
const LIMIT_MS = 120_000;
const REGIONS_BY_COUNT: Readonly<Record<number, number>> = {
  7: 3,
  70: 6,
  300: 15,
  1100: 30,
};

function spread(nodes: readonly ControlNode[], of: (n: ControlNode) => number) {
  const values = nodes.map(of).sort((one, other) => one - other);
  const sum = values.reduce((total, value) => total + value, 0);
  const mean = Math.round(sum / values.length);
  return `mean ${mean} max ${Math.round(values.at(-1) ?? 0)}`;
}

function show(what: string, value: unknown): void {
  process.stdout.write(`  ${what}: ${String(value)}\n`);
}

function measure(vmCount: number): void {
  const regionCount = REGIONS_BY_COUNT[vmCount] ?? Math.ceil(vmCount / 37);
  const fleet = createControlFleet({vmCount, regionCount, seed: 1});
  const {nodes, queue} = fleet;
  const seconds = MEASURE_MS / 1_000;
  process.stdout.write(`${vmCount} VMs, ${regionCount} regions\n`);
  show(
    'boot until all in force, ms',
    fleet.advanceUntil(n => n.generation === 1, LIMIT_MS),
  );
  queue.advance(SETTLE_MS);
  fleet.resetCounts();
  queue.advance(MEASURE_MS);
  show(
    'sent bytes/s',
    spread(nodes, n => n.bytes / seconds),
  );
  show(
    'messages/s',
    spread(nodes, n => n.messages / seconds),
  );
  show(
    'links',
    spread(nodes, n => n.links.size),
  );
  const calls = new Map<string, number>();
  for (const node of nodes) {
    for (const [purpose, count] of node.storeCalls) {
      calls.set(purpose, (calls.get(purpose) ?? 0) + count / seconds);
    }
  }
  for (const [purpose, rate] of calls) {
    show(`store calls/s of the fleet, ${purpose}`, rate.toFixed(2));
  }
  const second = fleet.publish(20_000);
  show(
    'change in force everywhere, ms',
    fleet.advanceUntil(n => n.generation === second, LIMIT_MS),
  );
  const cut = nodes.at(-1)!.region;
  for (const node of nodes) {
    node.storeUnreachable = node.region === cut;
  }
  queue.advance(5_000);
  const third = fleet.publish(20_000);
  show(
    'same, one region cut from the store, ms',
    fleet.advanceUntil(n => n.generation === third, LIMIT_MS),
  );
  for (const node of nodes) {
    node.storeUnreachable = false;
  }
  const victim = nodes[Math.floor(vmCount / 2)]!;
  fleet.kill(victim);
  show(
    'lost VM suspect in its region, ms',
    fleet.advanceUntil(
      n =>
        n.region !== victim.region ||
        n.view?.vms.get(victim.vm)?.state !== 'live',
      LIMIT_MS,
    ),
  );
  show(
    'lost VM suspect everywhere, ms',
    fleet.advanceUntil(
      n => n.view?.vms.get(victim.vm)?.state !== 'live',
      LIMIT_MS,
    ),
  );
  fleet.restart(victim);
  show(
    'replaced VM in force, ms',
    fleet.advanceUntil(n => n.generation === third, LIMIT_MS),
  );
  show(
    'replaced VM live everywhere, ms',
    fleet.advanceUntil(
      n => n.view?.vms.get(victim.vm)?.state === 'live',
      LIMIT_MS,
    ),
  );
  fleet.setRegionPartitioned(cut, true);
  show(
    'cut region silent everywhere, ms',
    fleet.advanceUntil(
      n => n.region === cut || n.view?.silentRegions.has(cut) === true,
      LIMIT_MS,
    ),
  );
  queue.advance(180_000);
  fleet.resetCounts();
  fleet.setRegionPartitioned(cut, false);
  const back = fleet.advanceUntil(
    n => n.view?.silentRegions.size === 0,
    LIMIT_MS,
  );
  show('region back, no region silent, ms', back);
  show(
    'sent bytes/s meanwhile',
    spread(nodes, n => n.bytes / ((back ?? 1) / 1_000)),
  );
  fleet.resetCounts();
  queue.advance(10_000);
  show(
    'sent bytes/s in the next 10 s',
    spread(nodes, n => n.bytes / 10),
  );
  const wrong = nodes.filter(n =>
    [...(n.view?.vms.values() ?? [])].some(vm => vm.state !== 'live'),
  );
  show('nodes with somebody not live at the end', wrong.length);
}

for (const count of process.argv.slice(2).map(Number)) {
  measure(count);
}
