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

function clientBlocks(
  shard: string,
  ...cidrBlocks: string[]
): ConfigurationDocument {
  const section: Section = {
    kind: 'client-blocks',
    shard,
    blocks: {[RIGA]: cidrBlocks.join(' ')},
  };
  return new Map([[`client-blocks/${shard}`, section]]);
}

async function createPublishedPlatform() {
  const platform = createMemoryPlatform(createManualTimerService());
  const document = buildDeployment({
    name: 'daugava',
    entryVmCount: 3,
    workerDivisor: 4,
    clientBlockCount: 0,
  });
  await publish(platform.store, 'first', document);
  return platform;
}

async function publish(
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

function publishErrorOf(
  result: Awaited<ReturnType<typeof publish>>,
): ConfigurationStoreError {
  return result.swap().unsafeCoerce();
}

async function readStoredConfiguration(
  store: PlatformStore,
): Promise<StoredConfiguration> {
  return (await readConfiguration(store).run()).unsafeCoerce();
}

test('two operators who change different sections both get their change', async () => {
  const {store} = await createPublishedPlatform();
  const base = await readStoredConfiguration(store);
  await publish(store, 'one', clientBlocks('1', '10.0.1.0/24'), base);
  const second = await publish(
    store,
    'two',
    clientBlocks('2', '10.0.2.0/24'),
    base,
  );
  assert.equal(second.unsafeCoerce().rebased, true);
  const {document, head} = await readStoredConfiguration(store);
  assert.equal(head?.generation, 3);
  assert.ok(document.has('client-blocks/1') && document.has('client-blocks/2'));
});

test('two operators who change one section: the second sees both sides', async () => {
  const {store} = await createPublishedPlatform();
  const base = await readStoredConfiguration(store);
  const theirs = clientBlocks('1', '10.0.1.0/24');
  const ours = clientBlocks('1', '10.0.9.0/24');
  await publish(store, 'one', theirs, base);
  const error = publishErrorOf(await publish(store, 'two', ours, base));
  assert.equal(error.kind, 'conflict');
  const {sections, writes} = error as Extract<
    ConfigurationStoreError,
    {kind: 'conflict'}
  >;
  assert.deepEqual(sections[0]?.theirs, theirs.get('client-blocks/1'));
  assert.deepEqual(sections[0]?.ours, ours.get('client-blocks/1'));
  assert.equal(writes.at(-1)?.author, 'one');
  assert.equal((await readStoredConfiguration(store)).head?.generation, 2);
});

/**
 * Drops the answer to the first update of the head, and calls back before the
 * publisher reads the head again.
 */
function withLostHeadUpdateAnswer(
  store: PlatformStore,
  beforeReadBack: () => Promise<unknown>,
): PlatformStore {
  let dropped = false;
  return {
    ...store,
    update: (key, expected, value, options) =>
      store.update(key, expected, value, options).chain(async object => {
        if (dropped || key !== 'configuration/head') {
          return Promise.resolve(
            (await store.read(key, options).run()).map(() => object),
          );
        }
        dropped = true;
        await beforeReadBack();
        return (await store.read('nothing', options).run()).mapLeft(() => ({
          kind: 'lost-answer' as const,
          cause: 'answer dropped by the test',
        }));
      }),
  };
}

test('a lost answer is resolved although somebody has written since', async () => {
  const {store} = await createPublishedPlatform();
  const base = await readStoredConfiguration(store);
  const faultyStore = withLostHeadUpdateAnswer(store, () =>
    publish(store, 'other', clientBlocks('2', '10.0.2.0/24')),
  );
  const result = await publish(
    faultyStore,
    'ours',
    clientBlocks('1', '10.0.1.0/24'),
    base,
  );
  const {generation, readBack} = result.unsafeCoerce();
  assert.deepEqual(
    {generation: generation as number, readBack},
    {
      generation: 2,
      readBack: true,
    },
  );
  const {head} = await readStoredConfiguration(store);
  const writes = head?.writes.map(write => write.writeId);
  assert.deepEqual(writes, ['first', 'ours', 'other']);
});

test('a lost answer with the store away afterwards is an unknown outcome', async () => {
  const {store, faults} = await createPublishedPlatform();
  const base = await readStoredConfiguration(store);
  const faultyStore = withLostHeadUpdateAnswer(store, () => {
    faults.down = true;
    return Promise.resolve();
  });
  const error = publishErrorOf(
    await publish(faultyStore, 'ours', clientBlocks('1', '10.0.1.0/24'), base),
  );
  assert.equal(error.kind, 'outcome-unknown');
});

test('a section that a VM could not take is refused before anything is written', async () => {
  const {store, writeCount} = await createPublishedPlatform();
  const writesBefore = writeCount();
  const invalidSections = new Map([
    ['client-blocks/1', {kind: 'client-blocks', shard: '1', blocks: 7}],
  ]) as unknown as ConfigurationDocument;
  assert.equal(
    publishErrorOf(await publish(store, 'wrong', invalidSections)).kind,
    'invalid',
  );
  assert.equal(writeCount(), writesBefore);
});

test('a repeated publication with one write identifier changes nothing more', async () => {
  const {store} = await createPublishedPlatform();
  const base = await readStoredConfiguration(store);
  await publish(store, 'one', clientBlocks('1', '10.0.1.0/24'), base);
  const repeated = await publish(
    store,
    'one',
    clientBlocks('1', '10.0.1.0/24'),
    base,
  );
  assert.equal(repeated.unsafeCoerce().generation, 2);
  assert.equal((await readStoredConfiguration(store)).head?.generation, 2);
});

test('collection deletes unused chunks after the grace and no others', async () => {
  const {store, objectCount} = await createPublishedPlatform();
  await publish(store, 'one', clientBlocks('1', '10.0.1.0/24'));
  await publish(store, 'two', clientBlocks('1', '10.0.2.0/24'));
  const chunkCount = objectCount(CONFIGURATION_CHUNK_PREFIX);
  await collectUnusedChunks(store, CHUNK_GRACE_PERIOD_MS - 1).run();
  assert.equal(objectCount(CONFIGURATION_CHUNK_PREFIX), chunkCount);
  await collectUnusedChunks(store, CHUNK_GRACE_PERIOD_MS + 1).run();
  assert.equal(objectCount(CONFIGURATION_CHUNK_PREFIX), chunkCount - 1);
  assert.ok(
    (await readStoredConfiguration(store)).document.has('client-blocks/1'),
  );
});
