/**
 * Prints the cost of the control plane by number of VMs, in virtual time:
 * `node packages/library/dist/test/control_plane/measure.js 7 70 300 1100`.
 */
import {
  type ControlNode,
  createControlFleet,
} from '../fixtures/control_fleet.js';

const SETTLE_MS = 30_000;
const MEASURE_MS = 30_000;
const SIMULATION_LIMIT_MS = 120_000;
const REGIONS_BY_COUNT: Readonly<Record<number, number>> = {
  7: 3,
  70: 6,
  300: 15,
  1100: 30,
};

function summarize(
  nodes: readonly ControlNode[],
  select: (n: ControlNode) => number,
) {
  const values = nodes.map(select).sort((one, other) => one - other);
  const sum = values.reduce((total, value) => total + value, 0);
  const mean = Math.round(sum / values.length);
  return `mean ${mean} max ${Math.round(values.at(-1) ?? 0)}`;
}

function printResult(label: string, value: unknown): void {
  process.stdout.write(`  ${label}: ${String(value)}\n`);
}

function measure(vmCount: number): void {
  const regionCount = REGIONS_BY_COUNT[vmCount] ?? Math.ceil(vmCount / 37);
  const fleet = createControlFleet({vmCount, regionCount, seed: 1});
  const {nodes, queue} = fleet;
  const seconds = MEASURE_MS / 1_000;
  process.stdout.write(`${vmCount} VMs, ${regionCount} regions\n`);
  printResult(
    'boot until all in force, ms',
    fleet.advanceUntil(n => n.generation === 1, SIMULATION_LIMIT_MS),
  );
  queue.advance(SETTLE_MS);
  fleet.resetCounts();
  queue.advance(MEASURE_MS);
  printResult(
    'sent bytes/s',
    summarize(nodes, n => n.bytes / seconds),
  );
  printResult(
    'messages/s',
    summarize(nodes, n => n.messages / seconds),
  );
  printResult(
    'links',
    summarize(nodes, n => n.links.size),
  );
  const calls = new Map<string, number>();
  for (const node of nodes) {
    for (const [purpose, count] of node.storeCalls) {
      calls.set(purpose, (calls.get(purpose) ?? 0) + count / seconds);
    }
  }
  for (const [purpose, rate] of calls) {
    printResult(`store calls/s of the fleet, ${purpose}`, rate.toFixed(2));
  }
  const second = fleet.publish(20_000);
  printResult(
    'change in force everywhere, ms',
    fleet.advanceUntil(n => n.generation === second, SIMULATION_LIMIT_MS),
  );
  const cut = nodes.at(-1)!.region;
  for (const node of nodes) {
    node.storeUnreachable = node.region === cut;
  }
  queue.advance(5_000);
  const third = fleet.publish(20_000);
  printResult(
    'same, one region cut from the store, ms',
    fleet.advanceUntil(n => n.generation === third, SIMULATION_LIMIT_MS),
  );
  for (const node of nodes) {
    node.storeUnreachable = false;
  }
  const lostVm = nodes[Math.floor(vmCount / 2)]!;
  fleet.kill(lostVm);
  printResult(
    'lost VM suspect in its region, ms',
    fleet.advanceUntil(
      n =>
        n.region !== lostVm.region ||
        n.view?.vms.get(lostVm.vm)?.state !== 'live',
      SIMULATION_LIMIT_MS,
    ),
  );
  printResult(
    'lost VM suspect everywhere, ms',
    fleet.advanceUntil(
      n => n.view?.vms.get(lostVm.vm)?.state !== 'live',
      SIMULATION_LIMIT_MS,
    ),
  );
  fleet.restart(lostVm);
  printResult(
    'replaced VM in force, ms',
    fleet.advanceUntil(n => n.generation === third, SIMULATION_LIMIT_MS),
  );
  printResult(
    'replaced VM live everywhere, ms',
    fleet.advanceUntil(
      n => n.view?.vms.get(lostVm.vm)?.state === 'live',
      SIMULATION_LIMIT_MS,
    ),
  );
  fleet.setRegionPartitioned(cut, true);
  printResult(
    'cut region silent everywhere, ms',
    fleet.advanceUntil(
      n => n.region === cut || n.view?.silentRegions.has(cut) === true,
      SIMULATION_LIMIT_MS,
    ),
  );
  queue.advance(180_000);
  fleet.resetCounts();
  fleet.setRegionPartitioned(cut, false);
  const recoveryMs = fleet.advanceUntil(
    n => n.view?.silentRegions.size === 0,
    SIMULATION_LIMIT_MS,
  );
  printResult('region back, no region silent, ms', recoveryMs);
  printResult(
    'sent bytes/s meanwhile',
    summarize(nodes, n => n.bytes / ((recoveryMs ?? 1) / 1_000)),
  );
  fleet.resetCounts();
  queue.advance(10_000);
  printResult(
    'sent bytes/s in the next 10 s',
    summarize(nodes, n => n.bytes / 10),
  );
  const nodesWithNonLiveVms = nodes.filter(n =>
    [...(n.view?.vms.values() ?? [])].some(vm => vm.state !== 'live'),
  );
  printResult(
    'VMs that do not see every VM as live at the end',
    nodesWithNonLiveVms.length,
  );
}

for (const count of process.argv.slice(2).map(Number)) {
  measure(count);
}
