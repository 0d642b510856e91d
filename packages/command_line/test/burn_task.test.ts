import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createRandomSource, incarnation} from '@ibisbeam/decision';
import {
  createKernel,
  createManualTimerService,
  createMemoryMetrics,
  createPlugInRegistry,
  createSilentLogger,
  registerBurnPlugIn,
} from '@ibisbeam/library';
import {createMemoryPlatform} from '@ibisbeam/stand-ins';
import {SETTINGS} from './vm_harness.js';

const MINUTE_MS = 60_000;

async function startVms(count: number) {
  const timers = createManualTimerService(Date.parse('2026-12-03T20:00:00Z'));
  const platform = createMemoryPlatform(timers);
  const kernels = [];
  for (let index = 0; index < count; index += 1) {
    const registry = createPlugInRegistry();
    registerBurnPlugIn(registry);
    const kernel = createKernel(registry.all(), {
      settings: SETTINGS,
      incarnation: incarnation(`inc-${index}`),
      timers,
      random: createRandomSource(index),
      logger: createSilentLogger(),
      metrics: createMemoryMetrics(),
      platform: platform.store,
      tokenVerifier: undefined as never,
      tokenSigner: undefined as never,
      hooks: {vmStarted: [], requestFinished: [], configurationInForce: []},
    });
    await kernel.start();
    kernels.push(kernel);
  }
  return {timers, platform, kernels};
}

test('a VM writes a summary within a minute of its start', async () => {
  const {timers, platform} = await startVms(5);
  await timers.advance(MINUTE_MS);
  assert.equal(platform.objectCount('burn/'), 5);
});

test('VMs that start together make at most five writes an hour each', async () => {
  const {timers, platform} = await startVms(20);
  await timers.advance(16 * MINUTE_MS);
  const before = platform.writeCount();
  await timers.advance(60 * MINUTE_MS);
  assert.ok(platform.writeCount() - before <= 20 * 5);
  assert.ok(platform.writeCount() - before >= 20 * 4);
});

test('a VM that stops gracefully writes a final summary', async () => {
  const {platform, kernels} = await startVms(1);
  await kernels[0]!.stop();
  const listed = await platform.store.list('burn/', {purpose: 'operator'});
  const [object] = listed.unsafeCoerce().objects;
  assert.equal((object!.value as {final: boolean}).final, true);
});
