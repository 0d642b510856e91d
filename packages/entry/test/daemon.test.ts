import assert from 'node:assert/strict';
import {it} from 'node:test';
import {createSigningKey, settingsSchema} from '@ibisbeam/library';
import {createDaemon, readVmKeys} from '../src/index.js';

const LOOPBACK = '127.0.0.1:0';

async function sampleDaemon(lines: string[]) {
  const key = await createSigningKey('one');
  const settings = settingsSchema.parse({
    vm: {id: 'riga-a-1', region: 'riga', zone: 'a'},
    listen: {caller: LOOPBACK, peer: LOOPBACK, operator: LOOPBACK},
    platform: {url: 'http://127.0.0.1:1'},
    keys: {
      tokenVerification: {environmentVariable: 'KEYS'},
      vmSigning: {environmentVariable: 'KEY'},
    },
    lookup: {lifetimeMs: 1_000},
    membership: {heartbeatIntervalMs: 50, suspectAfterMs: 200},
  });
  const environment = {
    KEYS: JSON.stringify({keys: [key.publicKey]}),
    KEY: JSON.stringify(key.privateKey),
  };
  const keys = readVmKeys(settings, environment).unsafeCoerce();
  return createDaemon({settings, keys, write: line => lines.push(line)});
}

it('starts without a store, and a second signal does not interrupt its stop', async () => {
  const lines: string[] = [];
  const daemon = await sampleDaemon(lines);
  await daemon.start();
  daemon.stop();
  daemon.stop();
  assert.equal(await daemon.ended, 0);
  const stops = lines.filter(line => line.includes('event=vm-stopped'));
  assert.equal(stops.length, 1);
});

it('reports the setting of an invalid key without showing its value', async () => {
  const settings = settingsSchema.parse({
    vm: {id: 'riga-a-1', region: 'riga', zone: 'a'},
    listen: {caller: LOOPBACK, peer: LOOPBACK, operator: LOOPBACK},
    platform: {url: 'http://127.0.0.1:1'},
    keys: {
      tokenVerification: {environmentVariable: 'KEYS'},
      vmSigning: {environmentVariable: 'KEY'},
    },
  });
  const found = readVmKeys(settings, {KEYS: 'hunter2', KEY: '{}'});
  const problem = found.swap().unsafeCoerce();
  assert.match(problem.message, /keys\.tokenVerification/);
  assert.doesNotMatch(JSON.stringify(problem), /hunter2/);
});
