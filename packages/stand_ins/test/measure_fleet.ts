/**
 * Prints times of a fleet over real sockets on loopback:
 * `node packages/stand_ins/dist/test/measure_fleet.js`. Delays between real
 * machines come on top.
 */
import {
  type ClaimDecision,
  type Section,
  regionName,
  requestId,
  serviceName,
  workspaceName,
} from '@ibisbeam/decision';
import {type Fleet, type TestVm, createFleet} from './fixtures/fleet.js';

const VM_COUNT = 7;
const ROUNDS = 20;
const BOOKINGS = 300;

function show(what: string, values: readonly number[]): void {
  const sorted = [...values].sort((one, other) => one - other);
  const middle = sorted[Math.floor(sorted.length / 2)]!.toFixed(1);
  const worst = sorted.at(-1)!.toFixed(1);
  process.stdout.write(`${what}: median ${middle} ms, highest ${worst} ms\n`);
}

async function rollOut(fleet: Fleet, vms: readonly TestVm[]): Promise<void> {
  const times: number[] = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    const section: Section = {
      kind: 'client-blocks',
      shard: '9',
      blocks: {[regionName('riga')]: `10.0.${round}.0/24`},
    };
    const startMs = fleet.timers.nowMs();
    const next = await fleet.publish(
      `round ${round}`,
      new Map([['client-blocks/9', section]]),
    );
    await fleet.until('in force', () =>
      vms.every(vm => vm.configuration()?.generation === next),
    );
    times.push(fleet.timers.nowMs() - startMs);
  }
  show('publication until in force on 7 VMs', times);
}

async function replace(fleet: Fleet): Promise<void> {
  const times: number[] = [];
  for (let round = 0; round < 5; round += 1) {
    const startMs = fleet.timers.nowMs();
    const vm = await fleet.start(VM_COUNT - 1, round + 2, [0, 1]);
    await fleet.until('a configuration', () => !!vm.configuration());
    times.push(fleet.timers.nowMs() - startMs);
    await vm.stop();
  }
  show('start of a replaced VM until a configuration is in force', times);
}

async function book(vm: TestVm, key: string): Promise<void> {
  const decision = await vm.kernel.ask<'claims', ClaimDecision>(
    'claims',
    reply => ({
      kind: 'begin',
      reply,
      request: {
        key: {
          workspace: workspaceName('daugava-scholars-lodging'),
          service: serviceName('booking-ledger'),
          idempotencyKey: key,
        },
        request: requestId('measured'),
        fingerprint: 'body',
        remainingMs: 10_000,
      },
    }),
  );
  if (decision?.kind !== 'run') {
    throw new Error(`not let run: ${decision?.kind}`);
  }
}

async function claim(fleet: Fleet, vms: readonly TestVm[]): Promise<void> {
  const mint = (vm: TestVm) =>
    vm.kernel.ask<'claims', string>('claims', reply => ({
      kind: 'mint-ticket',
      reply,
    }));
  const own: number[] = [];
  const local: number[] = [];
  const remote: number[] = [];
  for (let index = 0; index < BOOKINGS; index += 1) {
    own.push(await timed(fleet, book(vms[0]!, `own-${index}`)));
    const ticket = (await mint(vms[0]!))!;
    local.push(await timed(fleet, book(vms[0]!, ticket)));
    const other = (await mint(vms[1]!))!;
    remote.push(await timed(fleet, book(vms[0]!, other)));
  }
  show('claim on a key of the caller, store in memory', own);
  show('claim on a ticket at its VM', local);
  show('claim on a ticket of another VM', remote);
}

async function timed(fleet: Fleet, work: Promise<void>): Promise<number> {
  const startMs = fleet.timers.nowMs();
  await work;
  return fleet.timers.nowMs() - startMs;
}

const fleet = await createFleet({
  count: VM_COUNT,
  heartbeatIntervalMs: 1_000,
  suspectAfterMs: 4_000,
  staleAfterMs: 30_000,
});
await fleet.publish('first', fleet.document);
const vms: TestVm[] = [];
for (let index = 0; index < VM_COUNT; index += 1) {
  vms.push(await fleet.start(index, 1, [0, 1]));
}
await fleet.until('in force', () => vms.every(vm => !!vm.configuration()));
// Links between the VMs open within a heartbeat or two of the configuration.
await fleet.timers.sleep(3_000);
await rollOut(fleet, vms);
await claim(fleet, vms);
await vms[VM_COUNT - 1]!.stop();
await replace(fleet);
await fleet.stop();
