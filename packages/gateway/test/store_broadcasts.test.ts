import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import {rankByRendezvous} from '@ibisbeam/decision';
import {createConfiguration} from './fixtures/configuration.js';
import {type FollowedVm, startFollowedVm} from './fixtures/followed_vm.js';
import {
  type MemoryNetwork,
  createMemoryNetwork,
} from './fixtures/memory_network.js';
import {type MemoryStore, createMemoryStore} from './fixtures/memory_store.js';

const STEP_MS = 20;
const IDS = ['edge-1', 'edge-2', 'edge-3'];
/** Time within which an accepted configuration is in force everywhere. */
const APPLY_BOUND_MS = 2_500;

describe('watchers of the store', () => {
  const watchers = rankByRendezvous('store-watch', IDS).slice(0, 2);
  const [first = '', standby = ''] = watchers;
  let network: MemoryNetwork;
  let store: MemoryStore;
  let vms: readonly FollowedVm[];
  let isFirstAnswered: boolean;

  beforeEach(async () => {
    network = createMemoryNetwork();
    store = createMemoryStore();
    store.put('configuration', 'main', createConfiguration(1));
    isFirstAnswered = true;
    vms = IDS.map(id =>
      startFollowedVm({
        id,
        watchers,
        isRanked: watchers.includes(id),
        network,
        store,
        reachesStore: () => id !== first || isFirstAnswered,
      }),
    );
    for (const id of IDS) {
      network.link(id);
    }
    await pass(2_000);
  });

  async function pass(spanMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < spanMs; passedMs += STEP_MS) {
      network.deliver();
      for (const vm of vms) {
        await vm.advance(STEP_MS);
      }
    }
  }

  function countSent(id: string, kind: string): number {
    return network.sentBy(id).filter(message => message.kind === kind).length;
  }

  function versions(): (number | undefined)[] {
    return vms.map(({fleet}) => fleet.routes()?.configuration.version);
  }

  // Guards against each change being sent to all VMs once for each watcher.
  it('leave the passing on of changes to the first of them', async () => {
    const before = countSent(standby, 'batch');
    for (let version = 2; version <= 4; version += 1) {
      store.put('configuration', 'main', createConfiguration(version));
      await pass(1_000);
    }
    assert.deepEqual(versions(), [4, 4, 4]);
    assert.equal(countSent(standby, 'batch'), before);
    assert.ok(countSent(first, 'batch') >= 3);
  });

  it('pass changes on if the store turns the first of them away', async () => {
    isFirstAnswered = false;
    await pass(1_000);
    store.put('configuration', 'main', createConfiguration(2));
    await pass(APPLY_BOUND_MS);
    assert.deepEqual(versions(), [2, 2, 2]);
  });

  // Guards against a list of everything each time the store forgets history
  // from before the last change of a kind.
  it('move on with the store while a kind does not change', async () => {
    const lists = store.listCount();
    for (let round = 0; round < 4; round += 1) {
      store.put('evacuations', 'riga-a', {round});
      await pass(6_000);
      store.forgetHistory();
    }
    await pass(2_000);
    const configurations = countSent(first, 'snapshot');
    store.put('configuration', 'main', createConfiguration(2));
    await pass(APPLY_BOUND_MS);
    assert.deepEqual(versions(), [2, 2, 2]);
    assert.equal(countSent(first, 'snapshot'), configurations);
    // Only kinds whose copies were just about to move on are listed.
    assert.ok(store.listCount() - lists <= 4 * watchers.length);
  });

  it('tell peers only what a list has brought', async () => {
    const before = countSent(first, 'snapshot');
    store.put('targets', 'broken', {});
    store.put('configuration', 'main', createConfiguration(2));
    store.forgetHistory();
    await pass(APPLY_BOUND_MS);
    assert.deepEqual(versions(), [2, 2, 2]);
    assert.equal(countSent(first, 'snapshot'), before);
  });
});
