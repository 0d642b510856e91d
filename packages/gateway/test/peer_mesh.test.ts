import assert from 'node:assert/strict';
import {
  type AddressInfo,
  type Server,
  type Socket,
  connect,
  createServer,
} from 'node:net';
import {afterEach, describe, it} from 'node:test';
import {
  createKeyValueLogger,
  createSystemTimerService,
} from '@ibisbeam/library';
import type {VmRecord} from '../src/peers/messages.js';
import {type PeerMesh, createPeerMesh} from '../src/peers/peer_mesh.js';

const timers = createSystemTimerService();
/** A link is ended after 1.5 s of silence; this is twice that. */
const OBSERVED_MS = 3_200;
const HEARTBEAT_MS = 200;
/** One way between two regions. */
const WAY_MS = 20;

interface Vm {
  readonly record: VmRecord;
  readonly mesh: PeerMesh;
  links: number;
}

describe('two VMs that dial each other at the same moment', () => {
  const running: Vm[] = [];
  const far: Server[] = [];

  afterEach(() => {
    for (const {mesh} of running.splice(0)) {
      mesh.close();
    }
    for (const server of far.splice(0)) {
      server.close();
    }
  });

  function startVm(id: string, host: string, port: number): Vm {
    const record: VmRecord = {
      id,
      startedWallMs: 1,
      host,
      callerAddress: `${host}:1`,
      zone: 'riga-a',
      region: 'riga',
    };
    const mesh = createPeerMesh({
      self: record,
      listen: {host, port},
      seeds: [],
      timers,
      log: createKeyValueLogger({level: 'error', fields: {}, write: () => {}}),
      onPeerConnected: () => {
        vm.links += 1;
      },
      onMessage: () => {},
    });
    const vm: Vm = {record, mesh, links: 0};
    running.push(vm);
    return vm;
  }

  it('keep one and the same link', async () => {
    const port = await freePort();
    const network = `127.${1 + ((process.pid >> 8) % 250)}.${process.pid % 256}`;
    const one = startVm('edge-1', `${network}.1`, port);
    const other = startVm('edge-2', `${network}.2`, port);
    for (const [index, {record}] of [one, other].entries()) {
      far.push(
        await startFarWay(`${network}.${11 + index}`, record.host, port),
      );
    }
    await Promise.all([one.mesh.listen(), other.mesh.listen()]);
    one.mesh.learn([{...other.record, host: `${network}.12`}]);
    other.mesh.learn([{...one.record, host: `${network}.11`}]);
    const endsMs = timers.nowMs() + OBSERVED_MS;
    while (timers.nowMs() < endsMs) {
      for (const {mesh} of running) {
        mesh.broadcast({kind: 'heartbeat', serving: true, demand: []});
      }
      await timers.sleep(HEARTBEAT_MS);
    }
    assert.equal(one.links, 1);
    assert.equal(other.links, 1);
    for (const vm of running) {
      assert.equal(vm.mesh.heardWithin(2 * HEARTBEAT_MS).length, 1);
    }
  });
});

/** Listens at one host and passes bytes to the other a while later. */
function startFarWay(host: string, to: string, port: number): Promise<Server> {
  const server = createServer(near => {
    const beyond = connect(port, to);
    passLater(near, beyond);
    passLater(beyond, near);
  });
  return new Promise(resolve => {
    server.listen(port, host, () => resolve(server));
  });
}

function passLater(from: Socket, to: Socket): void {
  from.on('data', bytes => timers.after(WAY_MS, () => to.write(bytes)));
  from.on('close', () => timers.after(WAY_MS, () => to.destroy()));
  from.on('error', () => {});
}

async function freePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  await new Promise(resolve => server.close(resolve));
  return port;
}
