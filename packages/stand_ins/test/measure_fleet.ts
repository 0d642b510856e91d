/**
 * Measures publication, VM replacement and claim latency of a fleet over
 * loopback sockets: `node packages/stand_ins/dist/test/measure_fleet.js`.
 * Network delay between machines is not included.
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
const HEARTBEAT_INTERVAL_MS = 1_000;
// Peer links open within two heartbeats once the configuration is in force.
const LINK_OPENING_MS = 3_000;
const PUBLICATION_COUNT = 20;
const REPLACEMENT_COUNT = 5;
const CLAIM_COUNT = 300;

function printTimes(label: string, timesMs: readonly number[]): void {
  const sorted = [...timesMs].sort((one, other) => one - other);
  const median = sorted[Math.floor(sorted.length / 2)]!.toFixed(1);
  const highest = sorted.at(-1)!.toFixed(1);
  process.stdout.write(
    `${label}: median ${median} ms, highest ${highest} ms\n`,
  );
}

async function measurePublication(
  fleet: Fleet,
  vms: readonly TestVm[],
): Promise<void> {
  const timesMs: number[] = [];
  for (let round = 0; round < PUBLICATION_COUNT; round += 1) {
    const section: Section = {
      kind: 'client-blocks',
      shard: '9',
      blocks: {[regionName('riga')]: `10.0.${round}.0/24`},
    };
    const startMs = fleet.timers.nowMs();
    const generation = await fleet.publish(
      `round ${round}`,
      new Map([['client-blocks/9', section]]),
    );
    await fleet.waitUntil('in force', () =>
      vms.every(vm => vm.configuration()?.generation === generation),
    );
    timesMs.push(fleet.timers.nowMs() - startMs);
  }
  printTimes('publication until in force on 7 VMs', timesMs);
}

async function measureReplacement(fleet: Fleet): Promise<void> {
  const timesMs: number[] = [];
  for (let round = 0; round < REPLACEMENT_COUNT; round += 1) {
    const startMs = fleet.timers.nowMs();
    const vm = await fleet.start(VM_COUNT - 1, round + 2, [0, 1]);
    await fleet.waitUntil('a configuration', () => !!vm.configuration());
    timesMs.push(fleet.timers.nowMs() - startMs);
    await vm.stop();
  }
  printTimes(
    'start of a replaced VM until a configuration is in force',
    timesMs,
  );
}

async function beginClaim(vm: TestVm, key: string): Promise<void> {
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
    throw new Error(`claim not granted: expected run, got ${decision?.kind}`);
  }
}

async function measureClaims(
  fleet: Fleet,
  vms: readonly TestVm[],
): Promise<void> {
  const mintTicket = (vm: TestVm) =>
    vm.kernel.ask<'claims', string>('claims', reply => ({
      kind: 'mint-ticket',
      reply,
    }));
  const callerKeyMs: number[] = [];
  const localTicketMs: number[] = [];
  const remoteTicketMs: number[] = [];
  for (let index = 0; index < CLAIM_COUNT; index += 1) {
    callerKeyMs.push(
      await measureMs(fleet, beginClaim(vms[0]!, `own-${index}`)),
    );
    const ticket = (await mintTicket(vms[0]!))!;
    localTicketMs.push(await measureMs(fleet, beginClaim(vms[0]!, ticket)));
    const remoteTicket = (await mintTicket(vms[1]!))!;
    remoteTicketMs.push(
      await measureMs(fleet, beginClaim(vms[0]!, remoteTicket)),
    );
  }
  printTimes('claim on a key of the caller, store in memory', callerKeyMs);
  printTimes('claim on a ticket at its VM', localTicketMs);
  printTimes('claim on a ticket of another VM', remoteTicketMs);
}

async function measureMs(fleet: Fleet, work: Promise<void>): Promise<number> {
  const startMs = fleet.timers.nowMs();
  await work;
  return fleet.timers.nowMs() - startMs;
}

const fleet = await createFleet({
  count: VM_COUNT,
  heartbeatIntervalMs: HEARTBEAT_INTERVAL_MS,
  suspectAfterMs: 4_000,
  staleAfterMs: 30_000,
});
await fleet.publish('first', fleet.document);
const vms: TestVm[] = [];
for (let index = 0; index < VM_COUNT; index += 1) {
  vms.push(await fleet.start(index, 1, [0, 1]));
}
await fleet.waitUntil('in force', () => vms.every(vm => !!vm.configuration()));
await fleet.timers.sleep(LINK_OPENING_MS);
await measurePublication(fleet, vms);
await measureClaims(fleet, vms);
await vms[VM_COUNT - 1]!.stop();
await measureReplacement(fleet);
await fleet.stop();
