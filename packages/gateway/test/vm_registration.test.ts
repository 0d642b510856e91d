import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  type PlatformObject,
  type PlatformStore,
  createKeyValueLogger,
} from '@ibisbeam/library';
import {EitherAsync, Left, Right} from 'purify-ts';
import type {PeerMesh} from '../src/peers/peer_mesh.js';
import {createVmRegistration} from '../src/peers/vm_registration.js';

const KIND = 'vms';
const SELF = {
  id: 'self',
  startedWallMs: 1,
  host: '10.0.0.1',
  callerAddress: '10.0.0.1:80',
  zone: 'riga-a',
  region: 'riga',
};
const REFRESHES_IN_TEN_MINUTES = 41;

/** A VM that registers in a store that is held in memory. */
function createFixture(heardIds: readonly string[] = ['live']) {
  const objects = new Map<string, PlatformObject>();
  let nowMs = 0;
  const listedStale: boolean[] = [];
  let staleObjects: readonly PlatformObject[] | undefined;
  let due: {readonly atMs: number; readonly run: () => void} | undefined;
  const store = {
    create: (key: string, value: unknown) =>
      EitherAsync.liftEither(
        objects.has(key)
          ? Left({kind: 'conflict', current: objects.get(key)})
          : Right(put(key, value)),
      ),
    update: (key: string, _version: number, value: unknown) =>
      EitherAsync.liftEither(Right(put(key, value))),
    list: (_kind: string, {mayBeStale}: {mayBeStale: boolean}) => {
      listedStale.push(mayBeStale);
      const current = [...objects.values()];
      const listed = mayBeStale ? (staleObjects ?? current) : current;
      return EitherAsync.liftEither(Right({objects: listed, version: 1}));
    },
    delete: (key: string, version: number) => {
      if (objects.get(key)?.version === version) {
        objects.delete(key);
      }
      return EitherAsync.liftEither(Right(undefined));
    },
  } as unknown as PlatformStore;

  function put(key: string, value: unknown): PlatformObject {
    const version = (objects.get(key)?.version ?? 0) + 1;
    const object = {key, version, value};
    objects.set(key, object);
    return object;
  }

  const registration = createVmRegistration({
    self: SELF,
    store,
    kind: KIND,
    timers: {
      nowMs: () => nowMs,
      after: (delayMs: number, run: () => void) => {
        due = {atMs: nowMs + delayMs, run};
        return {cancel: () => {}};
      },
    } as unknown as Parameters<typeof createVmRegistration>[0]['timers'],
    log: createKeyValueLogger({level: 'error', fields: {}, write: () => {}}),
    mesh: {
      addPeers: () => {},
      peersHeardWithin: () => heardIds.map(id => ({...SELF, id})),
    } as unknown as PeerMesh,
  });

  async function settle(): Promise<void> {
    for (let turn = 0; turn < 5; turn += 1) {
      await new Promise(resolve => setImmediate(resolve));
    }
  }

  return {
    objects,
    put,
    registration,
    settle,
    /** Whether each list that was asked for was allowed to be stale. */
    listedStale,
    /** What a stale list brings from now on. */
    setStaleObjects: (list: readonly PlatformObject[]) => {
      staleObjects = list;
    },
    /** Runs the pending refresh and lets its store calls end. */
    runNext: async () => {
      assert.ok(due);
      nowMs = due.atMs;
      due.run();
      await settle();
    },
  };
}

describe('registration of VMs', () => {
  // Guards against VMs that are gone and count for ever among those that share
  // the bounds of the fleet.
  it('removes a VM that has been silent for ten minutes, and no other', async () => {
    const {objects, put, registration, settle, runNext} = createFixture();
    put(`${KIND}/gone`, {...SELF, id: 'gone'});
    put(`${KIND}/live`, {...SELF, id: 'live'});
    registration.start();
    await settle();
    for (let count = 0; count < REFRESHES_IN_TEN_MINUTES; count += 1) {
      await runNext();
    }
    assert.deepEqual([...objects.keys()].sort(), [
      `${KIND}/live`,
      `${KIND}/self`,
    ]);
  });

  it('removes nobody while it hears from nobody', async () => {
    const {objects, put, registration, settle, runNext} = createFixture([]);
    put(`${KIND}/other`, {...SELF, id: 'other'});
    registration.start();
    await settle();
    for (let count = 0; count < REFRESHES_IN_TEN_MINUTES; count += 1) {
      await runNext();
    }
    assert.ok(objects.has(`${KIND}/other`));
  });

  // Guards against calls to the store that grow with the fleet.
  it('reads only the first list in its current state', async () => {
    const {registration, settle, runNext, listedStale} = createFixture();
    registration.start();
    await settle();
    await runNext();
    await runNext();
    assert.deepEqual(listedStale, [false, true, true]);
  });

  it('is not repeated because of a list that is too old', async () => {
    const {objects, registration, settle, runNext, ...fixture} =
      createFixture();
    registration.start();
    await settle();
    const version = objects.get(`${KIND}/self`)?.version;
    fixture.setStaleObjects([]);
    await runNext();
    assert.deepEqual(fixture.listedStale, [false, true, false]);
    assert.equal(objects.get(`${KIND}/self`)?.version, version);
  });

  it('is repeated when the store no longer lists this VM', async () => {
    const {objects, registration, settle, runNext} = createFixture();
    registration.start();
    await settle();
    objects.clear();
    await runNext();
    await runNext();
    assert.ok(objects.has(`${KIND}/self`));
  });
});
