import assert from 'node:assert/strict';
import {it} from 'node:test';
import {createSilentLogger, createSystemTimerService} from '@ibisbeam/library';
import {pollUntil, startLocalDeployment} from '../src/index.js';

const CLOSE_TIMEOUT_MS = 5_000;

function listenerCount(): number {
  const resources = process.getActiveResourcesInfo();
  return resources.filter(name => name === 'TCPServerWrap').length;
}

// Guards against a process that does not end since targets and the platform of
// a deployment that could not start still listen.
it('a deployment that cannot start leaves no listener', async () => {
  const timers = createSystemTimerService();
  const before = listenerCount();
  await assert.rejects(
    startLocalDeployment({
      name: 'daugava',
      entryVmCount: 2,
      workerDivisor: 4,
      clientBlockCount: 3,
      timers,
      logger: createSilentLogger(),
      seed: 1,
      hooksOf: vm => {
        throw new Error(`no hooks for ${vm}`);
      },
    }),
    /no hooks for/,
  );
  const awaited = 'all listeners to close';
  await pollUntil(
    {timers, timeoutMs: CLOSE_TIMEOUT_MS, awaited},
    () => listenerCount() === before,
  );
});
