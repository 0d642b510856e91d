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

function liveVms(vm: TestVm): number {
  let live = 0;
  for (const {state} of vm.view()?.vms.values() ?? []) {
    live += state === 'live' ? 1 : 0;
  }
  return live;
}

async function startAll(fleet: Fleet): Promise<readonly TestVm[]> {
  const vms = [
    await fleet.start(0),
    await fleet.start(1),
    await fleet.start(2),
  ];
  await fleet.until('views', () => vms.every(vm => liveVms(vm) === 3));
  return vms;
}

test('a stopped VM is suspect, then gone by the list, then live when replaced', () =>
  withFleet(async fleet => {
    const [first, second, third] = await startAll(fleet);
    const stateOfThird = () => first!.view()?.vms.get(third!.entryVm.id)?.state;
    await third!.stop();
    await fleet.until('suspect', () => stateOfThird() === 'suspect');
    fleet.platform.removeVm(third!.entryVm.id);
    await fleet.until('gone', () => stateOfThird() === 'gone');
    const replaced = await fleet.start(2, 2, [0]);
    await fleet.until('live', () => stateOfThird() === 'live');
    await fleet.until('a view of its own', () => liveVms(replaced) === 3);
    await fleet.until('the view of the other', () => liveVms(second!) === 3);
  }));

test('a membership task that fails comes back with a view', () =>
  withFleet(async fleet => {
    const [first] = await startAll(fleet);
    const before = first!.view();
    first!.kernel.post('membership', {
      kind: 'view',
      reply: () => {
        throw new Error('made to fail');
      },
    });
    await fleet.until('another view', () => first!.view() !== before);
    await fleet.until('a whole view', () => liveVms(first!) === 3);
  }));

test('a configuration task that fails never takes a lower generation', () =>
  withFleet(async fleet => {
    const [first] = await startAll(fleet);
    const count = () =>
      first!.events().filter(({kind}) => kind === 'configuration-in-force')
        .length;
    const before = count();
    first!.kernel.post('configuration', {
      kind: 'status',
      reply: () => {
        throw new Error('made to fail');
      },
    });
    await fleet.until('in force again', () => count() > before);
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
      const asked = request(`http://${first.entryVm.peerAddress}/`, {
        headers: {
          authorization: `Bearer ${token}`,
          connection: 'Upgrade',
          upgrade: 'websocket',
          'sec-websocket-key': 'dGhlIHNhbXBsZSBub25jZQ==',
          'sec-websocket-version': '13',
        },
      });
      asked.on('response', response => {
        response.resume();
        resolve(response.statusCode);
      });
      asked.on('upgrade', (_response, socket) => {
        socket.destroy();
        resolve(101);
      });
      asked.on('error', reject);
      asked.end();
    });
    assert.equal(status, 401);
  }));
