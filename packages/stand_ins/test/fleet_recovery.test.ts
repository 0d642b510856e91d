import assert from 'node:assert/strict';
import {request} from 'node:http';
import {test} from 'node:test';
import {teamName} from '@ibisbeam/decision';
import {type Fleet, type TestVm, createFleet} from './fixtures/fleet.js';

async function withFleet(run: (fleet: Fleet) => Promise<void>): Promise<void> {
  const fleet = await createFleet({count: 3});
  try {
    await fleet.publish('first', fleet.document);
    await run(fleet);
  } finally {
    await fleet.stop();
  }
}

function liveVmCount(vm: TestVm): number {
  let live = 0;
  for (const {state} of vm.view()?.vms.values() ?? []) {
    live += state === 'live' ? 1 : 0;
  }
  return live;
}

async function startVms(fleet: Fleet): Promise<readonly TestVm[]> {
  const vms = [
    await fleet.start(0),
    await fleet.start(1),
    await fleet.start(2),
  ];
  await fleet.waitUntil('all VMs live in every view', () =>
    vms.every(vm => liveVmCount(vm) === 3),
  );
  return vms;
}

test('a stopped VM is suspect, then gone by the list, then live when replaced', () =>
  withFleet(async fleet => {
    const [first, second, third] = await startVms(fleet);
    const thirdVmState = () => first!.view()?.vms.get(third!.entryVm.id)?.state;
    await third!.stop();
    await fleet.waitUntil('suspect', () => thirdVmState() === 'suspect');
    fleet.platform.removeVm(third!.entryVm.id);
    await fleet.waitUntil('gone', () => thirdVmState() === 'gone');
    const replacement = await fleet.start(2, 2, [0]);
    await fleet.waitUntil('live', () => thirdVmState() === 'live');
    await fleet.waitUntil(
      'all VMs live in the view of the replacement',
      () => liveVmCount(replacement) === 3,
    );
    await fleet.waitUntil(
      'all VMs live in the view of the other VM',
      () => liveVmCount(second!) === 3,
    );
  }));

test('a membership task that fails comes back with a view', () =>
  withFleet(async fleet => {
    const [first] = await startVms(fleet);
    const previousView = first!.view();
    first!.kernel.post('membership', {
      kind: 'view',
      reply: () => {
        throw new Error('failure injected by the test');
      },
    });
    await fleet.waitUntil(
      'a new membership view',
      () => first!.view() !== previousView,
    );
    await fleet.waitUntil(
      'all VMs live in the new view',
      () => liveVmCount(first!) === 3,
    );
  }));

test('a configuration task that fails never takes a lower generation', () =>
  withFleet(async fleet => {
    const [first] = await startVms(fleet);
    const inForceEventCount = () =>
      first!.events().filter(({kind}) => kind === 'configuration-in-force')
        .length;
    const previousCount = inForceEventCount();
    first!.kernel.post('configuration', {
      kind: 'status',
      reply: () => {
        throw new Error('failure injected by the test');
      },
    });
    await fleet.waitUntil(
      'the configuration in force again',
      () => inForceEventCount() > previousCount,
    );
    assert.equal(first!.configuration()?.generation, 1);
  }));

test('the peer port refuses a token for the caller port', () =>
  withFleet(async fleet => {
    const first = await fleet.start(0);
    const token = await fleet.tokenSigner.sign(
      {kind: 'calling-team', team: teamName('front-desk')},
      'ibisbeam-caller',
      60_000,
    );
    const status = await new Promise<number | undefined>((resolve, reject) => {
      const upgradeRequest = request(`http://${first.entryVm.peerAddress}/`, {
        headers: {
          authorization: `Bearer ${token}`,
          connection: 'Upgrade',
          upgrade: 'websocket',
          'sec-websocket-key': 'dGhlIHNhbXBsZSBub25jZQ==',
          'sec-websocket-version': '13',
        },
      });
      upgradeRequest.on('response', response => {
        response.resume();
        resolve(response.statusCode);
      });
      upgradeRequest.on('upgrade', (_response, socket) => {
        socket.destroy();
        resolve(101);
      });
      upgradeRequest.on('error', reject);
      upgradeRequest.end();
    });
    assert.equal(status, 401);
  }));
