import assert from 'node:assert/strict';
import {connect, createServer} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {
  type Harness,
  HOST,
  call,
  createConfiguration,
  get,
  isReady,
  startHarness,
  timers,
  waitUntil,
} from './harness.js';

function listenerCount(): number {
  const resources = process.getActiveResourcesInfo();
  return resources.filter(name => name === 'TCPServerWrap').length;
}

describe('a fleet on the users’ platform', () => {
  let harness: Harness;

  beforeEach(async () => {
    harness = await startHarness();
  });
  afterEach(() => harness.stop());

  async function resolveAddresses(
    directory: {readonly host: string; readonly port: number},
    region = 'riga',
  ): Promise<readonly string[]> {
    const path = `/resolve?name=${HOST}&region=${region}&zone=riga-a`;
    const answer = await get(directory, path);
    if (answer.status !== 200) {
      return [];
    }
    const decoded = JSON.parse(answer.body) as {addresses: string[]};
    return decoded.addresses;
  }

  it('holds no port of a gateway that could not start', async () => {
    const {
      self: {ip},
      network: {
        internal_ports: [peerPort],
      },
    } = JSON.parse(harness.gateway.settingsText) as {
      self: {ip: string};
      network: {internal_ports: readonly number[]};
    };
    const [networkPrefix, hostNumber] = [
      ip.slice(0, ip.lastIndexOf('.')),
      Number(ip.slice(ip.lastIndexOf('.') + 1)),
    ];
    const occupier = createServer();
    await new Promise<void>(resolve => {
      occupier.listen(peerPort, `${networkPrefix}.${hostNumber + 1}`, resolve);
    });
    const listenersBefore = listenerCount();
    await assert.rejects(harness.fleet.addGateway('edge-2', 'riga-b'));
    await waitUntil(() => listenerCount() === listenersBefore);
    await new Promise(resolve => occupier.close(resolve));
  });

  it('sends a draining target nothing new', async () => {
    const [leaving] = harness.targets;
    assert.ok(leaving);
    harness.fleet.store.put(
      'servers',
      leaving.id,
      leaving.entry({state: 'draining'}),
    );
    await waitUntil(() =>
      harness.logLines.some(line => line.includes('event=target-draining')),
    );
    const runsBefore = leaving.runs.length;
    for (let index = 0; index < 10; index += 1) {
      await call(harness.gateway, {key: String(index)});
    }
    assert.equal(leaving.runs.length, runsBefore);
  });

  it('has nothing run by another target at an address that is used again', async () => {
    const {store} = harness.fleet;
    for (const target of harness.targets) {
      store.put('servers', `former-${target.id}`, target.entry());
      store.put('servers', target.id, target.entry({state: 'draining'}));
    }
    await waitUntil(() => {
      const lines = harness.logLines.filter(line =>
        line.includes('event=target-draining'),
      );
      return lines.length === harness.targets.length;
    });
    const answer = await call(harness.gateway, {attemptId: 'former'});
    assert.equal(answer.status, 503);
    assert.equal(harness.targets.flatMap(target => target.runs).length, 0);
  });

  it('sends nothing into an evacuated zone, and refuses when none is left', async () => {
    harness.fleet.store.put('evacuations', 'riga-a', {});
    await waitUntil(() =>
      harness.logLines.some(line => line.includes('event=evacuations-changed')),
    );
    const answer = await call(harness.gateway);
    assert.equal(answer.status, 503);
    assert.ok(Number(answer.headers['retry-after']) > 0);
  });

  it('lets malformed entries name no target and keeps the others', async () => {
    harness.fleet.store.put('servers', 'forged-1', {service: 7});
    harness.fleet.store.put('servers', 'forged-2', 'not an object');
    harness.fleet.store.put('servers', 'forged-3', {
      ...harness.targets[0]?.entry(),
      state: 'resting',
    });
    await waitUntil(
      () =>
        harness.logLines.filter(line => line.includes('target-entry-refused'))
          .length === 3,
    );
    assert.equal((await call(harness.gateway)).status, 200);
  });

  it('keeps a configuration when an older one comes', async () => {
    harness.fleet.configure(createConfiguration(9));
    await waitUntil(() =>
      harness.logLines.some(line => /in-force.*version=9/.test(line)),
    );
    harness.fleet.configure(createConfiguration(8, {routes: []}));
    await waitUntil(() =>
      harness.logLines.some(line => line.includes('configuration-rejected')),
    );
    assert.equal((await call(harness.gateway)).status, 200);
  });

  it('takes changes up after the store has forgotten its history', async () => {
    harness.fleet.store.compact();
    harness.fleet.configure(createConfiguration(20));
    await waitUntil(() =>
      harness.logLines.some(line => /in-force.*version=20/.test(line)),
    );
  });

  it('serves on and starts another VM while the store is away', async () => {
    harness.fleet.store.setFault({kind: 'silent'});
    const second = await harness.fleet.addGateway('edge-riga-b-1', 'riga-b');
    await waitUntil(() => isReady(second));
    assert.equal((await call(second)).status, 200);
    assert.equal((await call(harness.gateway)).status, 200);
  });

  // Guards against targets that had left and are in use again at a VM that has
  // restarted and cannot ask the store.
  it('uses no target that had left after a restart while the store is away', async () => {
    const [leaving] = harness.targets;
    assert.ok(leaving);
    const second = await harness.fleet.addGateway('edge-riga-b-1', 'riga-b');
    await waitUntil(() => isReady(second));
    const draining = leaving.entry({state: 'draining'});
    harness.fleet.store.put('servers', leaving.id, draining);
    await waitUntil(() => {
      const lines = harness.logLines.filter(line =>
        line.includes('event=target-draining'),
      );
      return lines.length === 2;
    });
    harness.fleet.store.setFault({kind: 'silent'});
    await second.terminate();
    const restarted = await harness.fleet.addGateway('edge-riga-b-1', 'riga-b');
    await waitUntil(() => isReady(restarted));
    const runsBefore = leaving.runs.length;
    for (let index = 0; index < 20; index += 1) {
      const answer = await call(restarted, {key: String(index)});
      assert.equal(answer.status, 200);
    }
    assert.equal(leaving.runs.length, runsBefore);
  });

  // Guards against a VM that starts later and lets the request crash more.
  it('refuses at a new VM what has crashed two targets before its start', async () => {
    const {store} = harness.fleet;
    for (const target of harness.targets) {
      target.plan('silent');
    }
    const pending = call(harness.gateway, {path: '/rooms/crash'});
    for (const count of [1, 2]) {
      await waitUntil(() => crashed().length === count);
      const target = crashed().find(({id}) =>
        store.names('servers').includes(id),
      );
      assert.ok(target);
      await target.close();
      store.remove('servers', target.id);
    }
    await pending;
    await waitUntil(
      () =>
        harness.logLines.filter(line => line.includes('crash-suspected'))
          .length === 2,
    );
    const spare = await harness.fleet.addTarget({
      id: 'i-spare',
      service: 'availability',
      zone: 'riga-a',
      slots: 4,
    });
    const second = await harness.fleet.addGateway('edge-riga-b-1', 'riga-b');
    await waitUntil(() => isReady(second));
    await waitUntil(
      () =>
        harness.logLines.filter(line => line.includes('from=peer')).length ===
        2,
    );
    const answer = await call(second, {path: '/rooms/crash'});
    assert.equal(answer.status, 503);
    assert.equal(spare.runs.length, 0);

    function crashed() {
      return harness.targets.filter(({runs}) => runs.length > 0);
    }
  });

  it('names only VMs that live', async () => {
    const second = await harness.fleet.addGateway('edge-riga-b-1', 'riga-b');
    const {directory} = harness.gateway;
    await waitUntil(
      async () => (await resolveAddresses(directory)).length === 2,
    );
    await second.terminate();
    await waitUntil(
      async () => (await resolveAddresses(directory)).length === 1,
    );
    const [remaining] = await resolveAddresses(directory);
    assert.equal(
      remaining,
      `${harness.gateway.caller.host}:${harness.gateway.caller.port}`,
    );
  });

  it('leaves the directory at once on a planned stop and finishes its work', async () => {
    const second = await harness.fleet.addGateway('edge-riga-b-1', 'riga-b');
    const {directory} = harness.gateway;
    await waitUntil(
      async () => (await resolveAddresses(directory)).length === 2,
    );
    for (const target of harness.targets) {
      target.setWorkMs(700);
    }
    const pending = call(second, {deadlineMs: 1_200});
    await waitUntil(() =>
      harness.targets.some(target => target.runs.length > 0),
    );
    const stopped = second.gateway.stop();
    // Less than the time in which missing heartbeats would be noticed.
    await timers.sleep(150);
    assert.equal((await resolveAddresses(directory)).length, 1);
    assert.equal(await isReady(second), false);
    const answer = await pending;
    assert.equal(answer.status, 200);
    assert.equal(answer.headers['connection'], 'close');
    await stopped;
  });

  it('waits in a planned stop for work that lasts beyond its notice', async () => {
    for (const target of harness.targets) {
      target.setWorkMs(950);
    }
    const stopped = harness.gateway.gateway.stop();
    await timers.sleep(2_050);
    const answer = await call(harness.gateway, {key: '7'});
    assert.equal(answer.status, 200);
    await stopped;
  });

  it('changes nothing when it is told to stop once more', async () => {
    for (const other of harness.targets) {
      other.setWorkMs(800);
    }
    const pending = call(harness.gateway, {key: '7'});
    const first = harness.gateway.gateway.stop();
    await timers.sleep(300);
    const again = harness.gateway.gateway.stop();
    assert.equal((await pending).status, 200);
    await Promise.all([first, again]);
    const stopEvents = harness.logLines.filter(line =>
      line.includes('event=vm-stopping'),
    );
    assert.equal(stopEvents.length, 2);
    assert.match(stopEvents[1] ?? '', /repeated=true/);
    const stoppedEvents = harness.logLines.filter(line =>
      line.includes('event=vm-stopped'),
    );
    assert.equal(stoppedEvents.length, 1);
  });

  it('answers a first request late in a planned stop, and reads none after', async () => {
    const {host, port} = harness.gateway.caller;
    const stopped = harness.gateway.gateway.stop();
    await timers.sleep(2_000);
    const late = connect(port, host);
    const unused = connect(port, host);
    unused.on('error', () => {});
    await timers.sleep(300);
    const answered = new Promise<string>(resolve => {
      late.once('data', data => resolve(data.toString('utf8')));
      late.once('close', () => resolve('closed'));
    });
    late.write(createFirstRequest('late'));
    assert.match(await answered, /^HTTP\/1\.1 200/);
    await stopped;
    unused.write(createFirstRequest('after'));
    await timers.sleep(200);
    const runs = harness.targets.flatMap(target => target.runs);
    assert.deepEqual(
      runs.map(run => run.attemptId),
      ['late'],
    );
  });

  it('passes changes on from the VMs that watch', async () => {
    for (const [index, zone] of ['riga-b', 'kurz-a', 'riga-a'].entries()) {
      const gateway = await harness.fleet.addGateway(`edge-${index}`, zone);
      await waitUntil(() => isReady(gateway));
    }
    await timers.sleep(1_500);
    const callsBefore = harness.fleet.store.callCount();
    await timers.sleep(2_000);
    const calls = harness.fleet.store.callCount() - callsBefore;
    // Two watching VMs poll three kinds once a second; 6 calls are tolerance.
    assert.ok(calls <= 2 * 3 * 2 + 6, `${calls} calls in 2 s`);
    harness.fleet.configure(createConfiguration(30));
    await waitUntil(
      () =>
        harness.logLines.filter(line => /in-force.*version=30/.test(line))
          .length === 4,
    );
  });
});

function createFirstRequest(attemptId: string): string {
  const lines = [
    'GET /rooms/1 HTTP/1.1',
    `Host: ${HOST}`,
    `X-Ibisbeam-Attempt-Id: ${attemptId}`,
  ];
  return `${lines.join('\r\n')}\r\n\r\n`;
}
