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
import type {PeerMessage, VmRecord} from '../src/peers/messages.js';
import {type PeerMesh, createPeerMesh} from '../src/peers/peer_mesh.js';

const timers = createSystemTimerService();
/** Over twice the link idle timeout of 1.5 s. */
const OBSERVATION_MS = 3_200;
const HEARTBEAT_INTERVAL_MS = 200;
/** Network delay between two regions. */
const ONE_WAY_DELAY_MS = 20;

interface Vm {
  readonly record: VmRecord;
  readonly mesh: PeerMesh;
  /** Number of onPeerConnected calls. */
  links: number;
  /** Kinds of the messages received. */
  readonly kinds: string[];
  readonly logLines: string[];
}

describe('two VMs that are linked', () => {
  const running: Vm[] = [];
  const proxies: Server[] = [];

  afterEach(() => {
    for (const {mesh} of running.splice(0)) {
      mesh.close();
    }
    for (const server of proxies.splice(0)) {
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
      log: createKeyValueLogger({
        level: 'warn',
        fields: {},
        write: line => vm.logLines.push(line),
      }),
      onPeerConnected: () => {
        vm.links += 1;
      },
      onMessage: (_, {kind}) => vm.kinds.push(kind),
    });
    const vm: Vm = {record, mesh, links: 0, kinds: [], logLines: []};
    running.push(vm);
    return vm;
  }

  it('keep the same link if they dial each other at the same moment', async () => {
    const port = await freePort();
    const network = `127.${1 + ((process.pid >> 8) % 250)}.${process.pid % 256}`;
    const one = startVm('edge-1', `${network}.1`, port);
    const other = startVm('edge-2', `${network}.2`, port);
    for (const [index, {record}] of [one, other].entries()) {
      proxies.push(
        await startDelayingProxy(`${network}.${11 + index}`, record.host, port),
      );
    }
    await Promise.all([one.mesh.listen(), other.mesh.listen()]);
    one.mesh.addPeers([{...other.record, host: `${network}.12`}]);
    other.mesh.addPeers([{...one.record, host: `${network}.11`}]);
    const endsAtMs = timers.nowMs() + OBSERVATION_MS;
    while (timers.nowMs() < endsAtMs) {
      for (const {mesh} of running) {
        mesh.broadcast({kind: 'heartbeat', serving: true, demand: []});
      }
      await timers.sleep(HEARTBEAT_INTERVAL_MS);
    }
    assert.equal(one.links, 1);
    assert.equal(other.links, 1);
    for (const vm of running) {
      assert.equal(
        vm.mesh.peersHeardWithin(2 * HEARTBEAT_INTERVAL_MS).length,
        1,
      );
    }
  });

  // Guards against links that end, or peers that fall silent, while VMs of a
  // newer build send what this one does not know.
  it('ignore messages and fields of newer builds and keep their link', async () => {
    const port = await freePort();
    const network = `127.${1 + ((process.pid >> 8) % 250)}.${process.pid % 256}`;
    const newer = startVm('edge-1', `${network}.1`, port);
    const older = startVm('edge-2', `${network}.2`, port);
    await Promise.all([newer.mesh.listen(), older.mesh.listen()]);
    newer.mesh.addPeers([older.record]);
    const endsAtMs = timers.nowMs() + OBSERVATION_MS;
    while (older.links === 0 && timers.nowMs() < endsAtMs) {
      await timers.sleep(HEARTBEAT_INTERVAL_MS / 10);
    }
    const heartbeat: PeerMessage = {
      kind: 'heartbeat',
      serving: true,
      demand: [],
    };
    const later = [
      {kind: 'of-a-later-build', detail: 1},
      {...heartbeat, ofALaterBuild: 1},
    ];
    for (const message of later) {
      newer.mesh.broadcast(message as unknown as PeerMessage);
    }
    newer.mesh.broadcast(heartbeat);
    await timers.sleep(HEARTBEAT_INTERVAL_MS);
    assert.deepEqual(older.kinds, ['heartbeat', 'heartbeat']);
    assert.equal(older.links, 1);
    assert.equal(
      older.logLines.filter(line => line.includes('peer-refused')).length,
      1,
    );
  });
});

/** Listens at one host and forwards to another with the one-way delay. */
function startDelayingProxy(
  host: string,
  to: string,
  port: number,
): Promise<Server> {
  const server = createServer(downstream => {
    const upstream = connect(port, to);
    forwardDelayed(downstream, upstream);
    forwardDelayed(upstream, downstream);
  });
  return new Promise(resolve => {
    server.listen(port, host, () => resolve(server));
  });
}

function forwardDelayed(from: Socket, to: Socket): void {
  from.on('data', bytes =>
    timers.after(ONE_WAY_DELAY_MS, () => to.write(bytes)),
  );
  from.on('close', () => timers.after(ONE_WAY_DELAY_MS, () => to.destroy()));
  from.on('error', () => {});
}

async function freePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  await new Promise(resolve => server.close(resolve));
  return port;
}
