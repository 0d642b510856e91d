import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {ConfigurationDocument, Section} from '@ibisbeam/decision';
import type {PlatformStore} from '@ibisbeam/library';
import {EitherAsync, Left} from 'purify-ts';
import {type Fleet, type TestVm, createFleet} from './fixtures/fleet.js';

const SHIFT_CHANGE: ConfigurationDocument = new Map<string, Section>([
  ['client-blocks/9999', {kind: 'client-blocks', shard: '9999', blocks: {}}],
]);

/** A store that one VM cannot reach. */
function unreachable(): PlatformStore {
  const refuse = () =>
    EitherAsync.liftEither(
      Left({kind: 'unavailable' as const, cause: 'cut off'}),
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
    count: 7,
    storeOf: (index, store) => (index === 3 ? unreachable() : store),
  });
  await withFleet(fleet, async () => {
    await fleet.publish('first', fleet.document);
    const vms: TestVm[] = [];
    for (let index = 0; index < 7; index += 1) {
      vms.push(await fleet.start(index, 1, [0, 1]));
    }
    const all = (generation: number) =>
      vms.every(vm => vm.configuration()?.generation === generation);
    await fleet.until('generation 1 everywhere', () => all(1));
    await fleet.publish('second', SHIFT_CHANGE);
    await fleet.until('generation 2 everywhere', () => all(2));
  });
});

test('a replaced VM starts from its peers while the store is away', async () => {
  const fleet = await createFleet({count: 3});
  await withFleet(fleet, async () => {
    await fleet.publish('first', fleet.document);
    const first = await fleet.start(0);
    await fleet.start(1);
    await fleet.until('a configuration', () => !!first.configuration());
    fleet.platform.faults.down = true;
    const replaced = await fleet.start(2, 2, [0, 1]);
    await fleet.until('a configuration', () => !!replaced.configuration());
    assert.equal(replaced.configuration()?.generation, 1);
  });
});
