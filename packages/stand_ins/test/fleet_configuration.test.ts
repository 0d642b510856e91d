import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {ConfigurationDocument, Section} from '@ibisbeam/decision';
import type {PlatformStore} from '@ibisbeam/library';
import {EitherAsync, Left} from 'purify-ts';
import {type Fleet, type TestVm, createFleet} from './fixtures/fleet.js';

const VM_COUNT = 7;
const UNREACHABLE_STORE_VM_INDEX = 3;
const CLIENT_BLOCKS_CHANGE: ConfigurationDocument = new Map<string, Section>([
  ['client-blocks/9999', {kind: 'client-blocks', shard: '9999', blocks: {}}],
]);

/** Fails every call as unavailable. */
function createUnreachableStore(): PlatformStore {
  const refuse = () =>
    EitherAsync.liftEither(
      Left({
        kind: 'unavailable' as const,
        cause: 'store unreachable from this VM',
      }),
    );
  return {
    read: refuse,
    create: refuse,
    update: refuse,
    delete: refuse,
    list: refuse,
    watch: refuse,
    listVms: refuse,
  };
}

async function withFleet(
  fleet: Fleet,
  run: (fleet: Fleet) => Promise<void>,
): Promise<void> {
  try {
    await run(fleet);
  } finally {
    await fleet.stop();
  }
}

test('a change is in force on all of seven VMs, one of them cut from the store', async () => {
  const fleet = await createFleet({
    count: VM_COUNT,
    storeFor: (index, store) =>
      index === UNREACHABLE_STORE_VM_INDEX ? createUnreachableStore() : store,
  });
  await withFleet(fleet, async () => {
    await fleet.publish('first', fleet.document);
    const vms: TestVm[] = [];
    for (let index = 0; index < VM_COUNT; index += 1) {
      vms.push(await fleet.start(index, 1, [0, 1]));
    }
    const allInForce = (generation: number) =>
      vms.every(vm => vm.configuration()?.generation === generation);
    await fleet.waitUntil('generation 1 everywhere', () => allInForce(1));
    await fleet.publish('second', CLIENT_BLOCKS_CHANGE);
    await fleet.waitUntil('generation 2 everywhere', () => allInForce(2));
  });
});

test('a replaced VM starts from its peers while the store is away', async () => {
  const fleet = await createFleet({count: 3});
  await withFleet(fleet, async () => {
    await fleet.publish('first', fleet.document);
    const first = await fleet.start(0);
    await fleet.start(1);
    await fleet.waitUntil(
      'a configuration on the first VM',
      () => !!first.configuration(),
    );
    fleet.platform.faults.down = true;
    const replacement = await fleet.start(2, 2, [0, 1]);
    await fleet.waitUntil(
      'a configuration on the replacement',
      () => !!replacement.configuration(),
    );
    assert.equal(replacement.configuration()?.generation, 1);
  });
});
