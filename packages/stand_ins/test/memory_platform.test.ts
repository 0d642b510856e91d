import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createManualTimerService} from '@ibisbeam/library';
import {createMemoryPlatform} from '../src/index.js';

const OPTIONS = {purpose: 'operator'} as const;

test('an update with an old version conflicts and shows the current object', async () => {
  const {store} = createMemoryPlatform(createManualTimerService());
  const created = (await store.create('a', 1, OPTIONS)).unsafeCoerce();
  await store.update('a', created.version, 2, OPTIONS);
  const second = await store.update('a', created.version, 3, OPTIONS);
  const error = second.swap().unsafeCoerce();
  assert.equal(error.kind, 'conflict');
  assert.equal((await store.read('a', OPTIONS)).unsafeCoerce().value, 2);
});

test('a lost answer is reported after the write took effect', async () => {
  const {store, faults} = createMemoryPlatform(createManualTimerService());
  faults.lostAnswers = 1;
  const lost = await store.create('a', 1, OPTIONS);
  assert.equal(lost.swap().unsafeCoerce().kind, 'lost-answer');
  assert.equal((await store.read('a', OPTIONS)).unsafeCoerce().value, 1);
});

test('a watch from before a cut reports a gap', async () => {
  const {store, faults} = createMemoryPlatform(createManualTimerService());
  await store.create('a', 1, OPTIONS);
  faults.invalidateWatches();
  const watched = await store.watch('', 0, {...OPTIONS, waitMs: 10});
  assert.equal(watched.swap().unsafeCoerce().kind, 'watch-gap');
});
