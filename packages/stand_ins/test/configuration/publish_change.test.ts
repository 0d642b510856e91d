import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  CONFIGURATION_CHUNK_PREFIX,
  type ConfigurationDocument,
  type Section,
  regionName,
} from '@ibisbeam/decision';
import {
  CHUNK_GRACE_PERIOD_MS,
  type PlatformStore,
  type ConfigurationStoreError,
  type StoredConfiguration,
  collectUnusedChunks,
  createManualTimerService,
  publishChange,
  readConfiguration,
} from '@ibisbeam/library';
import {buildDeployment, createMemoryPlatform} from '../../src/index.js';

const RIGA = regionName('riga');

function blocks(shard: string, ...list: string[]): ConfigurationDocument {
  const section: Section = {
    kind: 'client-blocks',
    shard,
    blocks: {[RIGA]: list.join(' ')},
  };
  return new Map([[`client-blocks/${shard}`, section]]);
}

async function createWorld() {
  const platform = createMemoryPlatform(createManualTimerService());
  const document = buildDeployment({
    name: 'daugava',
    entryVmCount: 3,
    workerDivisor: 4,
    clientBlockCount: 0,
  });
  await change(platform.store, 'first', document);
  return platform;
}

async function change(
  store: PlatformStore,
  writeId: string,
  sections: ConfigurationDocument,
  base?: StoredConfiguration,
) {
  return publishChange({
    platform: store,
    base: base ?? (await readConfiguration(store).run()).unsafeCoerce(),
    sections,
    author: writeId,
    summary: writeId,
    writeId,
    wallMs: 0,
  }).run();
}

function errorOf(
  result: Awaited<ReturnType<typeof change>>,
): ConfigurationStoreError {
  return result.swap().unsafeCoerce();
}

async function read(store: PlatformStore): Promise<StoredConfiguration> {
  return (await readConfiguration(store).run()).unsafeCoerce();
}

test('two operators who change different sections both get their change', async () => {
  const {store} = await createWorld();
  const base = await read(store);
  await change(store, 'one', blocks('1', '10.0.1.0/24'), base);
  const other = await change(store, 'two', blocks('2', '10.0.2.0/24'), base);
  assert.equal(other.unsafeCoerce().rebased, true);
  const {document, head} = await read(store);
  assert.equal(head?.generation, 3);
  assert.ok(document.has('client-blocks/1') && document.has('client-blocks/2'));
});

test('two operators who change one section: the second sees both sides', async () => {
  const {store} = await createWorld();
  const base = await read(store);
  const theirs = blocks('1', '10.0.1.0/24');
  const ours = blocks('1', '10.0.9.0/24');
  await change(store, 'one', theirs, base);
  const error = errorOf(await change(store, 'two', ours, base));
  assert.equal(error.kind, 'conflict');
  const {sections, writes} = error as Extract<
    ConfigurationStoreError,
    {kind: 'conflict'}
  >;
  assert.deepEqual(sections[0]?.theirs, theirs.get('client-blocks/1'));
  assert.deepEqual(sections[0]?.ours, ours.get('client-blocks/1'));
  assert.equal(writes.at(-1)?.author, 'one');
  assert.equal((await read(store)).head?.generation, 2);
});

/** Calls back before the head is read again after a lost answer. */
function withLostHeadUpdate(
  store: PlatformStore,
  meanwhile: () => Promise<unknown>,
): PlatformStore {
  let lost = false;
  return {
    ...store,
    update: (key, expected, value, options) =>
      store.update(key, expected, value, options).chain(async object => {
        if (lost || key !== 'configuration/head') {
          return Promise.resolve(
            (await store.read(key, options).run()).map(() => object),
          );
        }
        lost = true;
        await meanwhile();
        return (await store.read('nothing', options).run()).mapLeft(() => ({
          kind: 'lost-answer' as const,
          cause: 'test',
        }));
      }),
  };
}

test('a lost answer is resolved although somebody has written since', async () => {
  const {store} = await createWorld();
  const base = await read(store);
  const losing = withLostHeadUpdate(store, () =>
    change(store, 'other', blocks('2', '10.0.2.0/24')),
  );
  const result = await change(losing, 'ours', blocks('1', '10.0.1.0/24'), base);
  const {generation, readBack} = result.unsafeCoerce();
  assert.deepEqual(
    {generation: generation as number, readBack},
    {
      generation: 2,
      readBack: true,
    },
  );
  const {head} = await read(store);
  const writes = head?.writes.map(write => write.writeId);
  assert.deepEqual(writes, ['first', 'ours', 'other']);
});

test('a lost answer with the store away afterwards is an unknown outcome', async () => {
  const {store, faults} = await createWorld();
  const base = await read(store);
  const losing = withLostHeadUpdate(store, () => {
    faults.down = true;
    return Promise.resolve();
  });
  const error = errorOf(
    await change(losing, 'ours', blocks('1', '10.0.1.0/24'), base),
  );
  assert.equal(error.kind, 'outcome-unknown');
});

test('a section that a VM could not take is refused before anything is written', async () => {
  const {store, writeCount} = await createWorld();
  const before = writeCount();
  const wrong = new Map([
    ['client-blocks/1', {kind: 'client-blocks', shard: '1', blocks: 7}],
  ]) as unknown as ConfigurationDocument;
  assert.equal(errorOf(await change(store, 'wrong', wrong)).kind, 'invalid');
  assert.equal(writeCount(), before);
});

test('a repeated publication with one write identifier changes nothing more', async () => {
  const {store} = await createWorld();
  const base = await read(store);
  await change(store, 'one', blocks('1', '10.0.1.0/24'), base);
  const again = await change(store, 'one', blocks('1', '10.0.1.0/24'), base);
  assert.equal(again.unsafeCoerce().generation, 2);
  assert.equal((await read(store)).head?.generation, 2);
});

test('collection deletes unused chunks after the grace and no others', async () => {
  const {store, objectCount} = await createWorld();
  await change(store, 'one', blocks('1', '10.0.1.0/24'));
  await change(store, 'two', blocks('1', '10.0.2.0/24'));
  const all = objectCount(CONFIGURATION_CHUNK_PREFIX);
  await collectUnusedChunks(store, CHUNK_GRACE_PERIOD_MS - 1).run();
  assert.equal(objectCount(CONFIGURATION_CHUNK_PREFIX), all);
  await collectUnusedChunks(store, CHUNK_GRACE_PERIOD_MS + 1).run();
  assert.equal(objectCount(CONFIGURATION_CHUNK_PREFIX), all - 1);
  assert.ok((await read(store)).document.has('client-blocks/1'));
});
