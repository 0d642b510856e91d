import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {createRandomSource} from '@ibisbeam/decision';
import {
  createHttpPlatformStore,
  createManualTimerService,
  createMemoryMetrics,
  createSystemTimerService,
  type HttpPlatformStore,
} from '@ibisbeam/library';
import {
  createMemoryPlatform,
  type MemoryPlatform,
  type PlatformServer,
  startPlatformServer,
} from '../src/index.js';

const OPTIONS = {purpose: 'operator'} as const;

let platform: MemoryPlatform;
let server: PlatformServer;
let store: HttpPlatformStore;
const timers = createManualTimerService();

before(async () => {
  platform = createMemoryPlatform(createSystemTimerService());
  server = await startPlatformServer(platform.store);
  store = createHttpPlatformStore({
    url: server.url,
    callTimeoutMs: 2_000,
    timers,
    random: createRandomSource(1),
    metrics: createMemoryMetrics(),
  });
});

after(async () => {
  store.close();
  await server.close();
});

test('an object goes through create, update, conflict and delete', async () => {
  const created = (await store.create('a/b', {x: 1}, OPTIONS)).unsafeCoerce();
  const updated = (
    await store.update('a/b', created.version, {x: 2}, OPTIONS)
  ).unsafeCoerce();
  const conflict = await store.update('a/b', created.version, {}, OPTIONS);
  const error = conflict.swap().unsafeCoerce();
  assert.equal(error.kind, 'conflict');
  assert.deepEqual(error.kind === 'conflict' && error.current, updated);
  const listing = (await store.list('a/', OPTIONS)).unsafeCoerce();
  assert.equal(listing.objects.length, 1);
  assert.ok((await store.delete('a/b', updated.version, OPTIONS)).isRight());
});

test('a waiting watch answers when an object changes', async () => {
  const {version} = (await store.list('w/', OPTIONS)).unsafeCoerce();
  const pendingWatch = store
    .watch('w/', version, {purpose: 'configuration-watch', waitMs: 5_000})
    .run();
  await store.create('w/1', 1, OPTIONS);
  const {changes} = (await pendingWatch).unsafeCoerce();
  assert.equal(changes.length, 1);
});

test('a write whose answer is cut reports a lost answer', async () => {
  platform.faults.lostAnswers = 1;
  const lost = await store.create('lost', 1, OPTIONS);
  assert.equal(lost.swap().unsafeCoerce().kind, 'lost-answer');
  await timers.advance(10_000);
  assert.equal((await store.read('lost', OPTIONS)).unsafeCoerce().value, 1);
});

test('a store that is away is asked once until the backoff has passed', async () => {
  platform.faults.down = true;
  const callsBefore = platform.callCounts().get('operator') ?? 0;
  for (let index = 0; index < 20; index += 1) {
    const read = await store.read('x', OPTIONS);
    assert.equal(read.swap().unsafeCoerce().kind, 'unavailable');
  }
  assert.equal((platform.callCounts().get('operator') ?? 0) - callsBefore, 1);
  platform.faults.down = false;
  await timers.advance(10_000);
  const read = await store.read('x', OPTIONS);
  assert.equal(read.swap().unsafeCoerce().kind, 'not-found');
});
