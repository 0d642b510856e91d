import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import {createConfiguration} from './fixtures/configuration.js';
import {type FollowedVm, startFollowedVm} from './fixtures/followed_vm.js';
import {
  type MemoryNetwork,
  createMemoryNetwork,
} from './fixtures/memory_network.js';
import {type MemoryStore, createMemoryStore} from './fixtures/memory_store.js';

const STEP_MS = 20;
/** Peers end a link that was silent for this long. */
const LINK_IDLE_MS = 1_500;
/** Too short for the VM to watch the store itself. */
const LINK_LOST_MS = 300;
/** Time within which an accepted configuration is in force everywhere. */
const APPLY_BOUND_MS = 2_500;

describe('copies of the store at a VM that is told of changes by peers', () => {
  let network: MemoryNetwork;
  let store: MemoryStore;
  let vms: readonly FollowedVm[];
  let follower: FollowedVm;
  let isStoreReached: boolean;
  let isStoreAway: boolean;

  beforeEach(async () => {
    network = createMemoryNetwork();
    store = createMemoryStore();
    store.put('configuration', 'main', createConfiguration(1));
    isStoreReached = true;
    isStoreAway = false;
    const start = (id: string): FollowedVm =>
      startFollowedVm({
        id,
        watchers: ['edge-1', 'edge-2'],
        network,
        store,
        reachesStore: () => !isStoreAway && (id !== 'edge-3' || isStoreReached),
      });
    follower = start('edge-3');
    vms = [start('edge-1'), start('edge-2'), follower];
    network.link('edge-3');
    network.link('edge-1');
    await pass(2_000);
    assert.equal(versionAt(follower), 1);
  });

  async function pass(spanMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < spanMs; passedMs += STEP_MS) {
      // A process that wakes reads its sockets before its timers run.
      network.deliver();
      for (const vm of vms) {
        await vm.advance(STEP_MS);
      }
    }
  }

  /** Changes the configuration while the VM does not run and has no links. */
  async function missChange(how: 'freeze' | 'suspend'): Promise<void> {
    follower[how]();
    await pass(LINK_IDLE_MS);
    network.unlink(follower.id);
    store.put('configuration', 'main', createConfiguration(2));
    await pass(4_000);
    follower.wake();
  }

  /** Asserts that a request of now is routed by the changed configuration. */
  async function assertHeldUntilCurrent(): Promise<void> {
    let routedBy: number | undefined;
    follower.copyGuard.whenUsable(isUsable => {
      routedBy = isUsable ? versionAt(follower) : undefined;
    });
    assert.equal(routedBy, undefined);
    await pass(100);
    assert.equal(routedBy, 2);
  }

  function versionAt(vm: FollowedVm): number | undefined {
    return vm.fleet.routes()?.configuration.version;
  }

  // Guards against requests that are routed by a replaced configuration long
  // after a pause of the VM.
  it('take up a configuration that was sent while the VM stood still', async () => {
    await missChange('freeze');
    network.link(follower.id);
    await pass(APPLY_BOUND_MS);
    assert.equal(versionAt(follower), 2);
  });

  // Guards against a configuration that was sent while the links were lost for a
  // moment, which only the comparison with peers can bring up.
  it('take up a configuration that was sent while the VM had no links', async () => {
    network.unlink(follower.id);
    store.put('configuration', 'main', createConfiguration(2));
    await pass(LINK_LOST_MS);
    network.link(follower.id);
    await pass(APPLY_BOUND_MS);
    assert.equal(versionAt(follower), 2);
  });

  // Guards against targets of an evacuated zone, and targets that left, which
  // a VM goes on using after its links were cut.
  it('take up an evacuation that was sent while the VM had no links', async () => {
    network.unlink(follower.id);
    store.put('evacuations', 'riga-a', {});
    await pass(LINK_LOST_MS);
    network.link(follower.id);
    await pass(APPLY_BOUND_MS);
    assert.deepEqual([...follower.fleet.registry.evacuated()], ['riga-a']);
  });

  // Guards against requests that are routed by a replaced configuration right
  // after a pause, before anybody has told the VM of the new one.
  it('are not acted on after a pause until they are confirmed', async () => {
    await missChange('freeze');
    await assertHeldUntilCurrent();
  });

  // Guards against requests that are routed by a replaced configuration after
  // the machine was suspended, which the monotonic clock does not show.
  it('are not acted on after the machine was suspended until they are confirmed', async () => {
    await missChange('suspend');
    await assertHeldUntilCurrent();
  });

  // Guards against a VM that resumes and confirms the copies of another one that
  // has resumed with it.
  it('are not confirmed by a VM that was suspended at the same time', async () => {
    const other = vms[1];
    assert.ok(other);
    isStoreReached = false;
    for (const vm of [follower, other]) {
      vm.suspend();
    }
    await pass(LINK_IDLE_MS);
    for (const vm of [follower, other]) {
      network.unlink(vm.id);
    }
    store.put('configuration', 'main', createConfiguration(2));
    await pass(4_000);
    isStoreAway = true;
    for (const vm of [follower, other]) {
      vm.wake();
    }
    network.link(other.id);
    await pass(60);
    for (const vm of [follower, other]) {
      const isOutdated = versionAt(vm) !== 2;
      assert.ok(!isOutdated || vm.copyGuard.state() === 'unconfirmed');
    }
    await pass(1_000);
    assert.equal(versionAt(follower), 2);
    assert.equal(follower.copyGuard.state(), 'confirmed');
  });

  // Guards against a clock that is set, which is taken for a suspension and keeps
  // requests waiting.
  it('are confirmed at once after the time of day was set forward', async () => {
    follower.stepClock(2_000);
    await pass(100);
    assert.equal(follower.copyGuard.state(), 'confirmed');
  });

  it('stay confirmed when the time of day is set back', () => {
    follower.stepClock(-2_000);
    assert.equal(follower.copyGuard.state(), 'confirmed');
  });

  // Guards against a VM that cannot reach the store and resumes with what it
  // reads from its sockets, which is as old as its pause.
  it('are confirmed by peers after a pause if the store is away', async () => {
    isStoreReached = false;
    await missChange('freeze');
    await pass(100);
    assert.equal(follower.copyGuard.state(), 'unconfirmed');
    network.link(follower.id);
    await pass(100);
    assert.equal(follower.copyGuard.state(), 'confirmed');
    assert.equal(versionAt(follower), 2);
  });

  // Guards against a VM that is cut off from the store and its peers, and goes
  // on routing by a configuration that was replaced.
  it('are not acted on while neither the store nor most VMs are reached', async () => {
    isStoreReached = false;
    network.unlink(follower.id);
    store.put('configuration', 'main', createConfiguration(2));
    await pass(4_000);
    const answers: boolean[] = [];
    follower.copyGuard.whenUsable(isUsable => answers.push(isUsable));
    assert.deepEqual(answers, [false]);
    network.link(follower.id);
    await pass(1_000);
    assert.equal(follower.copyGuard.state(), 'confirmed');
    assert.equal(versionAt(follower), 2);
  });

  it('are acted on while the store is away for all VMs', async () => {
    isStoreAway = true;
    await pass(10_000);
    assert.equal(follower.copyGuard.state(), 'confirmed');
  });

  it('tell in the log that they lack a change', async () => {
    network.unlink(follower.id);
    store.put('configuration', 'main', createConfiguration(2));
    await pass(LINK_LOST_MS);
    network.link(follower.id);
    await pass(APPLY_BOUND_MS);
    assert.ok(
      follower.logLines.some(line =>
        /event=copy-behind.*of=configuration/.test(line),
      ),
    );
  });
});
