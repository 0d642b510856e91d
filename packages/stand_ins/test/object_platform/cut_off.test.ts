import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {
  type FleetTarget,
  type LinkFault,
  type LocalGateway,
  type Partition,
  findRecoverViolation,
} from '../../src/index.js';
import {
  type DirectoryClients,
  startDirectoryClients,
} from './directory_clients.js';
import {
  call,
  countLogLines,
  createConfiguration,
  get,
  isReady,
  startHarness,
  timers,
  type Harness,
  waitUntil,
} from './harness.js';

const CUT_MS = 6_000;
const SLOW_WORK_MS = 100;
const BURST = 16;
/** The VM is out by then. */
const DETECTION_MS = 1_500;
/** The VM is back by then. */
const RETURN_MS = 2_500;
const ZONES = ['riga-a', 'riga-b', 'kurz-a', 'kurz-a'];
const FAULTS: readonly LinkFault[] = ['hang', 'reset', 'refuse-new'];

describe('a VM that is partitioned from all targets', () => {
  let harness: Harness;
  let gateways: readonly LocalGateway[];
  let targets: readonly FleetTarget[];
  let clients: DirectoryClients;

  beforeEach(async () => {
    harness = await startHarness({slots: 8}, 2, {hasTargetLinks: true});
    const added = [...harness.targets];
    for (const [index, zone] of ['riga-b', 'riga-b', 'kurz-a'].entries()) {
      added.push(
        await harness.fleet.addTarget({
          id: `far-${index}`,
          service: 'availability',
          zone,
          slots: 8,
        }),
      );
    }
    targets = added;
    const started = [harness.gateway];
    for (const [index, zone] of ZONES.entries()) {
      started.push(await harness.fleet.addGateway(`edge-${index}`, zone));
    }
    gateways = started;
    for (const gateway of gateways) {
      await waitUntil(() => isReady(gateway));
    }
    clients = startDirectoryClients(gateways, ['riga', 'kurzeme']);
    await timers.sleep(1_000);
  });
  afterEach(async () => {
    await clients.stop();
    await harness.stop();
  });

  async function countReady(vms: readonly LocalGateway[]): Promise<number> {
    const ready = await Promise.all(vms.map(isReady));
    return ready.filter(Boolean).length;
  }

  async function cut(
    vms: readonly LocalGateway[],
    fault: LinkFault,
  ): Promise<Partition> {
    const fromMs = timers.nowMs();
    // More requests at a time need more connections than were open.
    const burst: Promise<unknown>[] = [];
    for (const target of targets) {
      target.setWorkMs(SLOW_WORK_MS);
    }
    for (const vm of vms) {
      vm.targetLinks?.cut(fault);
      for (let index = 0; index < BURST; index += 1) {
        burst.push(call(vm, {key: `burst-${index}`}));
      }
    }
    await timers.sleep(DETECTION_MS);
    const readyThere = await countReady(vms);
    await timers.sleep(CUT_MS - DETECTION_MS);
    const readyElsewhere = await countReady(
      gateways.filter(gateway => !vms.includes(gateway)),
    );
    for (const {targetLinks} of vms) {
      targetLinks?.restore();
    }
    const untilMs = timers.nowMs();
    await Promise.all(burst);
    await timers.sleep(RETURN_MS);
    const partition = {vms: new Set(vms.map(({id}) => id)), fromMs, untilMs};
    assert.deepEqual(
      {
        violation: findRecoverViolation(clients.tries, partition),
        readyThere,
        readyElsewhere,
        returned: await countReady(vms),
        suspectedRequests: countLogLines(harness, /event=crash-suspected/),
      },
      {
        violation: undefined,
        readyThere: 0,
        readyElsewhere: gateways.length - vms.length,
        returned: vms.length,
        suspectedRequests: 0,
      },
    );
    return partition;
  }

  for (const fault of FAULTS) {
    // Guards against VMs that stay in the directory and refuse everything.
    it(`leaves its clients to the others (${fault})`, async () => {
      await cut(gateways.slice(0, 1), fault);
    });

    // Guards against counting on the other VMs of the same zone.
    it(`does so with its whole zone (${fault})`, async () => {
      const {untilMs} = await cut(gateways.slice(0, 2), fault);
      const after = clients.tries.filter(
        ({sentAtMs}) => sentAtMs > untilMs + 1_000,
      );
      const served = after.filter(({served}) => served).length;
      assert.ok(served >= after.length * 0.95, `${served} of ${after.length}`);
    });
  }
});

describe('a VM that reaches no target', () => {
  let harness: Harness;

  beforeEach(async () => {
    harness = await startHarness({slots: 8}, 3, {hasTargetLinks: true});
  });
  afterEach(() => harness.stop());

  async function addSecond(): Promise<LocalGateway> {
    const second = await harness.fleet.addGateway('edge-2', 'riga-b');
    await waitUntil(() => isReady(second));
    await waitUntil(() => countLogLines(harness, /event=peer-connected/) >= 2);
    return second;
  }

  // Guards against clients that keep their connections to a VM that is cut off.
  it('has requests served by a peer, closes connections, and is back soon', async () => {
    await addSecond();
    const {gateway} = harness;
    gateway.targetLinks?.cut('reset');
    await waitUntil(async () => !(await isReady(gateway)));
    const sentAtMs = timers.nowMs();
    const answer = await call(gateway, {method: 'POST', path: '/book/7'});
    assert.equal(answer.status, 200);
    assert.equal(answer.headers.connection, 'close');
    assert.ok(timers.nowMs() - sentAtMs < 200);
    const path = '/resolve?name=rooms.example&region=riga';
    const {addresses} = JSON.parse(
      (await get(gateway.directory, path)).body,
    ) as {addresses: string[]};
    const own = `${gateway.caller.host}:${gateway.caller.port}`;
    assert.equal(addresses.length, 1);
    assert.ok(!addresses.includes(own));
    gateway.targetLinks?.restore();
    await waitUntil(() => isReady(gateway));
    assert.equal((await call(gateway)).status, 200);
  });

  // Guards against requests that are held until their deadline.
  it('refuses at once what no peer may take, and closes the connection', async () => {
    await addSecond();
    const {gateway} = harness;
    const configuration = createConfiguration(2);
    const routes = configuration['routes'] as readonly object[];
    harness.fleet.configure({
      ...configuration,
      routes: routes.map(route => ({...route, home_regions: ['kurzeme']})),
    });
    await waitUntil(() => countLogLines(harness, /in-force.*version=2 /) === 2);
    gateway.targetLinks?.cut('reset');
    await waitUntil(async () => !(await isReady(gateway)));
    const sentAtMs = timers.nowMs();
    const answer = await call(gateway, {method: 'POST', path: '/book/7'});
    assert.equal(answer.status, 503);
    assert.equal(answer.headers.connection, 'close');
    assert.ok(timers.nowMs() - sentAtMs < 200);
  });

  // Guards against quarantines of requests that ran when the VM was cut.
  it('blames neither targets nor requests for its resets', async () => {
    await addSecond();
    for (const target of harness.targets) {
      target.setWorkMs(300);
    }
    const running: Promise<unknown>[] = [];
    for (let index = 0; index < 12; index += 1) {
      running.push(call(harness.gateway, {key: `${index}`}));
    }
    await timers.sleep(100);
    harness.gateway.targetLinks?.cut('reset');
    for (let index = 0; index < 12; index += 1) {
      running.push(call(harness.gateway, {key: `${index}`}));
    }
    await Promise.all(running);
    await waitUntil(async () => !(await isReady(harness.gateway)));
    await timers.sleep(2_500);
    assert.equal(countLogLines(harness, /event=crash-suspected/), 0);
  });

  // Guards against a fleet that steps out because its targets are down.
  it('stays ready while the others reach none either', async () => {
    const second = await addSecond();
    for (const {targetLinks} of [harness.gateway, second]) {
      targetLinks?.cut('reset');
    }
    const endsAtMs = timers.nowMs() + 4_000;
    while (timers.nowMs() < endsAtMs) {
      assert.ok(await isReady(harness.gateway));
      assert.ok(await isReady(second));
      await timers.sleep(50);
    }
    assert.equal(countLogLines(harness, /to=cut-off/), 0);
  });

  it('stays ready alone', async () => {
    harness.gateway.targetLinks?.cut('hang');
    const endsAtMs = timers.nowMs() + 2_500;
    while (timers.nowMs() < endsAtMs) {
      assert.ok(await isReady(harness.gateway));
      await timers.sleep(50);
    }
  });

  // Guards against clients of a VM that starts during its partition.
  it('is not ready when it starts', async () => {
    const started = await harness.fleet.addGateway('edge-2', 'riga-b', {
      fault: 'hang',
    });
    await timers.sleep(3_000);
    assert.equal(await isReady(started), false);
    started.targetLinks?.restore();
    await waitUntil(() => isReady(started));
  });
});
